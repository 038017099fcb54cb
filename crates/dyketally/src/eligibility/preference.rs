//! Where the primary of a group serves most of what may ask for it.

use crate::identifiers::RegionName;

use super::ServingRegions;

/// A primary is moved only if that serves at least so many times what it serves where it is: each
/// move interrupts writes for about a second.
const WORTH_MOVING: f64 = 1.25;

/// Callers that are served in the same regions.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Where they may be served.
    pub regions: ServingRegions,
    /// How much they may ask for, relative to others; operations a second where that is known.
    pub weight: f64,
}

/// The region among `candidates` in which a primary should lead rather than in `current`; `None`
/// while it should stay. Depends on the configuration only, so that it doesn't change its mind with
/// the load.
pub fn preferred_region(
    demands: &[Demand],
    current: &RegionName,
    candidates: &[RegionName],
) -> Option<RegionName> {
    let here = served(demands, current);
    let others = candidates.iter().filter(|region| *region != current);
    let ranked = others.map(|region| (served(demands, region), region));
    // Of equals the first by name, so that all nodes choose alike.
    let best = ranked.max_by(|(one, first), (other, second)| {
        let by_served = one.total_cmp(other);
        by_served.then_with(|| second.cmp(first))
    });
    let (there, region) = best?;
    (there > here * WORTH_MOVING).then(|| region.clone())
}

/// The regions among `candidates` from which a primary that leads there wouldn't be moved again: those
/// that serve the most, and others that come close.
pub fn best_regions(demands: &[Demand], candidates: &[RegionName]) -> Vec<RegionName> {
    let most = candidates.iter().map(|region| served(demands, region));
    let most = most.fold(0.0, f64::max);
    let close = candidates
        .iter()
        .filter(|region| served(demands, region) * WORTH_MOVING >= most);
    close.cloned().collect()
}

/// How much of what may ask for a primary is served where it leads in `region`.
fn served(demands: &[Demand], region: &RegionName) -> f64 {
    let allowed = demands.iter().filter(|it| it.regions.allows(region));
    allowed.map(|demand| demand.weight).sum()
}
