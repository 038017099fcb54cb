//! Which other regions answer nodes of this region.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::RegionName;
use crate::time::Timestamp;

use super::message::RegionContact;

/// Added to an age learned from another node, so that no value stays young by going round.
const HOP_PENALTY: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Contact {
    last_answer: Timestamp,
    reachable: bool,
}

/// A region that became reachable or unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) region: RegionName,
    pub(super) reachable: bool,
}

/// The other regions.
#[derive(Debug, Default)]
pub(super) struct Regions {
    contacts: BTreeMap<RegionName, Contact>,
}

impl Regions {
    /// A member of `region` is known.
    pub(super) fn add(&mut self, region: &RegionName, now: Timestamp) {
        if self.contacts.contains_key(region) {
            return;
        }
        let contact = Contact {
            last_answer: now,
            reachable: true,
        };
        self.contacts.insert(region.clone(), contact);
    }

    /// A member of `region` has answered this node.
    pub(super) fn answered(&mut self, region: &RegionName, now: Timestamp) {
        if let Some(contact) = self.contacts.get_mut(region) {
            contact.last_answer = contact.last_answer.max(now);
        }
    }

    /// Another node of this region told when it or others last had an answer.
    pub(super) fn learn(&mut self, told: &RegionContact, now: Timestamp) {
        let age = Duration::from_millis(told.age_millis.into());
        self.answered(&told.region, now - age - HOP_PENALTY);
    }

    /// What this node tells others of its region.
    pub(super) fn tell(&self, now: Timestamp) -> Vec<RegionContact> {
        let tell_one = |(region, contact): (&RegionName, &Contact)| RegionContact {
            region: region.clone(),
            age_millis: millis(now.saturating_since(contact.last_answer)),
        };
        self.contacts.iter().map(tell_one).collect()
    }

    /// True unless `region` is a known other region that does not answer.
    pub(super) fn is_reachable(&self, region: &RegionName) -> bool {
        self.contacts
            .get(region)
            .is_none_or(|contact| contact.reachable)
    }

    /// Decides anew which regions are reachable.
    pub(super) fn evaluate(&mut self, timeout: Duration, now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        for (region, contact) in &mut self.contacts {
            let reachable = now.saturating_since(contact.last_answer) <= timeout;
            if reachable != contact.reachable {
                contact.reachable = reachable;
                let region = region.clone();
                changes.push(Change { region, reachable });
            }
        }
        changes
    }

    /// True when `region` has not answered for longer than `limit`.
    pub(super) fn silent_for(&self, region: &RegionName, limit: Duration, now: Timestamp) -> bool {
        self.contacts
            .get(region)
            .is_some_and(|contact| now.saturating_since(contact.last_answer) > limit)
    }

    /// Gives all regions `pause` more time.
    pub(super) fn extend(&mut self, pause: Duration, now: Timestamp) {
        for contact in self.contacts.values_mut() {
            contact.last_answer = (contact.last_answer + pause).min(now);
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
