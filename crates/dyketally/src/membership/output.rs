//! Instructions of membership to its driver, events and counters.

use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{NodeName, RegionName};
use crate::policy::Revision;

use super::message::Message;

/// An instruction to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The message to encode and send.
        message: Box<Message>,
    },
    /// Report an event to the rest of the program.
    Event(Event),
}

/// A change that other parts of the program may have to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node, or a new process of a known node, has joined.
    Joined(NodeName),
    /// A node does not answer.
    Suspected(NodeName),
    /// A suspected node has refuted the suspicion.
    Refuted(NodeName),
    /// A node was declared dead.
    Died(NodeName),
    /// A node has announced that it will leave.
    Leaving(NodeName),
    /// A node has left.
    Left(NodeName),
    /// A node that had died or left is alive again.
    Returned(NodeName),
    /// A node has a newer configuration than this node.
    RevisionSeen {
        /// The node that has it.
        node: NodeName,
        /// Its revision.
        revision: Revision,
    },
    /// No node of the region answers.
    RegionUnreachable(RegionName),
    /// A node of the region answers again.
    RegionReachable(RegionName),
    /// This process was paused, or got no processor time, for this long.
    Paused(Duration),
    /// A newer process runs under this node's name: this one must stop.
    Replaced,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received and decoded.
    pub received: u64,
    /// Datagrams that were not valid messages.
    pub garbage: u64,
    /// Probes that were not acknowledged directly in time, so that helpers were requested to probe.
    pub indirect_probes: u64,
    /// Suspicions that this node raised.
    pub suspicions: u64,
    /// Deaths that this node itself declared.
    pub deaths_declared: u64,
    /// Times this node refuted a claim about itself.
    pub refutations: u64,
    /// Sync requests sent.
    pub sync_requests: u64,
    /// Sync pages sent.
    pub sync_pages: u64,
    /// Sync requests refused because of the limit of pages per second.
    pub sync_refused: u64,
    /// Members not added because the table was full.
    pub members_refused: u64,
    /// Pauses of this process.
    pub pauses: u64,
}
