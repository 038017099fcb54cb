//! Retry budget for repeatable statements.
//!
//! Retries are limited to a share of the fresh work, not to a count for each statement: when a
//! database is in trouble every statement fails, and a count would multiply the load by it.

mod backoff;
mod budget;
mod by_tenant;
mod retrier;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use by_tenant::TenantRetriers;
pub use retrier::{Attempt, Decision, GiveUpReason, Retrier, RetryCounters, RetrySettings};
