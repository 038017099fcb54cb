//! Who leads a group: confirming it, noticing that a primary is lost, and replacing it.

mod appointment;
pub mod confirm;
pub mod duty;
pub mod failover;
pub mod fence;
pub mod lead;
pub mod probe;
mod replacement;
pub mod short_contact;
mod survey;
