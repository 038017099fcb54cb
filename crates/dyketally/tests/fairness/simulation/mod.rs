//! Discrete-event simulation of statements that wait for the slots of one database.
//!
//! Time is simulated, so results depend on the seed alone.

pub mod engine;
pub mod fair;
pub mod job;
pub mod measures;
pub mod workload;
