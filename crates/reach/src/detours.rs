//! Chooses the gate that takes a request whose servers this gate does not reach.
//!
//! Whether another gate reaches the servers is learnt by asking it: a gate that does not says so at
//! once. What is learnt holds for a short time and is told to no other gate, as a partition may
//! separate each gate from other servers.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{DataCentre, Moment};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Time for which a gate is not asked again after it has declined a request.
const DECLINED_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a gate is not asked again after it did not answer.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(5);

/// Gates of a data centre that decline one after another before the others of it are left out too.
const MAX_DECLINED_COUNT: u32 = 3;

/// Range of the random factor on each pause, so that gates do not all ask again at the same time.
const PAUSE_JITTER: Range<f64> = 0.75..1.25;

/// A gate that could take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetourGate {
    /// Address at which it accepts requests of other gates.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether that is the data centre of the gate that asks.
    pub near: bool,
    /// Capacity of its host relative to the smallest.
    pub capacity: u32,
}

/// What is known of the gates of one data centre together.
#[derive(Clone, Copy, Debug, Default)]
struct CentreEntry {
    /// Gates that declined since the last that accepted.
    declined: u32,
    avoid_until: Moment,
}

/// The gates that did not take requests lately.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_reach::{DetourGate, DetourTable};
///
/// let gate = |host: u8| DetourGate {
///     address: ([10, 0, 0, host], 7).into(),
///     data_centre: "dc-1".into(),
///     near: true,
///     capacity: 1,
/// };
/// let gates = [gate(1), gate(2)];
/// let mut table = DetourTable::new(1);
/// table.record_declined(&gates[0], Moment::ZERO);
/// let chosen = table.choose(&gates, &[], Moment::ZERO);
/// assert_eq!(chosen, Some(&gates[1]));
/// ```
#[derive(Clone, Debug)]
pub struct DetourTable {
    avoided: HashMap<SocketAddr, Moment>,
    centres: HashMap<DataCentre, CentreEntry>,
    rng: SmallRng,
}

impl DetourTable {
    /// An empty table; `seed` starts the random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            avoided: HashMap::default(),
            centres: HashMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses one of some gates at random, in proportion to their capacity: one of the own data centre
    /// if there is one that may take the request. Gates in `tried` are left out.
    pub fn choose<'a>(
        &mut self,
        gates: &'a [DetourGate],
        tried: &[SocketAddr],
        now: Moment,
    ) -> Option<&'a DetourGate> {
        self.avoided.retain(|_, until| *until > now);
        let open = gates.iter().filter(|gate| {
            let centre = self.centres.get(&gate.data_centre);
            let centre_avoided = centre.is_some_and(|centre| centre.avoid_until > now);
            !centre_avoided
                && !self.avoided.contains_key(&gate.address)
                && !tried.contains(&gate.address)
        });
        let (near, far): (Vec<_>, Vec<_>) = open.partition(|gate| gate.near);
        let open = if near.is_empty() { far } else { near };
        let chosen = open.choose_weighted(&mut self.rng, |gate| gate.capacity.max(1));
        chosen.ok().copied()
    }

    /// Records that a gate took a request.
    pub fn record_accepted(&mut self, gate: &DetourGate) {
        self.avoided.remove(&gate.address);
        self.centres.remove(&gate.data_centre);
    }

    /// Records that a gate declined a request.
    pub fn record_declined(&mut self, gate: &DetourGate, now: Moment) {
        self.avoid(gate, DECLINED_PAUSE, now);
    }

    /// Records that a gate could not be reached, or did not answer.
    pub fn record_unanswered(&mut self, gate: &DetourGate, now: Moment) {
        self.avoid(gate, UNANSWERED_PAUSE, now);
    }

    /// Leaves a gate out for some time, and its data centre if it is one of many there.
    fn avoid(&mut self, gate: &DetourGate, pause: Duration, now: Moment) {
        let until = now + pause.mul_f64(self.rng.random_range(PAUSE_JITTER));
        self.avoided.insert(gate.address, until);
        let centre = self.centres.entry(gate.data_centre.clone()).or_default();
        centre.declined += 1;
        if centre.declined >= MAX_DECLINED_COUNT {
            centre.declined = 0;
            let pause = DECLINED_PAUSE.mul_f64(self.rng.random_range(PAUSE_JITTER));
            centre.avoid_until = now + pause;
        }
    }
}
