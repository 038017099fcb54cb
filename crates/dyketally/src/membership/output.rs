//! What membership asks its driver to do, and what it counts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{NodeName, RegionName};
use crate::policy::Revision;

use super::message::Message;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// To this address.
        to: SocketAddr,
        /// This message.
        message: Box<Message>,
    },
    /// Tell the rest of the program.
    Event(Event),
}

/// A change that the rest of the program may care about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node, or a new process of a known node, is there.
    Joined(NodeName),
    /// A node does not answer.
    Suspected(NodeName),
    /// A suspected node has refuted the suspicion.
    Refuted(NodeName),
    /// A node was declared dead.
    Died(NodeName),
    /// A node will leave.
    Leaving(NodeName),
    /// A node has left.
    Left(NodeName),
    /// A node that was held dead lives.
    Returned(NodeName),
    /// A node has a newer configuration than this one.
    RevisionSeen {
        /// The node that has it.
        node: NodeName,
        /// Its revision.
        revision: Revision,
    },
    /// No node of the region answers.
    RegionUnreachable(RegionName),
    /// The region answers again.
    RegionReachable(RegionName),
    /// This process was paused, or starved of processor time.
    Paused(Duration),
    /// A newer process runs under this node's name: this one must stop.
    Replaced,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received and read.
    pub received: u64,
    /// Datagrams that were not messages.
    pub garbage: u64,
    /// Probes that had no direct answer in time.
    pub indirect_probes: u64,
    /// Suspicions that this node raised.
    pub suspicions: u64,
    /// Deaths that this node declared itself.
    pub deaths_declared: u64,
    /// Times this node refuted a claim about itself.
    pub refutations: u64,
    /// Sync requests sent.
    pub sync_requests: u64,
    /// Sync pages sent.
    pub sync_pages: u64,
    /// Sync requests not answered because of the limit of pages a second.
    pub sync_refused: u64,
    /// Members not taken because the table is full.
    pub members_refused: u64,
    /// Pauses of this process.
    pub pauses: u64,
}
