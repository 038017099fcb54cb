//! Membership between nodes: failure detection and dissemination.
//!
//! A state machine modelled on SWIM. In each interval a node probes one other node; a node that does not
//! answer is probed through helpers, then suspected, and declared dead unless it refutes the suspicion in
//! time with a greater incarnation. Updates are piggybacked on probes and their acknowledgements, in a
//! bounded number of bytes. The load of a node does not grow with the number of nodes.
//!
//! Two additions support several regions. Only nodes of the same region declare each other dead: a network
//! partition between regions changes one entry (the region is unreachable) instead of the state of each
//! node behind it. And each message carries a digest of the sender's member table: nodes whose tables
//! differ exchange the entries that differ, so that neither a healed partition nor a joining node needs a
//! separate mechanism.
//!
//! Membership only makes reactions to changes faster: no safety property of dyketally depends on it.

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
