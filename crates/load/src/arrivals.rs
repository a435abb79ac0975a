//! The moments at which calls are due.
//!
//! A thread of its own keeps them: the runtime's timer counts whole milliseconds, and arrivals must
//! not wait for a busy runtime.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::error::LoadError;
use crate::plan::LoadPlan;

/// A call that is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueCall {
    pub(crate) number: u64,
    /// Position of its share in the plan.
    pub(crate) share: usize,
    /// When it is to start.
    pub(crate) intended: Instant,
}

/// Draws the calls of a plan: a Poisson process over its shares.
#[derive(Debug)]
pub(crate) struct ArrivalProcess {
    gaps: Exp<f64>,
    choice: WeightedIndex<f64>,
    random: StdRng,
    length: Duration,
    count: u64,
}

impl ArrivalProcess {
    /// The process of a plan.
    pub(crate) fn new(plan: &LoadPlan) -> Result<Self, LoadError> {
        let bad_plan = |cause: String| LoadError::BadPlan { cause };
        if !(plan.rate > 0.0 && plan.rate.is_finite()) {
            return Err(bad_plan("rate is not a positive number".to_owned()));
        }
        let gaps = Exp::new(plan.rate).map_err(|error| bad_plan(error.to_string()))?;
        let weights = plan.shares.iter().map(|share| share.weight);
        let choice = WeightedIndex::new(weights).map_err(|error| bad_plan(error.to_string()))?;
        Ok(Self {
            gaps,
            choice,
            random: StdRng::seed_from_u64(plan.seed),
            length: plan.length,
            count: plan.count,
        })
    }

    /// Hands out calls as they become due, from a thread that ends with the process.
    pub(crate) fn start(self, start: Instant) -> UnboundedReceiver<DueCall> {
        let (sender, receiver) = unbounded_channel();
        std::thread::spawn(move || self.run(start, &sender));
        receiver
    }

    fn run(mut self, start: Instant, sender: &UnboundedSender<DueCall>) {
        let mut intended = start;
        for number in 0..self.count {
            let gap = self.gaps.sample(&mut self.random);
            let share = self.choice.sample(&mut self.random);
            intended += Duration::from_secs_f64(gap);
            if intended - start > self.length {
                return;
            }
            std::thread::sleep(intended.saturating_duration_since(Instant::now()));
            let call = DueCall {
                number,
                share,
                intended,
            };
            if sender.send(call).is_err() {
                return;
            }
        }
    }
}
