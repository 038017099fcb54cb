//! Tiers of candidates: any candidate of a better tier ranks before all of a worse one, whatever their
//! scores.

use crate::identifiers::Locality;

use super::Candidate;

/// How well a candidate suits a locality; less is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tier {
    leaving: bool,
    distance: Distance,
}

/// How far apart two localities are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Both are in the same zone.
    SameZone,
    /// They are in different zones of the same region.
    SameRegion,
    /// They are in different regions.
    OtherRegion,
}

impl Tier {
    pub(super) fn of(candidate: &Candidate<'_>, locality: &Locality) -> Self {
        Self {
            leaving: candidate.leaving,
            distance: Distance::between(candidate.locality, locality),
        }
    }
}

impl Distance {
    /// The distance between two localities.
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
