//! Validation of a deployment. Each problem names the field and the remedy.

use std::collections::{BTreeMap, BTreeSet};

use super::document::Deployment;
use crate::error::Problem;

/// Returns all problems of a deployment; it may be published if there are none.
pub fn problems(deployment: &Deployment) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_routes(deployment, &mut problems);
    check_keys(deployment, &mut problems);
    problems
}

fn check_routes(deployment: &Deployment, problems: &mut Vec<Problem>) {
    let mut seen_prefixes = BTreeSet::new();
    for (index, route) in deployment.routes.iter().enumerate() {
        let mut report = |field: &str, message: String, remedy: &str| {
            let path = format!("routes[{index}].{field}");
            problems.push(Problem { path, message, remedy: remedy.to_string() });
        };
        if !seen_prefixes.insert((&route.host, &route.path_prefix)) {
            let message = format!("{}{} is routed twice", route.host, route.path_prefix);
            report("path_prefix", message, "keep one of the two routes");
        }
        if !is_valid_prefix(&route.path_prefix) {
            let message = format!("{:?} is not a valid prefix", route.path_prefix);
            report("path_prefix", message, "start and end it with a slash");
        }
        if route.timeout.is_zero() {
            report("timeout", "it is 0".into(), "set it to at least 1 ms");
        }
        for share in &route.split {
            if !deployment.services.contains_key(&share.service) {
                let message = format!("unknown service {:?}", share.service);
                report("split", message, "define the service, or use another one");
            }
        }
        if route.split.iter().all(|share| share.weight == 0) {
            report("split", "the weights add up to 0".into(), "set at least one weight above 0");
        }
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}

fn check_keys(deployment: &Deployment, problems: &mut Vec<Problem>) {
    let mut key_owners = BTreeMap::new();
    for (index, account) in deployment.accounts.iter().flatten().enumerate() {
        for key in &account.keys {
            if let Some(other) = key_owners.insert(key, index)
                && other != index
            {
                problems.push(Problem {
                    path: format!("accounts[{index}].keys"),
                    message: format!("shares a key with accounts[{other}]"),
                    remedy: "use each key in one account only".into(),
                });
            }
        }
    }
}
