//! The regions that may serve a route or a tenant.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::identifiers::RegionName;

/// Regions that may serve something: all of them, or some. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServingRegions(Option<Arc<BTreeSet<RegionName>>>);

impl ServingRegions {
    /// All regions.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Just `regions`; none of them if it is empty.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// True when no region is ruled out.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// True when `region` may serve.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.0.as_ref().is_none_or(|own| own.contains(region))
    }

    /// The regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(two)) => Self::only(one.intersection(two).cloned()),
        }
    }

    /// The regions by name; nothing while all serve.
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
