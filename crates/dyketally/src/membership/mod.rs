//! Membership between nodes: failure detection and dissemination.
//!
//! A state machine in the manner of SWIM. Each node probes one other node an interval; a node that
//! does not answer is probed through helpers, then suspected, and declared dead unless it refutes
//! the suspicion with a greater incarnation in time. What is learned rides on the probes and their
//! acknowledgements, in a bounded number of bytes. The cost of a node does not grow with the
//! number of nodes.
//!
//! Two additions carry several regions. Only nodes of the same region declare each other dead: a
//! cut between regions changes one entry (the region is unreachable) instead of a state for each
//! node behind it. And each message carries a digest of the sender's member table: nodes whose
//! tables differ exchange the entries that differ, so a healed cut and a joining node need no
//! separate mechanism.
//!
//! Membership only buys speed: no safety property of dyketally depends on it.

mod apply;
mod config;
mod digest;
mod engine;
mod member;
mod message;
mod output;
mod probes;
mod receive;
mod regions;
mod rings;
mod rumors;
mod schedule;
mod send;
mod suspicion;
mod sync;
mod table;

pub use config::{Config, InvalidConfig};
pub use engine::Membership;
pub use member::{Addresses, Incarnation, Member, MemberState, Record};
pub use message::{
    Body, Header, LONGEST_DATAGRAM, Message, RegionContact, Update, WIRE_VERSION, WireError,
    decode, encode,
};
pub use output::{Counters, Event, Output};
