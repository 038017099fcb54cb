//! Reachability of other regions: when each last answered a node of this region.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::RegionName;
use crate::time::Timestamp;

use super::message::RegionContact;

/// Added to an age that another node reports, so that no age stays low while it circulates among nodes.
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

/// When each other region last answered, and whether it counts as reachable.
#[derive(Debug, Default)]
pub(super) struct Regions {
    contacts: BTreeMap<RegionName, Contact>,
}

impl Regions {
    /// Adds `region`, of which a member is known.
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

    /// Records that a member of `region` answered at `now`.
    pub(super) fn record_answer(&mut self, region: &RegionName, now: Timestamp) {
        if let Some(contact) = self.contacts.get_mut(region) {
            contact.last_answer = contact.last_answer.max(now);
        }
    }

    /// Records when, by the report of another node of this region, another region last answered.
    pub(super) fn record_report(&mut self, report: &RegionContact, now: Timestamp) {
        let age = Duration::from_millis(report.age_millis.into());
        self.record_answer(&report.region, now - age - HOP_PENALTY);
    }

    /// What this node reports to other nodes of its region.
    pub(super) fn reports(&self, now: Timestamp) -> Vec<RegionContact> {
        let report_one = |(region, contact): (&RegionName, &Contact)| RegionContact {
            region: region.clone(),
            age_millis: millis(now.saturating_since(contact.last_answer)),
        };
        self.contacts.iter().map(report_one).collect()
    }

    /// True unless `region` is a known other region that does not answer.
    pub(super) fn is_reachable(&self, region: &RegionName) -> bool {
        self.contacts
            .get(region)
            .is_none_or(|contact| contact.reachable)
    }

    /// Updates which regions are reachable; gives those that changed.
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

    /// Gives all regions `pause` more time to answer.
    pub(super) fn extend(&mut self, pause: Duration, now: Timestamp) {
        for contact in self.contacts.values_mut() {
            contact.last_answer = (contact.last_answer + pause).min(now);
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
