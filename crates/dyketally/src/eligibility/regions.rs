//! The serving regions of a route or a tenant: the regions in which its statements may run.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::identifiers::RegionName;

/// A set of serving regions: all regions, or named ones. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServingRegions(Option<Arc<BTreeSet<RegionName>>>);

impl ServingRegions {
    /// All regions.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Only `regions`; no region at all if `regions` is empty.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// True when all regions may serve.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// True when `region` may serve.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.0.as_ref().is_none_or(|set| set.contains(region))
    }

    /// The regions that both sets allow.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(two)) => Self::only(one.intersection(two).cloned()),
        }
    }

    /// The named regions; yields nothing if all regions may serve.
    pub fn named(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter().flat_map(|regions| regions.iter())
    }
}

impl fmt::Display for ServingRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_anywhere() {
            return f.write_str("anywhere");
        }
        let names: Vec<&str> = self.named().map(RegionName::as_str).collect();
        match names.is_empty() {
            true => f.write_str("nowhere"),
            false => f.write_str(&names.join(", ")),
        }
    }
}
