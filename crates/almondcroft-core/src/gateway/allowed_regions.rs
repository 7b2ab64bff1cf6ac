//! Regions in which a request may be served.

use crate::RegionId;
use std::collections::BTreeSet;

/// Lists the regions in which requests may be served, or permits all.
///
/// ```
/// use almondcroft_core::gateway::AllowedRegions;
///
/// let route = AllowedRegions::only(["north".into(), "south".into()]);
/// let customer = AllowedRegions::only(["south".into(), "west".into()]);
/// let both = route.intersection(&customer);
/// assert!(both.permits("south") && !both.permits("north"));
/// assert!(AllowedRegions::default().permits("north"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AllowedRegions(Option<BTreeSet<RegionId>>);

impl AllowedRegions {
    /// Permits these regions only.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = RegionId>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether requests may be served in a region.
    #[must_use]
    pub fn permits(&self, region: &str) -> bool {
        self.0.as_ref().is_none_or(|only| only.contains(region))
    }

    /// Returns whether some regions are excluded.
    #[must_use]
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether no region is permitted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the regions that both permit.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Self(Some(own & others)),
            (own, others) => Self(own.clone().or_else(|| others.clone())),
        }
    }
}

impl std::fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(only) = &self.0 else {
            return f.write_str("all");
        };
        let names: Vec<&str> = only.iter().map(RegionId::as_str).collect();
        f.write_str(&names.join(","))
    }
}

#[cfg(test)]
mod tests;
