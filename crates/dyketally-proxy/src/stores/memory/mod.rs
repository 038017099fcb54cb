//! The platform in memory, with the faults of the real one; for tests and the stand-in process.

mod faults;
mod machines;
mod state;
mod store;
mod versions;

pub use faults::{FaultPlan, Outage, RateLimit};
pub use machines::MemoryMachineList;
pub use state::StateError;
pub use store::{Completed, MemoryStore, Refusal};
