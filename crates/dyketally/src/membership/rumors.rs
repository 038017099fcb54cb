//! Updates (rumors) that wait to be passed on to other nodes, each a bounded number of times.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::message::Update;

/// How often each update is sent, as a multiple of the binary logarithm of the number of live members.
const TRANSMISSIONS_PER_LOG: f64 = 1.5;

/// Least number of members that is assumed for the number of transmissions: a node that knows few members
/// may be about to receive many.
const MIN_MEMBERS: usize = 15;

/// Age at which an update is dropped: by then all reachable nodes know it, or get it by the comparison of
/// tables. Without this limit, the updates of a fleet that starts all at once would circulate for minutes.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Number of updates that are considered for one message; more than fit in one.
const MAX_CONSIDERED: usize = 64;

/// Identifies an update: its node and, for a suspicion, the accuser. There is at most one update for each.
type Key = (NodeName, Option<NodeName>);

/// Position in the queue: updates sent least often come first, and among these the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    age_rank: u64,
}

#[derive(Debug)]
struct Rumor {
    update: Update,
    size: usize,
}

/// The updates that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    queue: BTreeMap<Position, Rumor>,
    positions: BTreeMap<Key, Position>,
    /// When each update was added, oldest first, including updates that were dropped since.
    additions: VecDeque<(Timestamp, Key, u64)>,
    added: u64,
}

impl Rumors {
    /// Adds an update. It replaces older ones about the same node; a suspicion replaces only that of the same
    /// accuser.
    pub(super) fn add(&mut self, now: Timestamp, update: Update) {
        let key = key_of(&update);
        if key.1.is_none() {
            self.remove_all(update.node());
        } else {
            self.remove(&key);
        }
        self.added += 1;
        let position = Position {
            transmissions: 0,
            age_rank: u64::MAX - self.added,
        };
        let size = update.encoded_size();
        self.additions
            .push_back((now, key.clone(), position.age_rank));
        self.positions.insert(key, position);
        self.queue.insert(position, Rumor { update, size });
    }

    /// Takes up to `budget` bytes of updates that `wanted` accepts, those sent least often first.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        budget: usize,
        live_members: usize,
        wanted: impl Fn(&Update) -> bool,
    ) -> Vec<Update> {
        self.expire(now);
        let mut remaining = budget;
        let mut chosen = Vec::new();
        for (position, rumor) in self.queue.iter().take(MAX_CONSIDERED) {
            if rumor.size <= remaining && wanted(&rumor.update) {
                remaining -= rumor.size;
                chosen.push(*position);
            }
        }
        let limit = max_transmissions(live_members);
        let taken = chosen
            .into_iter()
            .filter_map(|position| self.count_transmission(position, limit));
        taken.collect()
    }

    /// Counts a transmission of the update at `position`; drops the update after the last one.
    fn count_transmission(&mut self, position: Position, limit: u32) -> Option<Update> {
        let rumor = self.queue.remove(&position)?;
        let update = rumor.update.clone();
        let next = Position {
            transmissions: position.transmissions + 1,
            ..position
        };
        if next.transmissions < limit {
            self.positions.insert(key_of(&update), next);
            self.queue.insert(next, rumor);
        } else {
            self.positions.remove(&key_of(&update));
        }
        Some(update)
    }

    fn expire(&mut self, now: Timestamp) {
        let is_old = |at: Timestamp| now.saturating_since(at) > MAX_AGE;
        while self.additions.front().is_some_and(|(at, ..)| is_old(*at)) {
            let Some((_, key, age_rank)) = self.additions.pop_front() else {
                return;
            };
            // A newer update may have replaced the expired one.
            let position = self.positions.get(&key);
            if position.is_some_and(|position| position.age_rank == age_rank) {
                self.remove(&key);
            }
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(position) = self.positions.remove(key) {
            self.queue.remove(&position);
        }
    }

    fn remove_all(&mut self, node: &NodeName) {
        let first = (node.clone(), None);
        let of_node = self.positions.range(first..).map(|(key, _)| key);
        let of_node = of_node.take_while(|key| key.0 == *node);
        let keys: Vec<Key> = of_node.cloned().collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn key_of(update: &Update) -> Key {
    let accuser = match update {
        Update::Suspected { by, .. } => Some(by.clone()),
        _ => None,
    };
    (update.node().clone(), accuser)
}

fn max_transmissions(live_members: usize) -> u32 {
    let members = live_members.max(MIN_MEMBERS);
    let logarithm = (members as f64 + 1.0).log2();
    (TRANSMISSIONS_PER_LOG * logarithm).ceil() as u32
}
