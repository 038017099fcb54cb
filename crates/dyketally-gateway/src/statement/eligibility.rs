//! Asks the library's eligibility on behalf of all paths to databases: by what this node knows of the
//! database, its zone and its group.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dyketally::directory::{Member, MemberState};
use dyketally::eligibility::{
    Denial, EligibilityBounds, EvacuationChange, Intent, Permission, ServingRegions, Standing,
    best_regions, judge, preferred_region,
};
use dyketally::identifiers::{DatabaseName, GroupName, RegionName, ZoneName};

use crate::database::target::Target;
use crate::event::Event;
use crate::gateway::Gateway;

impl Gateway {
    /// Leave to send what `intent` tells to `target`, by what is known now.
    ///
    /// # Errors
    /// Why it may not be sent; counted.
    pub fn may_send(&self, target: &Target, intent: &Intent) -> Result<Permission, Denial> {
        let directory = self.databases.directory.borrow();
        let judged = match directory.member(&target.name) {
            Some(member) => self.judge(member, intent),
            None => Err(Denial::Leaving),
        };
        judged.inspect_err(|denial| self.cx.counters.denied.add(denial.kind(), 1))
    }

    /// Whether what `intent` tells may be sent to `member`.
    ///
    /// # Errors
    /// Why it may not.
    pub fn judge(&self, member: &Member, intent: &Intent) -> Result<Permission, Denial> {
        let now = self.cx.now();
        let announcement = &member.announcement;
        let region = self.region_of_zone(&announcement.zone);
        let evacuations = self.databases.evacuations.borrow();
        let evacuated_for = evacuations.evacuated_for(&announcement.zone, now);
        let leaving_for = member
            .leaving_since
            .map(|since| now.saturating_since(since));
        let has_successor =
            evacuated_for.is_some() && self.has_successor(&announcement.group, member.name());
        let standing = Standing {
            database: member.name(),
            region: &region,
            fenced: self.is_fenced(member.name()),
            leaving_for,
            evacuated_for,
            has_successor,
        };
        judge(intent, standing, self.eligibility_bounds())
    }

    /// Why nothing that `intent` tells can run at any database of `group` before the configuration,
    /// the evacuated zones or the primary change; `None` while something can.
    pub fn denied_for_good(&self, group: &GroupName, intent: &Intent) -> Option<Denial> {
        if intent.needs_leader {
            let denial = self.primary_target(group, &intent.regions).err();
            return denial.filter(|denial| denial.is_lasting());
        }
        let directory = self.databases.directory.borrow();
        let mut lasting = None;
        for member in directory.members(group) {
            match self.judge(member, intent) {
                Err(denial) if denial.is_lasting() => lasting = Some(denial),
                Err(Denial::Evacuated | Denial::Leaving) if !self.may_serve(member) => {}
                Ok(_) | Err(_) => return None,
            }
        }
        lasting
    }

    fn may_serve(&self, member: &Member) -> bool {
        member.state == MemberState::Ready && !self.is_evacuated(&member.announcement.zone)
    }

    /// True when a database of `group` other than `database` could take over from it.
    pub fn has_successor(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.databases.directory.borrow();
        let mut members = directory.members(group);
        members.any(|member| member.name() != database && self.may_serve(member))
    }

    /// True when a warm database of `group` other than `database` could take over from it.
    pub fn has_warm_successor(&self, group: &GroupName, database: &DatabaseName) -> bool {
        let directory = self.databases.directory.borrow();
        let mut members = directory.members(group);
        members.any(|member| {
            let is_other = member.name() != database;
            is_other && self.may_serve(member) && !self.databases.loading(member.name()).is_cold()
        })
    }

    /// True while a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.databases.evacuations.borrow().contains(zone)
    }

    /// The region of a zone.
    pub fn region_of_zone(&self, zone: &ZoneName) -> RegionName {
        self.cx.settings.locality(zone).region
    }

    fn eligibility_bounds(&self) -> EligibilityBounds {
        let bounds = &self.cx.settings.bounds;
        EligibilityBounds {
            drain: bounds.drain(),
            evacuation: bounds.evacuation(),
        }
    }

    /// Takes in all evacuations that operators request.
    pub fn evacuations_are(&self, zones: &BTreeSet<ZoneName>) {
        let changes = self.databases.evacuations.borrow_mut().replaced(zones);
        self.evacuations_changed(changes);
    }

    /// Takes in that operators request the evacuation of a zone.
    pub fn evacuation_requested(&self, zone: ZoneName) {
        let change = self
            .databases
            .evacuations
            .borrow_mut()
            .requested(self.cx.now(), zone);
        self.evacuations_changed(change);
    }

    /// Takes in that a zone is used again.
    pub fn evacuation_taken_back(&self, zone: &ZoneName) {
        let change = self.databases.evacuations.borrow_mut().taken_back(zone);
        self.evacuations_changed(change);
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
            self.fleet.membership.attention.notify_one();
        }
    }

    fn evacuation_began(&self, zone: &ZoneName) {
        let is_known =
            self.cx.settings.zones.is_empty() || self.cx.settings.zones.contains_key(zone);
        let evacuations = self.databases.evacuations.borrow();
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
        let directory = self.databases.directory.borrow();
        for (name, database) in self.databases.states.borrow().iter() {
            let member = directory.member(name);
            let in_zone = |member: &&Member| &member.announcement.zone == zone;
            let Some(member) = member.filter(in_zone) else {
                continue;
            };
            // A primary serves on until another one leads.
            let primary = directory.primary(&member.announcement.group);
            if primary.is_none_or(|primary| primary.name() != name) {
                database.pool.close_idle(true);
            }
        }
    }

    /// Logs regions that routes or tenants name and no zone has: nothing is served there.
    pub fn report_unknown_regions(&self) {
        let known: BTreeSet<&RegionName> = self.cx.settings.zones.values().collect();
        let named = self.cx.routes().named_regions();
        for region in named.iter().filter(|region| !known.contains(region)) {
            self.cx.events.write(&Event::RegionUnknown {
                region: region.as_str(),
            });
        }
    }

    /// True when a connection to `target` may go by way of the node at `address`: where regions are
    /// bound, only through the database's own region, which all that may run there may enter.
    pub fn may_relay(&self, address: SocketAddr, target: &Target) -> bool {
        if !self.cx.routes().binds_regions() {
            return true;
        }
        let nodes = self.fleet.membership.nodes();
        let mut nodes = nodes.values();
        let region = self.region_of_zone(&target.zone);
        nodes.any(|node| node.address == address && node.locality.region == region)
    }

    /// The regions in which a successor of `primary` should lead: those that serve most of what may
    /// ask for it, of those that have a database which can take over.
    pub fn successor_regions(&self, primary: &Target) -> ServingRegions {
        let routes = self.cx.routes();
        if !routes.binds_regions() {
            return ServingRegions::anywhere();
        }
        let candidates = self.usable_regions(&primary.group, Some(&primary.name));
        let regions = best_regions(&routes.demands(&primary.group), &candidates);
        ServingRegions::only(regions)
    }

    /// The regions of databases that may serve, but for `passed_over`.
    fn usable_regions(
        &self,
        group: &GroupName,
        passed_over: Option<&DatabaseName>,
    ) -> Vec<RegionName> {
        let directory = self.databases.directory.borrow();
        let members = directory.members(group);
        let usable =
            members.filter(|member| self.may_serve(member) && passed_over != Some(member.name()));
        let regions: BTreeSet<RegionName> = usable
            .map(|member| self.region_of_zone(&member.announcement.zone))
            .collect();
        regions.into_iter().collect()
    }

    /// Where the primary of a group should lead rather than in the region of `primary`, by what
    /// routes and tenants allow.
    pub fn preferred_regions(&self, primary: &Target) -> Option<ServingRegions> {
        let routes = self.cx.routes();
        if !routes.binds_regions() {
            return None;
        }
        let candidates = self.usable_regions(&primary.group, None);
        let current = self.region_of_zone(&primary.zone);
        let demands = routes.demands(&primary.group);
        let preferred = preferred_region(&demands, &current, &candidates);
        preferred.map(|region| ServingRegions::only([region]))
    }
}
