//! What callers do when a statement was not run.

use std::time::Duration;

use dyketally::policy::Repeat;
use dyketally::retry::{Attempt, Decision, Retrier};
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::discipline::NotRun;

/// Whether and when statements that were not run are sent again.
pub enum Callers {
    /// Never.
    GiveUp,
    /// After a fixed time, whatever the answer says, until the deadline.
    Insist {
        /// The fixed time.
        interval: Duration,
    },
    /// Within a retry budget.
    Budgeted {
        /// The budget, for all callers together.
        retrier: Box<Retrier>,
        /// For the jitter.
        random: Box<StdRng>,
    },
}

impl Callers {
    /// Callers within a retry budget.
    pub fn budgeted(retrier: Retrier, seed: u64) -> Self {
        Callers::Budgeted {
            retrier: Box::new(retrier),
            random: Box::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// A statement is sent for the first time.
    pub fn fresh(&mut self) {
        if let Callers::Budgeted { retrier, .. } = self {
            retrier.fresh();
        }
    }

    /// When the statement is sent again, if it is.
    pub fn retry_at(&mut self, now: Timestamp, not_run: &NotRun) -> Option<Timestamp> {
        match self {
            Callers::GiveUp => None,
            Callers::Insist { interval } => {
                let at = now + *interval;
                (at < not_run.job.deadline).then_some(at)
            }
            Callers::Budgeted { retrier, random } => {
                let attempt = Attempt {
                    number: not_run.job.attempt,
                    may_have_run: false,
                    repeat: Repeat::Never,
                    retry_after: not_run.retry_after,
                    deadline: not_run.job.deadline,
                };
                match retrier.decide(now, &attempt, random.as_mut()) {
                    Decision::RetryAt(at) => Some(at),
                    Decision::GiveUp(_) => None,
                }
            }
        }
    }
}
