//! Index of the members of each group, so that the work to find a group's members depends on the size of the group and
//! not on the number of groups. Relies on nothing.

use std::collections::{BTreeMap, BTreeSet};

/// The names of the members of each group, in order. Groups without members aren't kept.
#[derive(Clone, Debug)]
pub struct GroupIndex<G, N> {
    groups: BTreeMap<G, BTreeSet<N>>,
}

impl<G, N> Default for GroupIndex<G, N> {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
        }
    }
}

impl<G: Clone + Ord, N: Clone + Ord> GroupIndex<G, N> {
    /// Adds a member to a group.
    pub fn insert(&mut self, group: &G, name: &N) {
        match self.groups.get_mut(group) {
            Some(names) => {
                names.insert(name.clone());
            }
            None => {
                let names = BTreeSet::from([name.clone()]);
                self.groups.insert(group.clone(), names);
            }
        }
    }

    /// Removes a member from a group.
    pub fn remove(&mut self, group: &G, name: &N) {
        let Some(names) = self.groups.get_mut(group) else {
            return;
        };
        names.remove(name);
        if names.is_empty() {
            self.groups.remove(group);
        }
    }

    /// The names of the members of a group.
    pub fn members<'a>(&'a self, group: &G) -> impl Iterator<Item = &'a N> + use<'a, G, N> {
        self.groups.get(group).into_iter().flatten()
    }

    /// The groups that have a member.
    pub fn groups(&self) -> impl Iterator<Item = &G> {
        self.groups.keys()
    }
}
