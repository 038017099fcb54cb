//! Statements on their way: requests, the choice of a database, reads, writes and transactions.

mod attempt;
pub mod checkout;
mod choose;
pub mod dispatch;
pub mod ending;
mod primary;
pub mod read;
pub mod request;
pub mod transaction;
mod unserved;
pub mod write;
