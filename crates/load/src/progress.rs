//! Progress on a terminal.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::outcome::CallOutcome;
use crate::run::count;
use crate::tally::ShareTally;

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The look of the bar.
const TEMPLATE: &str = "{bar:30} {percent:>3}% {msg}";

/// A progress bar over the length of a run, or nothing.
#[derive(Debug)]
pub(crate) struct LoadProgress {
    bar: Option<ProgressBar>,
    shown: Cell<Duration>,
}

impl LoadProgress {
    /// A bar on standard error if it is wanted; it draws on terminals only.
    pub(crate) fn new(wanted: bool, length: Duration) -> Self {
        let bar = wanted.then(|| {
            let target = ProgressDrawTarget::stderr();
            let bar = ProgressBar::with_draw_target(Some(length.as_millis() as u64), target);
            let style = ProgressStyle::with_template(TEMPLATE);
            bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
        });
        let shown = Cell::new(Duration::ZERO);
        Self { bar, shown }
    }

    /// Shows the state of the run, if it is time.
    pub(crate) fn show(
        &self,
        started: u64,
        elapsed: Duration,
        tallies: &RefCell<Vec<[ShareTally; 2]>>,
    ) {
        let Some(bar) = &self.bar else {
            return;
        };
        if elapsed < self.shown.get() + UPDATE_INTERVAL {
            return;
        }
        self.shown.set(elapsed);
        let tallies = tallies.borrow();
        let answered = count(&tallies, CallOutcome::Answered);
        let not_run = count(&tallies, CallOutcome::NotRun);
        let unknown = count(&tallies, CallOutcome::Unknown);
        bar.set_position(elapsed.as_millis() as u64);
        bar.set_message(format!(
            "started {started}, answered {answered}, not run {not_run}, unknown {unknown}"
        ));
    }

    /// Removes the bar.
    pub(crate) fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
