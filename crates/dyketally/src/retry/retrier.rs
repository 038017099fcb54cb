//! Decides whether and when a statement is sent again after a failed attempt.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::budget::RetryBudget;
use crate::policy::Repeat;
use crate::time::Timestamp;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Number of retries that 100 fresh statements earn.
    pub percent_of_fresh: u32,
    /// Greatest number of retries that can be saved up.
    pub burst: u32,
    /// Delays between attempts.
    pub backoff: Backoff,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            percent_of_fresh: 10,
            burst: 20,
            backoff: Backoff {
                first: Duration::from_millis(10),
                longest: Duration::from_secs(1),
            },
        }
    }
}

/// A failed attempt to run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of attempts so far, this one included; at least 1.
    pub number: u32,
    /// Whether the statement may have reached a database.
    pub may_have_run: bool,
    /// Whether the statement may be sent again after it may have run.
    pub repeat: Repeat,
    /// Retry-after time that came with the failure, if any.
    pub retry_after: Option<Duration>,
    /// The statement's deadline.
    pub deadline: Timestamp,
}

/// What to do with a statement whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the statement again at this time, which is before its deadline.
    RetryAt(Timestamp),
    /// Don't send the statement again; answer the caller now.
    GiveUp(GiveUpReason),
}

/// The reason for which a statement is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// The statement may have run and must not run twice.
    NotRepeatable,
    /// The next attempt would begin at or past the deadline.
    DeadlineTooNear,
    /// The retry budget is spent.
    BudgetSpent,
}

/// Counts of the decisions so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounters {
    /// Number of fresh statements.
    pub fresh: u64,
    /// Number of retries allowed.
    pub retried: u64,
    /// Number of statements given up because they may have run and must not run twice.
    pub not_repeatable: u64,
    /// Number of statements given up because their deadline was too near.
    pub deadline_too_near: u64,
    /// Number of statements given up because the budget was spent.
    pub budget_spent: u64,
}

/// The retry budget and backoff of one source of statements, such as a tenant at an edge node.
#[derive(Clone, Debug)]
pub struct Retrier {
    budget: RetryBudget,
    backoff: Backoff,
    counters: RetryCounters,
}

impl Retrier {
    /// Creates a retrier with a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Retrier {
            budget: RetryBudget::new(settings.percent_of_fresh, settings.burst),
            backoff: settings.backoff,
            counters: RetryCounters::default(),
        }
    }

    /// Records that a statement is about to be sent for the first time.
    pub fn record_fresh(&mut self) {
        self.counters.fresh += 1;
        self.budget.earn();
    }

    /// Decides whether a statement is sent again after a failed attempt. A retry is charged to the budget.
    pub fn decide(&mut self, now: Timestamp, attempt: &Attempt, random: &mut impl Rng) -> Decision {
        if attempt.may_have_run && attempt.repeat == Repeat::Never {
            return self.give_up(GiveUpReason::NotRepeatable);
        }
        let backoff = self.backoff.delay(attempt.number.max(1), random);
        let delay = backoff.max(attempt.retry_after.unwrap_or_default());
        let at = now + delay;
        if at >= attempt.deadline {
            return self.give_up(GiveUpReason::DeadlineTooNear);
        }
        if !self.budget.spend() {
            return self.give_up(GiveUpReason::BudgetSpent);
        }
        self.counters.retried += 1;
        Decision::RetryAt(at)
    }

    /// Counts of the decisions so far.
    pub fn counters(&self) -> RetryCounters {
        self.counters
    }

    fn give_up(&mut self, reason: GiveUpReason) -> Decision {
        let counter = match reason {
            GiveUpReason::NotRepeatable => &mut self.counters.not_repeatable,
            GiveUpReason::DeadlineTooNear => &mut self.counters.deadline_too_near,
            GiveUpReason::BudgetSpent => &mut self.counters.budget_spent,
        };
        *counter += 1;
        Decision::GiveUp(reason)
    }
}
