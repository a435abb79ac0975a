//! A run: calls arrive at random moments and are measured from those.
//!
//! Arrivals do not wait for answers, so a stall shows in the latency of every call that was due in
//! it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::arrivals::{ArrivalProcess, DueCall};
use crate::caller::{LoadCaller, new_client};
use crate::entries::EntryCache;
use crate::error::LoadError;
use crate::outcome::CallOutcome;
use crate::plan::{LoadPlan, LoadTarget};
use crate::progress::LoadProgress;
use crate::summary::{AddedLatency, CallPath, LatencySummary, LoadSummary, ShareSummary};
use crate::tally::ShareTally;

/// Time for which the answers of the last calls are awaited.
const END_LIMIT: Duration = Duration::from_secs(30);

/// Time between looks at the calls that are left.
const END_INTERVAL: Duration = Duration::from_millis(2);

/// Time between questions for entries at the start of a run.
const ENTRY_INTERVAL: Duration = Duration::from_millis(50);

/// Questions for entries at the start of a run.
const ENTRY_TRIES: u32 = 100;

/// State of a run that its calls share.
struct RunState {
    plan: LoadPlan,
    caller: LoadCaller,
    /// Distinguishes the tokens of this run from those of others.
    prefix: u64,
    /// For each share, its calls through gates and straight to a server.
    tallies: RefCell<Vec<[ShareTally; 2]>>,
    in_flight: Cell<usize>,
    skipped: Cell<u64>,
    start_lag: Cell<Duration>,
    progress: LoadProgress,
}

/// Carries out a plan on the current runtime.
///
/// # Errors
///
/// Fails when the plan cannot be run or no gate names addresses.
///
/// ```
/// use std::time::Duration;
/// use ggs_load::{LoadPlan, LoadTarget, TrafficShare, run_load};
/// use ggs_model::RequestClass;
/// use ggs_standin::{ServerOptions, start_server};
///
/// actix_rt::System::new().block_on(async {
///     let server = start_server(ServerOptions::default()).await.unwrap();
///     let share = TrafficShare::new("roster", RequestClass::Urgent);
///     let mut plan = LoadPlan::new(LoadTarget::Direct(server.address()), vec![share]);
///     plan.length = Duration::from_millis(200);
///     let summary = run_load(plan).await.unwrap();
///     assert_eq!(summary.shares[0].answered, summary.started);
/// });
/// ```
pub async fn run_load(plan: LoadPlan) -> Result<LoadSummary, LoadError> {
    let arrivals = ArrivalProcess::new(&plan)?;
    let state = Rc::new(RunState::new(plan));
    let followers = state.follow_entries().await?;
    let start = Instant::now();
    let mut due = arrivals.start(start);
    let mut started = 0;
    while let Some(call) = due.recv().await {
        state.launch(call);
        started += 1;
        state
            .progress
            .show(started, start.elapsed(), &state.tallies);
    }
    let elapsed = start.elapsed();
    state.finish().await;
    for follower in followers {
        follower.abort();
    }
    Ok(state.summary(started, elapsed))
}

impl RunState {
    fn new(plan: LoadPlan) -> Self {
        let caller = LoadCaller {
            client: new_client(plan.in_flight * 2),
            entries: Rc::default(),
            retries: plan.retries,
        };
        let tallies = plan
            .shares
            .iter()
            .map(|_| [ShareTally::new(), ShareTally::new()]);
        let tallies = RefCell::new(tallies.collect());
        let progress = LoadProgress::new(plan.progress, plan.length);
        Self {
            plan,
            caller,
            prefix: rand::random(),
            tallies,
            in_flight: Cell::new(0),
            skipped: Cell::new(0),
            start_lag: Cell::new(Duration::ZERO),
            progress,
        }
    }

    /// Asks for the addresses of each service, and keeps asking.
    async fn follow_entries(&self) -> Result<Vec<actix_rt::task::JoinHandle<()>>, LoadError> {
        let gates = match &self.plan.target {
            LoadTarget::Direct(_) => return Ok(Vec::new()),
            LoadTarget::Gates(gates) | LoadTarget::Compared { gates, .. } => gates,
        };
        let mut services: Vec<_> = { &self.plan.shares }
            .iter()
            .map(|share| &share.service)
            .collect();
        services.sort_unstable();
        services.dedup();
        let mut followers = Vec::new();
        for service in services {
            self.first_entries(service, gates).await?;
            let entries: Rc<EntryCache> = Rc::clone(&self.caller.entries);
            let client = self.caller.client.clone();
            let following = entries.follow(client, service.clone(), gates.clone());
            followers.push(actix_rt::spawn(following));
        }
        Ok(followers)
    }

    /// Asks for the addresses of a service until some are named.
    async fn first_entries(
        &self,
        service: &ggs_model::ServiceName,
        gates: &[SocketAddr],
    ) -> Result<(), LoadError> {
        let mut cause = String::new();
        for _ in 0..ENTRY_TRIES {
            match self
                .caller
                .entries
                .refresh(&self.caller.client, service, gates)
                .await
            {
                Ok(_) => return Ok(()),
                Err(error) => cause = error,
            }
            actix_rt::time::sleep(ENTRY_INTERVAL).await;
        }
        let service = service.clone();
        Err(LoadError::NoEntries { service, cause })
    }

    /// Starts a call that is due, unless too many are in flight.
    fn launch(self: &Rc<Self>, call: DueCall) {
        let lag = call.intended.elapsed();
        self.start_lag.set(self.start_lag.get().max(lag));
        if self.in_flight.get() >= self.plan.in_flight {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            state.call(call).await;
            state.in_flight.set(state.in_flight.get() - 1);
        });
    }

    /// Makes a call and records how it ended.
    async fn call(&self, call: DueCall) {
        let share = &self.plan.shares[call.share];
        let token = format!("{:016x}-{}", self.prefix, call.number);
        let direct = match &self.plan.target {
            LoadTarget::Gates(_) => None,
            LoadTarget::Direct(server) => Some(*server),
            LoadTarget::Compared { direct, .. } => call.number.is_multiple_of(2).then_some(*direct),
        };
        let (path, result) = if let Some(server) = direct {
            let result = self.caller.call_server(server, share, &token).await;
            (CallPath::Direct, result)
        } else {
            let result = self.caller.call_gates(share, &token).await;
            (CallPath::Gate, result)
        };
        let latency = call.intended.elapsed();
        let mut tallies = self.tallies.borrow_mut();
        tallies[call.share][path as usize].record(result, latency);
    }

    /// Waits for the calls in flight.
    async fn finish(&self) {
        let end = Instant::now() + END_LIMIT;
        while self.in_flight.get() > 0 && Instant::now() < end {
            actix_rt::time::sleep(END_INTERVAL).await;
        }
        self.progress.finish();
    }

    /// The results after `started` calls in `elapsed`.
    fn summary(&self, started: u64, elapsed: Duration) -> LoadSummary {
        let seconds = elapsed.as_secs_f64();
        let paths: &[CallPath] = match self.plan.target {
            LoadTarget::Gates(_) => &[CallPath::Gate],
            LoadTarget::Direct(_) => &[CallPath::Direct],
            LoadTarget::Compared { .. } => &[CallPath::Gate, CallPath::Direct],
        };
        let mut shares = Vec::new();
        for index in 0..self.plan.shares.len() {
            for path in paths {
                shares.push(self.share_summary(index, *path));
            }
        }
        let added = match paths {
            [_, _] => Some(added(&shares[0].latency, &shares[1].latency)),
            _ => None,
        };
        LoadSummary {
            seconds,
            started,
            skipped: self.skipped.get(),
            rate: started as f64 / seconds,
            start_lag_us: self.start_lag.get().as_micros() as u64,
            shares,
            added,
        }
    }

    /// The results of one share on one path.
    fn share_summary(&self, index: usize, path: CallPath) -> ShareSummary {
        let share = &self.plan.shares[index];
        let mut summary = ShareSummary {
            path,
            service: share.service.clone(),
            class: share.class,
            keyed: share.keyed,
            calls: 0,
            answered: 0,
            failed: 0,
            not_run: 0,
            unknown: 0,
            cut: 0,
            wrong: 0,
            retries: 0,
            reasons: Vec::new(),
            latency: LatencySummary::default(),
        };
        self.tallies.borrow()[index][path as usize].summarise(&mut summary);
        summary
    }
}

/// What the first path adds to the second.
fn added(gate: &LatencySummary, direct: &LatencySummary) -> AddedLatency {
    AddedLatency {
        p50_us: gate.p50_us as i64 - direct.p50_us as i64,
        p99_us: gate.p99_us as i64 - direct.p99_us as i64,
    }
}

/// Calls of all shares with an outcome.
pub(crate) fn count(tallies: &[[ShareTally; 2]], outcome: CallOutcome) -> u64 {
    let tallies = tallies.iter().flatten();
    tallies.map(|tally| tally.count(outcome)).sum()
}
