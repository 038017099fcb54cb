//! The lab: stand-ins for databases and platform, and the tools that exercise dyketally with them.

pub mod database;
pub mod demo;
pub mod faults;
pub mod load;
pub mod network;
pub mod platform;
pub mod testbed;
