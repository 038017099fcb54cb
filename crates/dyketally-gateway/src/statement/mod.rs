//! Statements on their way: requests, the choice of a database, reads, writes and transactions.

pub mod hand_over;
pub mod reach;
pub mod read;
pub mod request;
pub mod target;
pub mod transaction;
pub mod unserved;
pub mod write;
