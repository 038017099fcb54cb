//! Zones that operators evacuate: their databases get no new statements, and idle connections to them are
//! closed.

use std::collections::BTreeSet;

use dyketally::directory::Member;
use dyketally::eligibility::EvacuationChange;
use dyketally::identifiers::ZoneName;

use super::Databases;
use crate::event::Event;

impl Databases {
    /// Replaces the set of evacuated zones by `zones`.
    pub fn set_evacuations(&self, zones: &BTreeSet<ZoneName>) {
        let changes = self.evacuations.borrow_mut().replace_all(zones);
        self.evacuations_changed(changes);
    }

    /// Records that an operator requested the evacuation of `zone`.
    pub fn evacuation_requested(&self, zone: ZoneName) {
        let change = self
            .evacuations
            .borrow_mut()
            .record_request(self.cx.now(), zone);
        self.evacuations_changed(change);
    }

    /// Records that an operator cancelled the evacuation of `zone`.
    pub fn evacuation_cancelled(&self, zone: &ZoneName) {
        let change = self.evacuations.borrow_mut().record_cancelled(zone);
        self.evacuations_changed(change);
    }

    /// The zones that are evacuated.
    pub fn evacuated_zones(&self) -> Vec<ZoneName> {
        self.evacuations.borrow().zones().cloned().collect()
    }

    /// True while a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations.borrow().contains(zone)
    }

    fn evacuations_changed(&self, changes: impl IntoIterator<Item = EvacuationChange>) {
        let mut any = false;
        for change in changes {
            any = true;
            match change {
                EvacuationChange::Began(zone) => self.evacuation_began(&zone),
                EvacuationChange::Ended(zone) => self.cx.events.write(&Event::EvacuationEnded {
                    zone: zone.as_str(),
                }),
            }
        }
        if any {
            self.cx.changes.notify();
            self.check_primaries();
        }
    }

    fn evacuation_began(&self, zone: &ZoneName) {
        let is_known =
            self.cx.settings.zones.is_empty() || self.cx.settings.zones.contains_key(zone);
        let evacuations = self.evacuations.borrow();
        let mut zones = self.cx.settings.zones.keys();
        let leaves_a_zone = zones.any(|zone| !evacuations.contains(zone));
        self.cx.events.write(&Event::EvacuationBegan {
            zone: zone.as_str(),
            is_known,
            leaves_a_zone,
        });
        self.close_idle_in(zone);
    }

    fn close_idle_in(&self, zone: &ZoneName) {
        let directory = self.directory.borrow();
        for (name, database) in self.states.borrow().iter() {
            let member = directory.member(name);
            let in_zone = |member: &&Member| &member.announcement.zone == zone;
            let Some(member) = member.filter(in_zone) else {
                continue;
            };
            // A primary keeps its connections, since it serves until another database leads.
            let primary = directory.primary(&member.announcement.group);
            if primary.is_none_or(|primary| primary.name() != name) {
                database.pool.close_idle(true);
            }
        }
    }
}
