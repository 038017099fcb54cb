//! Decides whether and when a statement that failed is sent again.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::budget::RetryBudget;
use crate::policy::Repeat;
use crate::time::Timestamp;

/// How retries are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetrySettings {
    /// Retries that a hundred fresh statements earn.
    pub percent_of_fresh: u32,
    /// Retries that may be saved up.
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

/// An attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Attempts made so far, this one included; at least 1.
    pub number: u32,
    /// Whether the statement may have reached a database.
    pub may_have_run: bool,
    /// Whether the statement may be sent again after it may have run.
    pub repeat: Repeat,
    /// Time to come back that the failure named, if it named one.
    pub retry_after: Option<Duration>,
    /// The statement's deadline.
    pub deadline: Timestamp,
}

/// What to do with a statement whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it again at this time, which lies before its deadline.
    RetryAt(Timestamp),
    /// Answer the caller now.
    GiveUp(GiveUpReason),
}

/// Why a statement is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// It may have run and may not run twice.
    NotRepeatable,
    /// The next attempt would begin at or past the deadline.
    DeadlineTooNear,
    /// Retries have used up their share of the work.
    BudgetSpent,
}

/// What was decided so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounters {
    /// Fresh statements.
    pub fresh: u64,
    /// Retries allowed.
    pub retried: u64,
    /// Given up: the statement may have run and may not run twice.
    pub not_repeatable: u64,
    /// Given up: the deadline was too near.
    pub deadline_too_near: u64,
    /// Given up: the budget was spent.
    pub budget_spent: u64,
}

/// Budget and backoff of one source of statements, such as a tenant at an edge.
#[derive(Clone, Debug)]
pub struct Retrier {
    budget: RetryBudget,
    backoff: Backoff,
    counters: RetryCounters,
}

impl Retrier {
    /// A retrier with a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Retrier {
            budget: RetryBudget::new(settings.percent_of_fresh, settings.burst),
            backoff: settings.backoff,
            counters: RetryCounters::default(),
        }
    }

    /// A statement is about to be sent for the first time.
    pub fn fresh(&mut self) {
        self.counters.fresh += 1;
        self.budget.earn();
    }

    /// Decides about a failed attempt; a retry is charged to the budget.
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

    /// What was decided so far.
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
