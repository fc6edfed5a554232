//! Checks of a deployment beyond those that decide whether it may be published.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use super::{Category, Finding, to_value};
use crate::config::document::key_hash;
use crate::deployment::{Account, Deployment, Route, RunPolicy, ServiceRole};

/// Number of hexadecimal digits that identify a key in a comparison. The key itself is not shown.
const SHOWN_KEY_DIGITS: usize = 8;

/// Finds entries that can never match and limits that contradict each other.
pub fn check(deployment: &Deployment) -> Vec<Finding> {
    let routes = deployment.routes.iter().enumerate();
    let of_routes = routes.flat_map(|(index, route)| {
        let mut findings = RouteFindings { index, list: Vec::new() };
        check_match(deployment, index, route, &mut findings);
        check_targets(deployment, route, &mut findings);
        check_limits(route, &mut findings);
        findings.list
    });
    let mut findings: Vec<Finding> = of_routes.collect();
    findings.extend(check_services(deployment));
    findings.extend(check_accounts(deployment));
    findings.extend(check_request_limits(deployment));
    findings
}

/// Collects the findings of one route.
struct RouteFindings {
    index: usize,
    list: Vec<Finding>,
}

impl RouteFindings {
    fn add(&mut self, category: Category, field: &str, message: String, remedy: &str) {
        let path = format!("routes[{}].{field}", self.index);
        self.list.push(Finding::new(category, path, message, remedy));
    }

    fn unreachable(&mut self, field: &str, message: String, remedy: &str) {
        self.add(Category::Unreachable, field, message, remedy);
    }

    fn contradiction(&mut self, field: &str, message: String, remedy: &str) {
        self.add(Category::Contradiction, field, message, remedy);
    }
}

/// Whether any request can match the route.
fn check_match(deployment: &Deployment, index: usize, route: &Route, findings: &mut RouteFindings) {
    let is_same = |other: &Route| {
        other.host != route.host
            && other.host.eq_ignore_ascii_case(&route.host)
            && other.path_prefix == route.path_prefix
    };
    if let Some(other) = deployment.routes[..index].iter().position(is_same) {
        let message =
            format!("{:?} differs from the host of routes[{other}] in case alone", route.host);
        findings.unreachable("host", message, "keep one of the two routes");
    }
    if route.host.is_empty() || route.host.contains([':', '/']) {
        let message =
            format!("{:?} is no host name; requests are matched without a port", route.host);
        findings.unreachable("host", message, "name the host alone");
    }
    if route.path_prefix.contains(['?', '#']) {
        let message = format!("{:?} holds a query or fragment", route.path_prefix);
        findings.unreachable("path_prefix", message, "requests are matched by their path alone");
    }
    if let Some(accounts) = &deployment.accounts
        && !route.is_public
        && !accounts.iter().any(|account| may_call(account, route))
    {
        let message = "no account with a key shares a region with it".to_string();
        findings.unreachable(
            "allowed_regions",
            message,
            "allow a region of an account, or make it public",
        );
    }
}

/// Whether an account has a key, and may reach a region that the route may reach.
fn may_call(account: &Account, route: &Route) -> bool {
    let (of_account, of_route) = (&account.allowed_regions, &route.allowed_regions);
    let shares_region =
        of_account.is_empty() || of_route.is_empty() || !of_account.is_disjoint(of_route);
    !account.keys.is_empty() && shares_region
}

/// Whether the services of the route can serve it.
fn check_targets(deployment: &Deployment, route: &Route, findings: &mut RouteFindings) {
    for share in &route.split {
        if share.weight == 0 {
            let message = format!("{:?} has the weight 0 and gets no requests", share.service);
            findings.unreachable("split", message, "remove it, or give it a weight");
        }
        let Some(service) = deployment.services.get(&share.service) else { continue };
        match &service.role {
            ServiceRole::Store(_) => {
                let message = format!("{:?} is a store and takes no requests", share.service);
                findings.unreachable(
                    "split",
                    message,
                    "route to a service of engines or a plain one",
                );
            }
            ServiceRole::Plain if route.is_sticky => {
                let message = format!("{:?} has no engines and runs no prompts", share.service);
                findings.contradiction("split", message, "route prompts to a service of engines");
            }
            ServiceRole::Plain | ServiceRole::Engines(_) => {}
        }
    }
}

fn check_limits(route: &Route, findings: &mut RouteFindings) {
    let (timeout_ms, objective_ms) = (route.timeout.as_millis(), route.objective.as_millis());
    if route.objective > route.timeout {
        let message = format!("{objective_ms} ms is longer than the timeout of {timeout_ms} ms");
        findings.contradiction(
            "objective",
            message,
            "shorten the objective or lengthen the timeout",
        );
    }
    if let Some(gap) = route.max_event_gap {
        if !route.policy.is_stream() {
            let message = "it is set, but the response is not a stream".to_string();
            findings.contradiction("max_event_gap", message, "remove it");
        } else if gap > route.timeout {
            let message =
                format!("{} ms is longer than the timeout of {timeout_ms} ms", gap.as_millis());
            findings.contradiction("max_event_gap", message, "shorten it or lengthen the timeout");
        }
    }
    if route.policy == RunPolicy::StreamResumable && route.attempts < 2 {
        let message = "streams may be resumed, but only one target may be tried".to_string();
        findings.contradiction("attempts", message, "allow at least 2 attempts");
    }
}

fn check_services(deployment: &Deployment) -> Vec<Finding> {
    let used: BTreeSet<&str> = deployment
        .routes
        .iter()
        .flat_map(|route| &route.split)
        .map(|share| share.service.as_str())
        .collect();
    let mut findings = Vec::new();
    for (name, service) in &deployment.services {
        let path = format!("services.{name}");
        let mut report = |category, message: &str, remedy: &str| {
            findings.push(Finding::new(category, path.clone(), message.to_string(), remedy));
        };
        let is_store = matches!(service.role, ServiceRole::Store(_));
        if !is_store && !used.contains(name.as_str()) {
            report(Category::Unreachable, "no route leads to it", "remove it, or add a route");
        }
        if let ServiceRole::Engines(spec) = &service.role {
            if spec.models.is_empty() {
                report(Category::Unreachable, "its engines serve no model", "name its models");
            }
            if spec.slots == 0 || spec.capacity_tokens == 0 {
                let message = "its engines have no slots or no KV cache";
                report(Category::Contradiction, message, "set both above 0");
            }
        }
        if service.cold_start.is_some_and(|cold_start| cold_start.duration.is_zero()) {
            let message = "a rate after a start is set, but for a duration of 0";
            report(Category::Contradiction, message, "set the duration, or remove the rate");
        }
    }
    findings
}

fn check_accounts(deployment: &Deployment) -> Vec<Finding> {
    let accounts = deployment.accounts.iter().flatten().enumerate();
    let mut seen = BTreeMap::new();
    let mut findings = Vec::new();
    for (index, account) in accounts {
        let path = format!("accounts[{index}]");
        if account.keys.is_empty() {
            let message = format!("{:?} has no key, so no request belongs to it", account.id);
            findings.push(Finding::new(
                Category::Unreachable,
                &path,
                message,
                "add a key, or remove it",
            ));
        }
        if let Some(other) = seen.insert(&account.id, index) {
            let message = format!("has the name of accounts[{other}]");
            findings.push(Finding::new(
                Category::Contradiction,
                &path,
                message,
                "join the two accounts",
            ));
        }
    }
    findings
}

fn check_request_limits(deployment: &Deployment) -> Vec<Finding> {
    let limits = &deployment.request_limits;
    let fields = [
        ("head_bytes", limits.head_bytes == 0),
        ("body_bytes", limits.body_bytes == 0),
        ("head_timeout", limits.head_timeout.is_zero()),
        ("idle_timeout", limits.idle_timeout.is_zero()),
    ];
    let is_zero = fields.into_iter().filter(|(_, is_zero)| *is_zero);
    is_zero
        .map(|(field, _)| {
            let path = format!("request_limits.{field}");
            let message = "0 refuses every request".to_string();
            Finding::new(Category::Contradiction, path, message, "set it above 0")
        })
        .collect()
}

/// A finding if the deployment would not take effect beside the other one.
pub fn version_finding(deployment: &Deployment, other: &Deployment) -> Option<Finding> {
    (deployment.version <= other.version).then(|| {
        let message = format!("{} is not higher than {}", deployment.version, other.version);
        Finding::new(Category::Contradiction, "version", message, "choose a higher version")
    })
}

/// The form of a deployment in which two are compared: routes, services and accounts by name, keys as hashes.
pub fn comparable(deployment: &Deployment) -> Value {
    let routes = deployment.routes.iter().map(|route| {
        let place = format!("{}{}", route.host.to_ascii_lowercase(), route.path_prefix);
        (place, to_value(route))
    });
    let accounts = deployment.accounts.iter().flatten().map(|account| {
        let shown_key = |key: &String| key_hash(key)[..SHOWN_KEY_DIGITS].to_string();
        let keys: BTreeSet<String> = account.keys.iter().map(shown_key).collect();
        let mut value = to_value(account);
        value["keys"] = json!(keys);
        (account.id.clone(), value)
    });
    json!({
        "version": deployment.version,
        "routes": routes.collect::<BTreeMap<_, _>>(),
        "services": to_value(&deployment.services),
        "accounts": accounts.collect::<BTreeMap<_, _>>(),
        "request_limits": to_value(&deployment.request_limits),
    })
}
