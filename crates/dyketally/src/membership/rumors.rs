//! Updates that wait to be passed on, each a bounded number of times.

use std::collections::BTreeMap;

use crate::identifiers::NodeName;

use super::message::Update;

/// Each update is sent this many times the logarithm of the number of live members.
const TRANSMISSIONS_PER_LOG: f64 = 1.5;

/// What distinguishes updates: one for each node, and one for each accuser of a suspected node.
type Key = (NodeName, Option<NodeName>);

#[derive(Debug)]
struct Rumor {
    update: Update,
    size: usize,
    transmissions: u32,
    order: u64,
}

/// The updates that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    waiting: BTreeMap<Key, Rumor>,
    next_order: u64,
}

impl Rumors {
    /// Adds an update; it replaces older ones about the same node.
    pub(super) fn add(&mut self, update: Update) {
        let key = key_of(&update);
        if key.1.is_none() {
            self.remove(update.node());
        }
        let rumor = Rumor {
            size: update.encoded_size(),
            update,
            transmissions: 0,
            order: self.next_order,
        };
        self.next_order += 1;
        self.waiting.insert(key, rumor);
    }

    /// Takes up to `budget` bytes of updates that `wanted` accepts, those sent least often first.
    pub(super) fn take(
        &mut self,
        budget: usize,
        live_members: usize,
        wanted: impl Fn(&Update) -> bool,
    ) -> Vec<Update> {
        let mut left = budget;
        let mut taken = Vec::new();
        for key in self.in_order() {
            let Some(rumor) = self.waiting.get_mut(&key) else {
                continue;
            };
            if rumor.size > left || !wanted(&rumor.update) {
                continue;
            }
            left -= rumor.size;
            rumor.transmissions += 1;
            taken.push(rumor.update.clone());
        }
        let most = most_transmissions(live_members);
        self.waiting.retain(|_, rumor| rumor.transmissions < most);
        taken
    }

    fn in_order(&self) -> Vec<Key> {
        let mut order: Vec<_> = self.waiting.iter().collect();
        order.sort_unstable_by_key(|(_, rumor)| (rumor.transmissions, u64::MAX - rumor.order));
        order.into_iter().map(|(key, _)| key.clone()).collect()
    }

    fn remove(&mut self, node: &NodeName) {
        let first = (node.clone(), None);
        let keys: Vec<Key> = self
            .waiting
            .range(first..)
            .map(|(key, _)| key.clone())
            .take_while(|key| key.0 == *node)
            .collect();
        for key in keys {
            self.waiting.remove(&key);
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
    let logarithm = (live_members as f64 + 1.0).log2();
    (TRANSMISSIONS_PER_LOG * logarithm).ceil() as u32
}
