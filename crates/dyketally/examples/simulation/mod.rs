//! Discrete-event simulation of statements that wait for the slots of one database.
//!
//! Shared by the examples and the tests. Time is simulated, so results depend on the seed alone.

pub mod by_count;
pub mod callers;
pub mod discipline;
pub mod engine;
pub mod fair;
pub mod first_come;
pub mod measures;
pub mod shuffle_sharding;
pub mod workload;
