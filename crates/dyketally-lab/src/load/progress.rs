//! The progress line of a run.

use std::time::{SystemTime, UNIX_EPOCH};

use indicatif::{ProgressBar, ProgressStyle};

const TEMPLATE: &str = "{prefix} [{bar:30}] {pos}/{len} {elapsed} {msg}";

/// Shows how far a run is. Nothing is shown where there is no terminal.
#[derive(Clone, Debug)]
pub struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Progress of the run `name` in this many steps.
    pub fn new(name: &str, steps: u64) -> Self {
        let bar = ProgressBar::new(steps);
        // The template is fixed; without it the bar would have its usual look.
        if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
            bar.set_style(style);
        }
        bar.set_prefix(name.to_owned());
        bar.tick();
        Self { bar }
    }

    /// One more step is done.
    pub fn step(&self, message: &str) {
        self.bar.set_message(message.to_owned());
        self.bar.inc(1);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}

/// Seconds since 1970.
pub fn now_seconds() -> u64 {
    // A clock before 1970 gives 1970: the time is shown and never compared.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
