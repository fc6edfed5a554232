//! Regions that routes and accounts may use.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, RegionId};

/// The failure domains that a request, its body and its cached prompt parts may reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedDomains {
    #[default]
    All,
    /// Only these. Empty if the request may run nowhere.
    Only(BTreeSet<DomainId>),
}

impl AllowedDomains {
    /// The domains whose region is in each of the lists. A list without regions allows all of them.
    /// Domains of unknown region are allowed only if no list restricts the regions.
    pub fn from_regions<'a>(
        lists: impl IntoIterator<Item = &'a BTreeSet<RegionId>>,
        regions: &BTreeMap<DomainId, RegionId>,
    ) -> AllowedDomains {
        let lists: Vec<_> = lists.into_iter().filter(|list| !list.is_empty()).collect();
        if lists.is_empty() {
            return AllowedDomains::All;
        }
        let is_allowed = |region: &RegionId| lists.iter().all(|list| list.contains(region));
        let allowed = regions.iter().filter(|(_, region)| is_allowed(region));
        AllowedDomains::Only(allowed.map(|(domain, _)| domain.clone()).collect())
    }

    /// Whether a domain may be reached.
    pub fn contains(&self, domain: &str) -> bool {
        match self {
            AllowedDomains::All => true,
            AllowedDomains::Only(domains) => domains.contains(domain),
        }
    }
}
