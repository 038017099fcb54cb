//! Selects the region in which the primary of a group can serve the most of its callers' demand.

use crate::identifiers::RegionName;

use super::ServingRegions;

/// A primary is moved only if the demand served in the new region is more than this factor times the demand
/// served in the current one. Each move interrupts writes for about a second.
const MIN_MOVE_GAIN: f64 = 1.25;

/// The demand of callers with the same serving regions.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The regions in which these callers' statements may run.
    pub regions: ServingRegions,
    /// Greatest load that these callers may cause, relative to other demands; operations per second if known.
    pub weight: f64,
}

/// The region among `candidates` to which a primary in `current` should be moved; `None` if it should stay. The
/// result depends on the configuration only, so that it doesn't fluctuate with the load.
pub fn preferred_region(
    demands: &[Demand],
    current: &RegionName,
    candidates: &[RegionName],
) -> Option<RegionName> {
    let current_weight = served_weight(demands, current);
    let others = candidates.iter().filter(|region| *region != current);
    let ranked = others.map(|region| (served_weight(demands, region), region));
    // Of regions with equal demand, the first by name is selected, so that all nodes select the same one.
    let best = ranked.max_by(|(one, first), (other, second)| {
        let by_weight = one.total_cmp(other);
        by_weight.then_with(|| second.cmp(first))
    });
    let (best_weight, region) = best?;
    (best_weight > current_weight * MIN_MOVE_GAIN).then(|| region.clone())
}

/// The regions among `candidates` from which a primary would not be moved again: those with the greatest served
/// demand, and those within a factor of [`MIN_MOVE_GAIN`] of it.
pub fn acceptable_regions(demands: &[Demand], candidates: &[RegionName]) -> Vec<RegionName> {
    let most = candidates
        .iter()
        .map(|region| served_weight(demands, region));
    let most = most.fold(0.0, f64::max);
    let close = candidates
        .iter()
        .filter(|region| served_weight(demands, region) * MIN_MOVE_GAIN >= most);
    close.cloned().collect()
}

/// Total weight of the demands that a primary in `region` may serve.
fn served_weight(demands: &[Demand], region: &RegionName) -> f64 {
    let allowed = demands.iter().filter(|it| it.regions.allows(region));
    allowed.map(|demand| demand.weight).sum()
}
