//! Chooses the regions in which the primary of a group should run.

use std::collections::BTreeSet;

use dyketally::eligibility::{ServingRegions, best_regions, preferred_region};
use dyketally::identifiers::{DatabaseName, GroupName, RegionName, ZoneName};

use super::Databases;
use super::target::Target;

impl Databases {
    /// The regions in which a successor of `primary` should run: among the regions with a database that can
    /// take over, those that may serve most of the group's demand.
    pub fn successor_regions(&self, primary: &Target) -> ServingRegions {
        let routes = self.cx.routes();
        if !routes.binds_regions() {
            return ServingRegions::anywhere();
        }
        let candidates = self.usable_regions(&primary.group, Some(&primary.name));
        let regions = best_regions(&routes.demands(&primary.group), &candidates);
        ServingRegions::only(regions)
    }

    /// The region to which the lead should move from `primary`, by the serving regions of routes and tenants;
    /// `None` if the lead should stay.
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

    /// The regions of the group's databases that may serve, without the database `excluded`.
    fn usable_regions(
        &self,
        group: &GroupName,
        excluded: Option<&DatabaseName>,
    ) -> Vec<RegionName> {
        let directory = self.directory.borrow();
        let members = directory.members(group);
        let usable =
            members.filter(|member| self.may_serve(member) && excluded != Some(member.name()));
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
