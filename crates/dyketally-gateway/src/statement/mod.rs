//! Statements on their way: requests, the choice of a database, reads, writes and transactions.

mod attempt;
pub mod checkout;
mod choose;
pub mod dispatch;
pub mod eligibility;
pub mod ending;
pub mod read;
pub mod request;
pub mod target;
pub mod transaction;
mod unserved;
pub mod write;
