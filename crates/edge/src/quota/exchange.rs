//! Questions between gates for parts of a quota, and their answers.
//!
//! A gate asks the gate that it takes for the holder. If that one knows a better one, it passes the
//! question on; if the better one is silent, it takes its place as a standby, with little to grant at
//! first. So gates that differ in which others they know still use one account.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use foldhash::HashMap;
use ggs_access::Workspace;
use ggs_limit::{HolderCandidate, LedgerView, QuotaAsk, QuotaBounds, QuotaGrant, QuotaRule};
use ggs_member::PeerLiveness;
use ggs_model::{Clock, DataCentre, Moment};
use ggs_observe::LogEvent;
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{FAILED_PAUSE, StockEntry};
use crate::core::EdgeCore;
use crate::datagrams::{Datagram, QuotaAskBody, QuotaBody, QuotaGrantBody};
use crate::gates::own_heartbeat;

/// Time in which a gate answers a question. It covers a host whose processor share is used up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(55);

/// Times that a question is sent to one gate, as datagrams may be lost.
const ASK_COUNT: usize = 2;

/// Most gates that are asked one after another.
const MAX_HOLDER_COUNT: usize = 3;

/// Most gates that a question passes through.
const MAX_HOPS: u32 = 2;

/// Time after its start, or after a suspension, in which a gate holds no quotas: it learns of most other
/// gates first. Those that do not know one another yet pass on what they are asked.
const SETTLE_TIME: Duration = Duration::from_millis(450);

/// Time for which a gate that has granted a part of a quota keeps asking other data centres for a sign
/// of life.
const USED_TIME: Duration = Duration::from_secs(20);

/// Time after it granted in place of a silent gate in which a gate keeps asking for that one.
const BLIND_TIME: Duration = Duration::from_secs(2);

/// Time in which a new holder makes itself known again, as datagrams may be lost.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1_200);

/// Gates that a new holder makes itself known to.
const ANNOUNCED_COUNT: usize = 3;

/// Age of the last confirmation at which a gate whose reads of the store fail asks gates of other data
/// centres for their configuration.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(600);

/// Window of a quota if the settings do not state it.
const DEFAULT_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    over: 0.0,
    slack: 0.0,
};

/// How a question to another gate ended.
enum AskOutcome {
    Granted(QuotaGrant),
    /// The gate cannot hold quotas now.
    Unable,
    /// There was no answer in time.
    Silent,
}

/// Questions that wait for their answers, by number.
#[derive(Debug, Default)]
pub(super) struct PendingGrants {
    waiting: RefCell<HashMap<u64, oneshot::Sender<QuotaGrantBody>>>,
}

impl<W, S> EdgeCore<W, S> {
    /// Whether any workspace has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        let routes = self.routes.borrow();
        let access = routes.as_ref().and_then(|routes| routes.access());
        access.is_some_and(|access| {
            let mut workspaces = access.workspaces();
            workspaces.any(|workspace| workspace.quota.is_some())
        })
    }

    /// How far the fleet may exceed its quotas.
    fn quota_bounds(&self) -> QuotaBounds {
        self.settings().bounds.quota.unwrap_or(DEFAULT_BOUNDS)
    }

    /// The gates that may hold quotas; those of the data centre that have stopped count as silent.
    fn holder_candidates(&self) -> Vec<HolderCandidate> {
        let now = self.clock.now();
        let gates = self.gates.borrow();
        let mut holders = self.quota.holders.borrow_mut();
        for view in gates.views(now) {
            match view.liveness {
                PeerLiveness::Live => {}
                PeerLiveness::Draining => holders.note_unable(view.record.peers, now),
                _ => holders.note_silent(view.record.peers, now),
            }
        }
        let mut candidates = self.contacts.borrow().holder_candidates();
        let own = self.settings().listen_gates;
        if !candidates.iter().any(|gate| gate.address == own) {
            candidates.push(HolderCandidate {
                address: own,
                capacity: self.settings().capacity(),
            });
        }
        candidates
    }

    /// Whether this gate may hold quotas.
    fn can_hold(&self, now: Moment) -> bool {
        self.is_settled(SETTLE_TIME, now) && !self.is_draining()
    }

    /// Whether this gate has run for `time`, since its start or a suspension, and has heard of others.
    pub(crate) fn is_settled(&self, time: Duration, now: Moment) -> bool {
        let runs_since = self.quota.ledger.borrow_mut().runs_since(now);
        now.since(runs_since) >= time && self.contacts.borrow().knows_gates()
    }

    /// Grants a part of a quota from the account of this gate.
    fn grant_own(
        &self,
        name: &str,
        rule: &QuotaRule,
        gate: SocketAddr,
        ask: &QuotaAsk,
    ) -> QuotaGrant {
        let now = self.clock.now();
        let candidates = self.holder_candidates();
        let own = self.settings().listen_gates;
        let standing = self.quota.holders.borrow().standing(name, &candidates, own);
        let view = LedgerView {
            reach: self.granted_fraction(now),
            standing,
        };
        if !self.quota.ledger.borrow().has_account(name) {
            self.announce_holder(name, &candidates);
        }
        let bounds = self.quota_bounds();
        let mut ledger = self.quota.ledger.borrow_mut();
        ledger.grant(name, rule, &bounds, gate, ask, &view, now)
    }

    /// Makes this gate known to those that would hold a quota in its place, as gates of other data
    /// centres may not have heard of it.
    fn announce_holder(&self, name: &str, candidates: &[HolderCandidate]) {
        let own = self.settings().listen_gates;
        let mut others = candidates.to_vec();
        others.retain(|gate| gate.address != own);
        let heartbeat = own_heartbeat(self);
        for _ in 0..ANNOUNCED_COUNT {
            let next = self
                .quota
                .holders
                .borrow()
                .choose(name, &others, self.clock.now());
            let Some(next) = next else { return };
            others.retain(|gate| gate.address != next);
            self.send_now(next, &heartbeat);
        }
    }

    /// Fraction of a quota that this gate grants, by how much of the fleet it reaches. Half of what the
    /// quotas may be exceeded by makes up for gates that have ended and are not forgotten yet.
    fn granted_fraction(&self, now: Moment) -> f64 {
        let reach = self.quota.reach.borrow().fraction(now);
        let allowance = 1.0 + self.quota_bounds().over / 2.0;
        (reach * allowance).min(1.0)
    }

    /// Notes a datagram of another gate, which is not silent then.
    pub(crate) fn note_heard(&self, sender: SocketAddr) {
        self.quota.holders.borrow_mut().note_heard(sender);
    }

    /// A workspace of the configuration in force.
    fn workspace(&self, name: &str) -> Option<Rc<Workspace>> {
        let routes = self.routes()?;
        let workspace = routes.access()?.named(name)?;
        Some(Rc::clone(workspace))
    }

    /// The gate that holds a quota, as far as this one knows.
    fn quota_holder(&self, name: &str) -> Option<SocketAddr> {
        let candidates = self.holder_candidates();
        let now = self.clock.now();
        self.quota.holders.borrow().choose(name, &candidates, now)
    }

    /// Sends what concerns quotas to another gate.
    fn send_quota(&self, address: SocketAddr, mut body: QuotaBody) {
        let (live, known) = self.count_near_gates();
        body.live = live as u32;
        body.known = known as u32;
        let datagram = Datagram {
            quota: Some(body),
            reads_store: self.reads_store(),
            ..Datagram::default()
        };
        self.send_now(address, &datagram);
    }

    /// Sends a datagram without waiting. One that cannot be sent at once is treated like a lost one.
    fn send_now(&self, address: SocketAddr, datagram: &Datagram) {
        if let Some(socket) = &*self.quota.socket.borrow() {
            let _lost = socket.try_send_to(&datagram.encode_to_vec(), address);
        }
    }

    /// Asks a gate of another data centre which configuration it has, if neither the store nor a gate of
    /// the own data centre has confirmed that of this gate lately.
    fn ask_far_config(&self, others: &[(DataCentre, Vec<SocketAddr>)]) {
        let age = Duration::from_millis(self.config_age_ms());
        if !self.server_feed.reads_failing.get() || age < UNCONFIRMED_TIME {
            return;
        }
        for (_, peers) in others {
            if let Some(gate) = peers.iter().choose(&mut rand::rng()) {
                let body = QuotaBody {
                    asks_config: true,
                    ..QuotaBody::default()
                };
                self.send_quota(*gate, body);
            }
        }
    }

    /// The live gates of the data centre, and the known ones.
    fn count_near_gates(&self) -> (usize, usize) {
        let gates = self.gates.borrow();
        let views = gates.views(self.clock.now());
        let live = views
            .filter(|view| matches!(view.liveness, PeerLiveness::Live | PeerLiveness::Draining));
        let live = live.count() + 1;
        let own = &self.settings().data_centre;
        let known = self.contacts.borrow().peers_of(own).len();
        (live, known.max(live))
    }

    /// Asks one gate, and waits for its answer.
    async fn ask_gate(
        &self,
        gate: SocketAddr,
        name: &str,
        ask: &QuotaAsk,
        hops: u32,
    ) -> AskOutcome {
        let number = rand::random();
        let (sender, mut receiver) = oneshot::channel();
        let pending = &self.quota.pending.waiting;
        pending.borrow_mut().insert(number, sender);
        let mut answer = None;
        for _ in 0..ASK_COUNT {
            let body = QuotaBody {
                asks: vec![QuotaAskBody::new(number, name, ask, hops)],
                ..QuotaBody::default()
            };
            self.send_quota(gate, body);
            if let Ok(Ok(grant)) = timeout(ANSWER_TIMEOUT, &mut receiver).await {
                answer = Some(grant);
                break;
            }
        }
        pending.borrow_mut().remove(&number);
        let outcome = match answer {
            Some(body) if body.unable => AskOutcome::Unable,
            Some(body) => AskOutcome::Granted(QuotaGrant::from(&body)),
            None => AskOutcome::Silent,
        };
        let now = self.clock.now();
        let mut holders = self.quota.holders.borrow_mut();
        match outcome {
            AskOutcome::Granted(_) => {}
            AskOutcome::Unable => holders.note_unable(gate, now),
            AskOutcome::Silent => holders.note_silent(gate, now),
        }
        outcome
    }

    /// Applies what another gate sent.
    pub(crate) fn apply_quota(self: &Rc<Self>, body: &QuotaBody, sender: SocketAddr)
    where
        W: 'static,
        S: 'static,
    {
        let now = self.clock.now();
        let data_centre = self.contacts.borrow().data_centre_of(sender);
        if let Some(data_centre) = data_centre {
            let (live, known) = (body.live as usize, body.known as usize);
            let mut reach = self.quota.reach.borrow_mut();
            reach.note(&data_centre, live, known, now);
        }
        for grant in &body.grants {
            let waiting = self
                .quota
                .pending
                .waiting
                .borrow_mut()
                .remove(&grant.number);
            if let Some(waiting) = waiting {
                // The one that asked may have given up in this moment.
                let _ended = waiting.send(grant.clone());
            }
        }
        if body.asks_sign {
            self.send_quota(sender, QuotaBody::default());
        }
        if body.asks_config {
            self.send_now(sender, &self.config_datagram());
        }
        for ask in &body.asks {
            self.answer_ask(ask, sender);
        }
    }

    /// Answers a question, or passes it on to a gate that is to hold the quota.
    fn answer_ask(self: &Rc<Self>, body: &QuotaAskBody, sender: SocketAddr)
    where
        W: 'static,
        S: 'static,
    {
        let now = self.clock.now();
        let workspace = self.workspace(&body.workspace);
        let Some(workspace) = workspace.filter(|_| self.can_hold(now)) else {
            self.send_grant(sender, QuotaGrantBody::unable(body.number));
            return;
        };
        let ask = QuotaAsk::from(body);
        let Some(rule) = workspace.quota else {
            let grant = QuotaGrant {
                granted: ask.waiting + ask.ahead,
                ..QuotaGrant::default()
            };
            self.send_grant(sender, QuotaGrantBody::new(body.number, &grant));
            return;
        };
        let own = self.settings().listen_gates;
        let holder = self.quota_holder(&body.workspace);
        if body.hops >= MAX_HOPS || holder == Some(own) {
            let grant = self.grant_own(&body.workspace, &rule, sender, &ask);
            self.send_grant(sender, QuotaGrantBody::new(body.number, &grant));
        } else if let Some(holder) = holder {
            let core = Rc::clone(self);
            let body = body.clone();
            actix_rt::spawn(async move { core.pass_on(holder, &rule, &body, sender).await });
        }
    }

    /// Passes a question on to the holder, and stands in for it if it is silent.
    async fn pass_on(
        &self,
        holder: SocketAddr,
        rule: &QuotaRule,
        body: &QuotaAskBody,
        sender: SocketAddr,
    ) {
        let (name, ask) = (&body.workspace, QuotaAsk::from(body));
        let outcome = self.ask_gate(holder, name, &ask, body.hops + 1).await;
        let answer = match outcome {
            AskOutcome::Granted(grant) => QuotaGrantBody::new(body.number, &grant),
            AskOutcome::Unable | AskOutcome::Silent => {
                if self.quota_holder(name) == Some(self.settings().listen_gates) {
                    let grant = self.grant_own(name, rule, sender, &ask);
                    QuotaGrantBody::new(body.number, &grant)
                } else {
                    QuotaGrantBody::unable(body.number)
                }
            }
        };
        self.send_grant(sender, answer);
    }

    /// Sends the answer to a question.
    fn send_grant(&self, address: SocketAddr, grant: QuotaGrantBody) {
        let body = QuotaBody {
            grants: vec![grant],
            ..QuotaBody::default()
        };
        self.send_quota(address, body);
    }

    /// Counts the known gates of all data centres, and asks those of which nothing was heard lately for
    /// a sign of life.
    fn refresh_reach(&self, now: Moment) {
        let own = self.settings().data_centre.clone();
        let (live, known) = self.count_near_gates();
        let others = self.contacts.borrow().far_data_centres(&own);
        let mut reach = self.quota.reach.borrow_mut();
        reach.note(&own, live, known, now);
        for (data_centre, peers) in &others {
            reach.note_known(data_centre, peers.len());
        }
        drop(reach);
        let stands_in = self.quota.ledger.borrow().is_blind(BLIND_TIME, now);
        self.ask_far_config(&others);
        let mut asked = self.quota.holders.borrow_mut().due_retries(stands_in, now);
        if self.quota.ledger.borrow().is_used(USED_TIME, now) {
            let others = others.iter();
            asked.extend(others.filter_map(|(_, peers)| peers.iter().choose(&mut rand::rng())));
        }
        for gate in asked {
            let body = QuotaBody {
                asks_sign: true,
                ..QuotaBody::default()
            };
            self.send_quota(gate, body);
        }
    }

    /// Logs which quotas began or ceased to be exceeded.
    fn log_quota_changes(&self, now: Moment) {
        let changes = self.quota.ledger.borrow_mut().tick(now);
        let message = "workspace sends more than its quota";
        for name in changes.exceeded {
            let pairs = slog::o!("workspace" => name.to_string());
            self.log.emit(LogEvent::QuotaExceeded, message, pairs);
        }
        let message = "workspace is within its quota again";
        for name in changes.restored {
            let pairs = slog::o!("workspace" => name.to_string());
            self.log.emit(LogEvent::QuotaRestored, message, pairs);
        }
    }
}

/// Does what is due from time to time for quotas.
pub(crate) fn tick_quotas<W, S>(core: &EdgeCore<W, S>, now: Moment) {
    core.log_quota_changes(now);
    if !core.has_quotas() {
        return;
    }
    core.refresh_reach(now);
    let opened = core.quota.ledger.borrow().opened_within(ANNOUNCE_TIME, now);
    if !opened.is_empty() {
        let candidates = core.holder_candidates();
        for name in opened {
            core.announce_holder(&name, &candidates);
        }
    }
    core.quota.export_stocks(&core.metrics, now);
    core.quota.drop_idle_stocks(now);
}

/// Asks the holder of a workspace's quota for requests, and other gates if it does not answer.
pub(super) async fn ask_holder<W, S>(
    core: Rc<EdgeCore<W, S>>,
    workspace: Rc<Workspace>,
    entry: Rc<StockEntry>,
) where
    W: 'static,
    S: 'static,
{
    let granted = ask_holders(&core, &workspace, &entry).await;
    let now = core.clock.now();
    if let Some(grant) = granted {
        entry.stock.borrow_mut().end_ask(&grant, now);
    } else {
        entry.stock.borrow_mut().fail_ask();
        entry.alone_until.set(now + FAILED_PAUSE);
    }
    entry.answered.notify_waiters();
}

/// Asks one gate after another; `None` if none grants anything or refuses.
async fn ask_holders<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    workspace: &Workspace,
    entry: &StockEntry,
) -> Option<QuotaGrant> {
    let rule = workspace.quota?;
    let name = &*workspace.name;
    let own = core.settings().listen_gates;
    for _ in 0..MAX_HOLDER_COUNT {
        let holder = core.quota_holder(name)?;
        let now = core.clock.now();
        if holder == own && !core.can_hold(now) {
            core.quota.holders.borrow_mut().note_unable(own, now);
            continue;
        }
        let ask = entry.stock.borrow_mut().start_ask(holder, now);
        if holder == own {
            return Some(core.grant_own(name, &rule, own, &ask));
        }
        if let AskOutcome::Granted(grant) = core.ask_gate(holder, name, &ask, 0).await {
            return Some(grant);
        }
    }
    None
}
