//! A fake server: slots, a first-in-first-out queue and a speed that changes.

use std::collections::VecDeque;

use ggs_model::LoadReport;

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// The attempt that it belongs to.
    pub(crate) attempt: usize,
    /// Work left, in milliseconds at full speed.
    pub(crate) work: f64,
}

/// Whether a server works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerMode {
    /// Works.
    Live,
    /// Finishes its work and refuses more.
    Draining,
    /// Fails each request at once.
    FailFast,
    /// Answers nothing.
    Dead,
}

/// A fake server.
#[derive(Debug)]
pub(crate) struct FakeServer {
    /// Whether it works.
    pub(crate) mode: ServerMode,
    /// Times that its work takes longer than at full speed.
    pub(crate) slowness: f64,
    /// Changes whenever the ends told before no longer hold.
    pub(crate) version: u64,
    slots: usize,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    updated: f64,
    history: VecDeque<(f64, LoadReport)>,
    lag: f64,
}

impl FakeServer {
    /// An idle server whose reports are `lag` milliseconds old.
    pub(crate) fn new(slots: u32, lag: f64) -> Self {
        Self {
            mode: ServerMode::Live,
            slowness: 1.0,
            version: 0,
            slots: slots as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
            updated: 0.0,
            history: VecDeque::new(),
            lag,
        }
    }

    /// Takes the work done up to `now` off the running requests.
    fn advance(&mut self, now: f64) {
        let done = (now - self.updated) / self.slowness;
        for job in &mut self.running {
            job.work = (job.work - done).max(0.0);
        }
        self.updated = now;
    }

    /// Takes in a request.
    pub(crate) fn push(&mut self, job: Job, now: f64) {
        self.advance(now);
        if self.running.len() < self.slots {
            self.running.push(job);
        } else {
            self.queue.push_back(job);
        }
        self.changed(now);
    }

    /// Takes out the request that ends next and starts one that waits.
    pub(crate) fn pop(&mut self, now: f64) -> Job {
        self.advance(now);
        let index = self.next_index().expect("a request ends");
        let job = self.running.swap_remove(index);
        if let Some(next) = self.queue.pop_front() {
            self.running.push(next);
        }
        self.changed(now);
        job
    }

    /// Changes the speed.
    pub(crate) fn slow_down(&mut self, slowness: f64, now: f64) {
        self.advance(now);
        self.slowness = slowness;
        self.version += 1;
    }

    /// When the next request ends.
    pub(crate) fn next_end(&self) -> Option<f64> {
        let index = self.next_index()?;
        Some(self.updated + self.running[index].work * self.slowness)
    }

    /// Position of the request that ends next.
    fn next_index(&self) -> Option<usize> {
        let work = |index: &usize| self.running[*index].work;
        (0..self.running.len()).min_by(|left, right| work(left).total_cmp(&work(right)))
    }

    /// Notes the load for later reports.
    fn changed(&mut self, now: f64) {
        self.version += 1;
        if self.lag > 0.0 {
            self.history.push_back((now, self.load()));
        }
    }

    /// The load as it is.
    fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots as u32,
        }
    }

    /// The load that the server reports.
    pub(crate) fn report(&mut self, now: f64) -> LoadReport {
        if self.lag == 0.0 {
            return self.load();
        }
        while self.history.len() > 1 && self.history[1].0 <= now - self.lag {
            self.history.pop_front();
        }
        let shown = self.history.front().filter(|(at, _)| *at <= now - self.lag);
        shown.map_or_else(LoadReport::default, |(_, load)| *load)
    }
}
