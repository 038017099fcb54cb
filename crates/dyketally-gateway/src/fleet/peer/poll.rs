//! Polls: other nodes are asked what they see of a primary.

use std::net::SocketAddr;

use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName};
use rand::seq::SliceRandom;

use super::{Peers, Replies};
use crate::fleet::message::PeerMessage;

/// Nodes that are asked about a primary: each may have to open a connection to it to find out. Not
/// measured.
const POLLED_AT_MOST: usize = 12;

/// What one node replied to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// What it sees of the primary.
    pub evidence: Evidence,
    /// True when it has lost the store.
    pub store_lost: bool,
    /// Where the node listens for others.
    pub from: SocketAddr,
}

/// A poll that collects votes until it is dropped.
pub struct Poll {
    /// How many other nodes were asked.
    pub asked: usize,
    /// The votes.
    pub votes: Replies<Vote>,
}

impl Peers {
    /// Asks other nodes what they see of a primary: its homes, and others drawn at random, since
    /// each of them may have to open a connection to find out.
    pub fn poll(&self, group: &GroupName, database: &DatabaseName) -> Poll {
        let votes = self.polls.open(self.next_round());
        let message = PeerMessage::Poll {
            poll: votes.round,
            group: group.clone(),
            database: database.clone(),
        };
        let polled = self.polled(database);
        for address in &polled {
            self.send(*address, &message);
        }
        Poll {
            asked: polled.len(),
            votes,
        }
    }

    fn polled(&self, database: &DatabaseName) -> Vec<SocketAddr> {
        let own = &self.access.fleet.cx.settings.node.name;
        let mut polled = self.access.fleet.homes_of(database);
        let mut others = self.access.fleet.membership.electorate(own);
        others.retain(|address| !polled.contains(address));
        others.shuffle(&mut rand::rng());
        // The database's own zone or region may be lost with it, and couldn't tell.
        if let Some(locality) = self.access.databases.locality_of(database) {
            let near = self.access.fleet.membership.near(&locality);
            others.sort_by_key(|address| near.contains(address));
        }
        polled.extend(others);
        polled.truncate(POLLED_AT_MOST);
        polled
    }
}
