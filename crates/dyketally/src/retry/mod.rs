//! Retries of failed statements, limited by a retry budget.
//!
//! Retries are limited to a percentage of the fresh statements (first attempts), not to a number of retries per
//! statement. When a database fails, all statements fail, and a fixed number of retries would multiply the load.

mod backoff;
mod budget;
mod by_tenant;
mod retrier;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use by_tenant::TenantRetriers;
pub use retrier::{Attempt, Decision, GiveUpReason, Retrier, RetryCounters, RetrySettings};
