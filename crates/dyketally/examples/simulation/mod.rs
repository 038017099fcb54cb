//! Discrete-event simulation of statements that wait for the slots of one database.
//!
//! Time is simulated, so results depend on the seed alone.

pub mod callers;
pub mod discipline;
pub mod engine;
pub mod fair;
pub mod measures;
pub mod workload;
