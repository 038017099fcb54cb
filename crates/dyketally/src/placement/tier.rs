//! Classes of candidates: a better class is chosen whatever the scores.

use crate::identifiers::Locality;

use super::Candidate;

/// How well a candidate fits a place; less is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tier {
    leaving: bool,
    distance: Distance,
}

/// How far two places are from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In one zone.
    SameZone,
    /// In two zones of one region.
    SameRegion,
    /// In two regions.
    OtherRegion,
}

impl Tier {
    pub(super) fn of(candidate: &Candidate<'_>, place: &Locality) -> Self {
        Self {
            leaving: candidate.leaving,
            distance: Distance::between(candidate.locality, place),
        }
    }
}

impl Distance {
    /// The distance between two places.
    pub fn between(one: &Locality, other: &Locality) -> Self {
        if one.region != other.region {
            Self::OtherRegion
        } else if one.zone != other.zone {
            Self::SameRegion
        } else {
            Self::SameZone
        }
    }
}
