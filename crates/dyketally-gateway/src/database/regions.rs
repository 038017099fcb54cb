//! In which regions databases run, and in which of them a group's primary should lead.

use std::collections::BTreeSet;

use dyketally::eligibility::{ServingRegions, best_regions, preferred_region};
use dyketally::identifiers::{DatabaseName, GroupName, RegionName, ZoneName};

use super::Databases;
use super::target::Target;

impl Databases {
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

    /// The regions of databases that may serve, but for `passed_over`.
    fn usable_regions(
        &self,
        group: &GroupName,
        passed_over: Option<&DatabaseName>,
    ) -> Vec<RegionName> {
        let directory = self.directory.borrow();
        let members = directory.members(group);
        let usable =
            members.filter(|member| self.may_serve(member) && passed_over != Some(member.name()));
        let regions: BTreeSet<RegionName> = usable
            .map(|member| self.region_of_zone(&member.announcement.zone))
            .collect();
        regions.into_iter().collect()
    }

    /// The region of a zone.
    pub fn region_of_zone(&self, zone: &ZoneName) -> RegionName {
        self.cx.settings.locality(zone).region
    }
}
