//! Polls of other nodes on whether they reach a database.

use std::net::SocketAddr;

use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName};
use rand::seq::SliceRandom;

use super::{Peers, Replies};
use crate::fleet::message::PeerMessage;

/// Maximum number of nodes in a poll: each may have to open a connection to the database to find out.
const MAX_POLLED: usize = 12;

/// The reply of one node to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Whether and how the database answers the voting node.
    pub evidence: Evidence,
    /// True when the voting node has lost its connection to the store.
    pub store_lost: bool,
    /// The address at which the voting node listens for other nodes.
    pub from: SocketAddr,
}

/// A poll that collects votes until it is dropped.
pub struct Poll {
    /// Number of nodes that were polled.
    pub polled: usize,
    /// The votes as they arrive.
    pub votes: Replies<Vote>,
}

impl Peers {
    /// Polls other nodes on whether they reach `database`: its homes, and a random sample of the others, up
    /// to `MAX_POLLED` in all.
    pub fn poll(&self, group: &GroupName, database: &DatabaseName) -> Poll {
        let votes = self.polls.open(self.next_round());
        let message = PeerMessage::Poll {
            poll: votes.round,
            group: group.clone(),
            database: database.clone(),
        };
        let polled = self.nodes_to_poll(database);
        for address in &polled {
            self.send(*address, &message);
        }
        Poll {
            polled: polled.len(),
            votes,
        }
    }

    fn nodes_to_poll(&self, database: &DatabaseName) -> Vec<SocketAddr> {
        let own = &self.access.fleet.cx.settings.node.name;
        let mut polled = self.access.fleet.homes_of(database);
        let mut others = self.access.fleet.membership.possibly_running(own);
        others.retain(|address| !polled.contains(address));
        others.shuffle(&mut rand::rng());
        // Nodes in the database's own region come last: they may be lost together with it and couldn't reply.
        if let Some(locality) = self.access.databases.locality_of(database) {
            let in_region = self.access.fleet.membership.in_region_of(&locality);
            others.sort_by_key(|address| in_region.contains(address));
        }
        polled.extend(others);
        polled.truncate(MAX_POLLED);
        polled
    }
}
