//! Chooses the regions in which the primary of a group should run, by the demand that a primary there could
//! serve. The demand of a region is the summed weight of the routes and tenants whose serving regions include
//! it; a tenant's weight is its quota in operations per second, or 1 without a quota.

use std::collections::BTreeSet;

use dyketally::eligibility::{ServingRegions, acceptable_regions, preferred_region};
use dyketally::identifiers::{DatabaseName, GroupName, RegionName, ZoneName};

use super::Databases;
use super::target::Target;

impl Databases {
    /// The regions in which a successor of `primary` should run: among the regions with a database that can
    /// take over, those with the highest demand or close to it. All regions if nothing is bound to regions.
    pub fn successor_regions(&self, primary: &Target) -> ServingRegions {
        let routes = self.cx.routes();
        if !routes.binds_regions() {
            return ServingRegions::anywhere();
        }
        let candidates = self.usable_regions(&primary.group, Some(&primary.name));
        let regions = acceptable_regions(&routes.demands(&primary.group), &candidates);
        ServingRegions::only(regions)
    }

    /// The region to which the group's primary should move from the region of `primary`, because its demand
    /// is clearly higher; `None` if the primary should stay. The result holds this one region, as the set of
    /// regions in which the successor may run.
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

    /// The regions of the group's databases that are ready and not in an evacuated zone, except for the
    /// database `excluded`.
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

    /// The region of `zone`, from the settings.
    pub fn region_of_zone(&self, zone: &ZoneName) -> RegionName {
        self.cx.settings.locality(zone).region
    }
}
