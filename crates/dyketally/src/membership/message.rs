//! Messages between nodes, and their encoding: one version byte, then postcard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{NodeName, RegionName};
use crate::policy::Revision;

use super::digest::BUCKETS;
use super::member::{Incarnation, Record};

/// The first byte of each datagram. Datagrams with another version are refused.
pub const WIRE_VERSION: u8 = 1;

/// Longest datagram that is sent or accepted, in bytes; it fits the smallest usual path MTU.
pub const LONGEST_DATAGRAM: usize = 1_200;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The state of the sender.
    pub header: Header,
    /// The request or answer.
    pub body: Body,
    /// Recent updates that the sender passes on.
    pub updates: Vec<Update>,
}

/// The state of the sender, part of each message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender.
    pub sender: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The sender has announced that it will leave.
    pub leaving: bool,
    /// Its configuration revision.
    pub revision: Revision,
    /// Digest of its table of live members.
    pub digest: u64,
    /// When each other region last answered a node of the sender's region; empty in messages to other
    /// regions.
    pub regions: Vec<RegionContact>,
}

/// When another region last answered a node of the sender's region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionContact {
    /// The other region.
    pub region: RegionName,
    /// Time since the answer, in milliseconds.
    pub age_millis: u32,
}

/// The request or answer that a message carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an acknowledgement.
    Ping {
        /// Number of the probe at its sender.
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        sequence: u32,
    },
    /// Requests that a helper probe a node.
    IndirectPing {
        /// Number of the probe at its sender.
        sequence: u32,
        /// The node to probe.
        target: NodeName,
        /// Its address for membership.
        address: SocketAddr,
    },
    /// Reports that the helper received an acknowledgement from the node.
    IndirectAck {
        /// The number in the request to the helper.
        sequence: u32,
    },
    /// Requests the members that the sender lacks or that differ in its table.
    SyncRequest {
        /// Digests of the buckets of the sender's member table.
        buckets: Vec<u32>,
    },
    /// Answers a sync request; the members are in the message's updates.
    SyncPage {
        /// More members differ than this page holds: another page follows, or a new request is needed.
        more: bool,
    },
}

/// A change of one node's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The node is alive; this is its full record.
    Alive(Record),
    /// The node's process raised its incarnation.
    Renewed {
        /// The node.
        node: NodeName,
        /// Its new incarnation.
        incarnation: Incarnation,
        /// The node has announced that it will leave.
        leaving: bool,
    },
    /// The node did not answer. Used only within its own region.
    Suspected {
        /// The node.
        node: NodeName,
        /// The incarnation that did not answer.
        incarnation: Incarnation,
        /// The node that received no answer.
        by: NodeName,
    },
    /// The node was declared dead.
    Died {
        /// The node.
        node: NodeName,
        /// The incarnation that died.
        incarnation: Incarnation,
    },
    /// The node announced that it left.
    Left {
        /// The node.
        node: NodeName,
        /// The incarnation that left.
        incarnation: Incarnation,
    },
}

impl Update {
    /// The node that the update is about.
    pub fn node(&self) -> &NodeName {
        match self {
            Self::Alive(record) => &record.node,
            Self::Renewed { node, .. }
            | Self::Suspected { node, .. }
            | Self::Died { node, .. }
            | Self::Left { node, .. } => node,
        }
    }

    /// The incarnation that the update is about.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Alive(record) => record.incarnation,
            Self::Renewed { incarnation, .. }
            | Self::Suspected { incarnation, .. }
            | Self::Died { incarnation, .. }
            | Self::Left { incarnation, .. } => *incarnation,
        }
    }

    /// The update's size on the wire, in bytes.
    pub(super) fn encoded_size(&self) -> usize {
        // Encoding to a vector fails only for types that postcard does not support; `Update` contains none.
        postcard::to_stdvec(self).map_or(LONGEST_DATAGRAM, |bytes| bytes.len())
    }
}

/// Why a datagram is not a valid message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The datagram is empty or too long, has trailing bytes, or holds a list of the wrong length.
    #[error(
        "a datagram of {length} bytes is not a membership message; check what sends to this port"
    )]
    Length {
        /// Its length in bytes.
        length: usize,
    },
    /// The datagram has another version of the message format.
    #[error(
        "a datagram has message version {found}, this node uses {WIRE_VERSION}; run the same version on all nodes"
    )]
    Version {
        /// The version found.
        found: u8,
    },
    /// The datagram is not a message of this version.
    #[error(
        "a datagram could not be decoded as a membership message ({0}); check what sends to this port"
    )]
    Malformed(#[from] postcard::Error),
}

/// Encodes `message` as a datagram.
///
/// # Errors
/// Fails when the message is longer than [`LONGEST_DATAGRAM`], which never happens with messages that
/// this module makes.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    let datagram = postcard::to_extend(message, vec![WIRE_VERSION])?;
    let length = datagram.len();
    if length > LONGEST_DATAGRAM {
        return Err(WireError::Length { length });
    }
    Ok(datagram)
}

/// Decodes a datagram.
///
/// # Errors
/// Gives the reason why the datagram is not a message of this version.
pub fn decode(datagram: &[u8]) -> Result<Message, WireError> {
    let length = datagram.len();
    let Some((&version, payload)) = datagram.split_first() else {
        return Err(WireError::Length { length });
    };
    if length > LONGEST_DATAGRAM {
        return Err(WireError::Length { length });
    }
    if version != WIRE_VERSION {
        return Err(WireError::Version { found: version });
    }
    let (message, rest) = postcard::take_from_bytes::<Message>(payload)?;
    if !rest.is_empty() || !has_valid_lengths(&message) {
        return Err(WireError::Length { length });
    }
    Ok(message)
}

fn has_valid_lengths(message: &Message) -> bool {
    match &message.body {
        Body::SyncRequest { buckets } => buckets.len() == BUCKETS,
        _ => true,
    }
}
