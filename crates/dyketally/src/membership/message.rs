//! Messages between nodes, and their encoding: one version byte, then postcard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{NodeName, RegionName};
use crate::policy::Revision;

use super::digest::BUCKETS;
use super::member::{Incarnation, Record};

/// The first byte of each datagram. Datagrams with another version are refused.
pub const WIRE_VERSION: u8 = 1;

/// Longest datagram that is sent or accepted, in bytes; fits the smallest usual path MTU.
pub const LONGEST_DATAGRAM: usize = 1_200;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What each message tells about its sender.
    pub header: Header,
    /// What the message is for.
    pub body: Body,
    /// What the sender has learned of late.
    pub updates: Vec<Update>,
}

/// What each message tells about its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender.
    pub sender: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// It is going to leave.
    pub leaving: bool,
    /// Its configuration revision.
    pub revision: Revision,
    /// Digest of its table of live members.
    pub digest: u64,
    /// When its region last had an answer from other regions; sent within the region only.
    pub regions: Vec<RegionContact>,
}

/// When a region last had an answer from another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionContact {
    /// The other region.
    pub region: RegionName,
    /// Time since the answer, in milliseconds.
    pub age_millis: u32,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe at its sender.
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        sequence: u32,
    },
    /// Asks a helper to probe a node.
    IndirectPing {
        /// Number of the probe at its sender.
        sequence: u32,
        /// The node to probe.
        target: NodeName,
        /// Its address for membership.
        address: SocketAddr,
    },
    /// The helper had an acknowledgement from the node.
    IndirectAck {
        /// The number in the request to the helper.
        sequence: u32,
    },
    /// Asks for members that the sender lacks or holds differently.
    SyncRequest {
        /// Digests of the buckets of the sender's member table.
        buckets: Vec<u32>,
    },
    /// Answers a sync request; the members are in the message's updates.
    SyncPage {
        /// The answer did not fit; ask again.
        more: bool,
    },
}

/// Something learned about one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// It lives: everything it says about itself.
    Alive(Record),
    /// The same process renewed itself.
    Renewed {
        /// The node.
        node: NodeName,
        /// Its new incarnation.
        incarnation: Incarnation,
        /// It is going to leave.
        leaving: bool,
    },
    /// It did not answer. Of use within its region only.
    Suspected {
        /// The node.
        node: NodeName,
        /// The incarnation that did not answer.
        incarnation: Incarnation,
        /// The node that had no answer.
        by: NodeName,
    },
    /// It was declared dead.
    Died {
        /// The node.
        node: NodeName,
        /// The incarnation that died.
        incarnation: Incarnation,
    },
    /// It told that it is gone.
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
        // Encoding to a vector fails only for types that postcard can't hold, which these aren't.
        postcard::to_stdvec(self).map_or(LONGEST_DATAGRAM, |bytes| bytes.len())
    }
}

/// Why a datagram is not a message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Empty, too long, or followed by something else.
    #[error(
        "a datagram of {length} bytes is not a membership message; check what sends to this port"
    )]
    Length {
        /// Its length in bytes.
        length: usize,
    },
    /// Another version of the messages.
    #[error(
        "a datagram has version {found}, this node speaks {WIRE_VERSION}; run the same version on all nodes"
    )]
    Version {
        /// The version found.
        found: u8,
    },
    /// Not a message of this version.
    #[error("a datagram could not be read ({0}); check what sends to this port")]
    Malformed(#[from] postcard::Error),
}

/// Encodes `message` as a datagram.
///
/// # Errors
/// Fails when the message is longer than [`LONGEST_DATAGRAM`]; messages made by this module
/// are not.
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
/// Tells why the datagram is not a message of this version.
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
    if !rest.is_empty() || !has_sound_lengths(&message) {
        return Err(WireError::Length { length });
    }
    Ok(message)
}

fn has_sound_lengths(message: &Message) -> bool {
    match &message.body {
        Body::SyncRequest { buckets } => buckets.len() == BUCKETS,
        _ => true,
    }
}
