//! Keeps to the quotas of workspaces over all gates of the fleet.
//!
//! Each request of a workspace with a quota is charged before its body is read. One gate holds the
//! account of a workspace, and the others ask it for a few requests at a time (`ggs_limit`). This module
//! charges requests; [`exchange`] carries the questions between gates.

mod exchange;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use foldhash::HashMap;
use ggs_access::Workspace;
use ggs_limit::{FleetReach, HolderTable, QuotaLedger, QuotaRule, QuotaStock, StockDecision};
use ggs_model::{BootClock, Clock, Moment};
use ggs_route::ActiveRoute;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

pub(crate) use exchange::tick_quotas;
use exchange::{PendingGrants, ask_holder};

use crate::core::EdgeCore;
use crate::metrics::EdgeMetrics;
use crate::ports::EdgeWire;

/// Part of the objective of a request for which it may wait for the holder of its quota.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Time for which a gate does not ask again after no holder answered. Gates that start together hold
/// quotas soon.
const FAILED_PAUSE: Duration = Duration::from_millis(60);

/// Time without requests after which the stock of a workspace is dropped.
const STOCK_TTL: Duration = Duration::from_secs(30);

/// What this gate was granted of the quota of one workspace.
#[derive(Debug)]
struct StockEntry {
    stock: RefCell<QuotaStock>,
    /// Notified when a question has been answered or has failed.
    answered: Notify,
    /// Until when this gate uses its own share, as no holder answered.
    alone_until: Cell<Moment>,
}

/// What a gate keeps of the quotas of workspaces.
#[derive(Debug)]
pub(crate) struct QuotaState {
    stocks: RefCell<HashMap<Arc<str>, Rc<StockEntry>>>,
    ledger: RefCell<QuotaLedger>,
    holders: RefCell<HolderTable>,
    reach: RefCell<FleetReach>,
    pending: PendingGrants,
    /// Socket for datagrams; `None` until the gate has bound it.
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl QuotaState {
    /// The state of a gate that starts at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            stocks: RefCell::default(),
            ledger: RefCell::new(QuotaLedger::new(now)),
            holders: RefCell::default(),
            reach: RefCell::default(),
            pending: PendingGrants::default(),
            socket: RefCell::default(),
        }
    }

    /// Sets the socket for datagrams to other gates.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// The stock of a workspace.
    fn stock(&self, name: &Arc<str>) -> Rc<StockEntry> {
        let mut stocks = self.stocks.borrow_mut();
        let entry = stocks.entry(Arc::clone(name)).or_insert_with(|| {
            Rc::new(StockEntry {
                stock: RefCell::new(QuotaStock::new(rand::random())),
                answered: Notify::new(),
                alone_until: Cell::new(Moment::ZERO),
            })
        });
        Rc::clone(entry)
    }

    /// Shows in the metrics what this gate holds of each quota.
    fn export_stocks(&self, metrics: &EdgeMetrics, now: Moment) {
        for (name, entry) in self.stocks.borrow().iter() {
            metrics.set_quota_held(name, entry.stock.borrow().tokens(now));
        }
    }

    /// Drops the stocks of workspaces that have sent nothing for long.
    fn drop_idle_stocks(&self, now: Moment) {
        let mut stocks = self.stocks.borrow_mut();
        stocks.retain(|_, entry| !entry.stock.borrow().is_idle(STOCK_TTL, now));
    }
}

/// Why a request is not charged. It is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaRefusal {
    /// The workspace has used its quota; the caller may retry after this time.
    Exceeded(Duration),
    /// No holder answers, and this gate's own share is used up.
    NoHolder,
}

/// The charge of one request. It is given back on drop unless it was kept.
#[derive(Debug)]
pub(crate) struct QuotaCharge {
    entry: Option<Rc<StockEntry>>,
    workspace: Option<Arc<str>>,
    is_kept: Cell<bool>,
}

impl QuotaCharge {
    /// The charge of a request that has no quota.
    const fn free() -> Self {
        Self {
            entry: None,
            workspace: None,
            is_kept: Cell::new(true),
        }
    }

    /// Whether the request was charged to this workspace, or to none.
    pub(crate) fn is_for(&self, workspace: Option<&Rc<Workspace>>) -> bool {
        let quota = workspace.filter(|workspace| workspace.quota.is_some());
        self.workspace.as_deref() == quota.map(|workspace| &*workspace.name)
    }

    /// Keeps the charge, as the request may run.
    pub(crate) fn keep(&self) {
        self.is_kept.set(true);
    }

    /// Gives the charge back, as the request has not run and will not.
    pub(crate) fn refund(&self) {
        self.is_kept.set(false);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take()
            && !self.is_kept.get()
        {
            entry.stock.borrow_mut().refund(BootClock.now());
        }
    }
}

/// What matters of a request for its charge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChargeTerms {
    /// Longest time to wait for the holder.
    wait_until: Moment,
    /// Whether its answer would come after the objective, counted from the caller's first attempt.
    is_late: bool,
}

impl ChargeTerms {
    /// The terms of a request on a route that arrived at `arrived_at`, states the time of `stated`, and
    /// usually takes `work`.
    pub(crate) fn new(
        route: &ActiveRoute,
        stated: Duration,
        work: Duration,
        arrived_at: Moment,
    ) -> Self {
        let objective = route.rule().objective;
        Self {
            wait_until: arrived_at + objective / MAX_WAIT_DIVISOR,
            is_late: route.patience().waited(stated) + work > objective,
        }
    }
}

/// Charges a request to its workspace, if that has a quota.
pub(crate) async fn charge<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    workspace: Option<&Rc<Workspace>>,
    terms: impl FnOnce() -> ChargeTerms,
) -> Result<QuotaCharge, QuotaRefusal>
where
    W: EdgeWire,
    S: 'static,
{
    let quota = workspace.and_then(|workspace| Some((workspace, workspace.quota?)));
    let Some((workspace, rule)) = quota else {
        return Ok(QuotaCharge::free());
    };
    let name = &workspace.name;
    let entry = core.quota.stock(name);
    let charged = take(core, workspace, &rule, &entry, terms()).await;
    core.metrics.count_charge(name, charged.is_ok());
    charged.map(|()| QuotaCharge {
        entry: Some(entry),
        workspace: Some(Arc::clone(name)),
        is_kept: Cell::new(false),
    })
}

/// Takes one request from the stock of a workspace, and asks the holder if there is none.
async fn take<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    workspace: &Rc<Workspace>,
    rule: &QuotaRule,
    entry: &Rc<StockEntry>,
    terms: ChargeTerms,
) -> Result<(), QuotaRefusal>
where
    W: EdgeWire,
    S: 'static,
{
    let mut now = core.clock.now();
    let mut decision = entry.stock.borrow_mut().take(terms.is_late, now);
    let _waiting = WaitGuard::start(entry);
    loop {
        // Created before the question is sent, so that it misses no answer.
        let answered = entry.answered.notified();
        match decision {
            StockDecision::Granted => return Ok(()),
            StockDecision::Refused(retry_after) => {
                return Err(QuotaRefusal::Exceeded(retry_after));
            }
            StockDecision::Ask => {
                let (core, workspace) = (Rc::clone(core), Rc::clone(workspace));
                actix_rt::spawn(ask_holder(core, workspace, Rc::clone(entry)));
            }
            StockDecision::Wait => {}
        }
        let is_answered = timeout(terms.wait_until.since(now), answered).await.is_ok();
        now = core.clock.now();
        let alone_until = entry.alone_until.get();
        if !is_answered || now < alone_until {
            if take_spare(core, rule, entry) {
                return Ok(());
            }
            if alone_until > terms.wait_until || now >= terms.wait_until {
                return Err(QuotaRefusal::NoHolder);
            }
            sleep(alone_until.since(now)).await;
            now = core.clock.now();
        }
        decision = entry.stock.borrow_mut().retake(now);
    }
}

/// Takes one request from this gate's own share, as no holder answers.
fn take_spare<W, S>(core: &EdgeCore<W, S>, rule: &QuotaRule, entry: &StockEntry) -> bool {
    let gates = core.fleet_size();
    let mut stock = entry.stock.borrow_mut();
    stock.take_spare(rule, gates, core.clock.now())
}

/// Counts a request as waiting until it is dropped, also if its caller leaves.
struct WaitGuard<'a> {
    entry: &'a StockEntry,
}

impl<'a> WaitGuard<'a> {
    /// Starts to count a request.
    fn start(entry: &'a StockEntry) -> Self {
        entry.stock.borrow_mut().join();
        Self { entry }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.entry.stock.borrow_mut().leave();
    }
}
