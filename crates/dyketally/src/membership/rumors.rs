//! Updates that wait to be passed on, each a bounded number of times.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::message::Update;

/// Each update is sent this many times the logarithm of the number of live members.
const TRANSMISSIONS_PER_LOG: f64 = 1.5;

/// A node that knows few members may be about to learn of many.
const FEWEST_MEMBERS: usize = 15;

/// An update is dropped at this age: all that can be reached know it, or the tables that still
/// differ will be compared. Without it, the news of a fleet that starts at once would go round for
/// minutes.
const LONGEST_AGE: Duration = Duration::from_secs(10);

/// Updates that are looked at for one message; more than fit in one.
const LOOKED_AT: usize = 64;

/// What distinguishes updates: one for each node, and one for each accuser of a suspected node.
type Key = (NodeName, Option<NodeName>);

/// Those sent least often come first, and among these the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
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
    queue: BTreeMap<Place, Rumor>,
    places: BTreeMap<Key, Place>,
    /// When each update was added, oldest first; some are gone by now.
    additions: VecDeque<(Timestamp, Key, u64)>,
    added: u64,
}

impl Rumors {
    /// Adds an update; it replaces older ones about the same node.
    pub(super) fn add(&mut self, now: Timestamp, update: Update) {
        let key = key_of(&update);
        if key.1.is_none() {
            self.remove_all(update.node());
        } else {
            self.remove(&key);
        }
        self.added += 1;
        let place = Place {
            transmissions: 0,
            age_rank: u64::MAX - self.added,
        };
        let size = update.encoded_size();
        self.additions.push_back((now, key.clone(), place.age_rank));
        self.places.insert(key, place);
        self.queue.insert(place, Rumor { update, size });
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
        let mut left = budget;
        let mut chosen = Vec::new();
        for (place, rumor) in self.queue.iter().take(LOOKED_AT) {
            if rumor.size <= left && wanted(&rumor.update) {
                left -= rumor.size;
                chosen.push(*place);
            }
        }
        let most = most_transmissions(live_members);
        let taken = chosen
            .into_iter()
            .filter_map(|place| self.pass_on(place, most));
        taken.collect()
    }

    /// Counts a transmission of the update at `place`; drops it after the last.
    fn pass_on(&mut self, place: Place, most: u32) -> Option<Update> {
        let rumor = self.queue.remove(&place)?;
        let update = rumor.update.clone();
        let next = Place {
            transmissions: place.transmissions + 1,
            ..place
        };
        if next.transmissions < most {
            self.places.insert(key_of(&update), next);
            self.queue.insert(next, rumor);
        } else {
            self.places.remove(&key_of(&update));
        }
        Some(update)
    }

    fn expire(&mut self, now: Timestamp) {
        let is_old = |at: Timestamp| now.saturating_since(at) > LONGEST_AGE;
        while self.additions.front().is_some_and(|(at, ..)| is_old(*at)) {
            let Some((_, key, age_rank)) = self.additions.pop_front() else {
                return;
            };
            // A newer update may have taken the place of the one that is old.
            let place = self.places.get(&key);
            if place.is_some_and(|place| place.age_rank == age_rank) {
                self.remove(&key);
            }
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(place) = self.places.remove(key) {
            self.queue.remove(&place);
        }
    }

    fn remove_all(&mut self, node: &NodeName) {
        let first = (node.clone(), None);
        let of_node = self.places.range(first..).map(|(key, _)| key);
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

fn most_transmissions(live_members: usize) -> u32 {
    let members = live_members.max(FEWEST_MEMBERS);
    let logarithm = (members as f64 + 1.0).log2();
    (TRANSMISSIONS_PER_LOG * logarithm).ceil() as u32
}
