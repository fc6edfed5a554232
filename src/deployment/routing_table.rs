//! Index of the routes and keys of a deployment.

use std::collections::HashMap;
use std::sync::Arc;

use super::document::{Account, Deployment, Route, WeightedService};
use crate::ids::ServiceId;

/// A deployment with indexes for looking up routes and accounts.
#[derive(Debug)]
pub struct RoutingTable {
    deployment: Arc<Deployment>,
    /// Indexes of the routes of each host in lower case, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index of the account of each key.
    by_key: HashMap<String, usize>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    UnknownKey,
}

/// The route and account of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,
    /// The account; `None` if the request has no key, or an unknown one, and the route needs none.
    pub account: Option<&'a Account>,
}

impl RoutingTable {
    pub fn new(deployment: Arc<Deployment>) -> RoutingTable {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in deployment.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| {
                std::cmp::Reverse(deployment.routes[*index].path_prefix.len())
            });
        }
        let mut by_key = HashMap::new();
        for (index, account) in deployment.accounts.iter().flatten().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        RoutingTable { deployment, by_host, by_key }
    }

    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Finds the route and the account of a request. The longest matching path prefix wins.
    ///
    /// # Errors
    /// If no route matches, or the route requires a key and the given one is missing or unknown.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, Rejection> {
        let route = self.route(host, path).ok_or(Rejection::NoRoute)?;
        let account = key.and_then(|key| self.account(key));
        let needs_key = self.deployment.accounts.is_some() && !route.is_public;
        if needs_key && account.is_none() {
            return Err(Rejection::UnknownKey);
        }
        Ok(RouteMatch { route, account })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .map(|index| &self.deployment.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    fn account(&self, key: &str) -> Option<&Account> {
        let index = *self.by_key.get(key)?;
        self.deployment.accounts.as_ref()?.get(index)
    }
}

impl Route {
    /// Picks a service in proportion to the weights. `fraction` is drawn uniformly from `0..1`.
    pub fn pick_service(&self, fraction: f64) -> Option<&ServiceId> {
        let total: f64 = self.split.iter().map(|share| f64::from(share.weight)).sum();
        let mut remaining = fraction * total;
        let weighted = |share: &&WeightedService| share.weight > 0;
        for share in self.split.iter().filter(weighted) {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.split.iter().rfind(weighted).map(|share| &share.service)
    }
}
