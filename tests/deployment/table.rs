//! Routing by host, path and key, and the priorities of routes and accounts.

use std::sync::Arc;

use kumquatpost::deployment::{Rejection, RoutingTable, RunPolicy, WeightedService};
use kumquatpost::gateway::priority::Priority;

use crate::fixtures::{account, deployment, route};

fn table() -> RoutingTable {
    let mut deployment = deployment(1);
    let mut deeper = route("safe", RunPolicy::Idempotent, "app");
    deeper.name = "deeper".to_string();
    deeper.path_prefix = "/safe/deep/".to_string();
    deeper.is_public = true;
    deployment.routes.push(deeper);
    RoutingTable::new(Arc::new(deployment))
}

#[test]
fn host_path_and_key_select_the_route() {
    let table = table();
    let cases = [
        ("shop.example", "/safe/x", Some("key-a"), Ok("safe")),
        ("shop.example", "/safe/deep/x", Some("key-a"), Ok("deeper")),
        ("shop.example", "/safe/deep/x", None, Ok("deeper")),
        ("SHOP.example", "/once/", Some("key-b"), Ok("once")),
        ("shop.example", "/safe", Some("key-a"), Err(Rejection::NoRoute)),
        ("shop.example", "/elsewhere/", Some("key-a"), Err(Rejection::NoRoute)),
        ("other.example", "/safe/x", Some("key-a"), Err(Rejection::NoRoute)),
        ("shop.example", "/safe/x", Some("key-c"), Err(Rejection::UnknownKey)),
        ("shop.example", "/safe/x", None, Err(Rejection::UnknownKey)),
    ];
    for (host, path, key, expected) in cases {
        let found = table.find(host, path, key).map(|found| found.route.name.as_str());
        assert_eq!(found, expected, "{host} {path} {key:?}");
    }
}

#[test]
fn a_deployment_without_accounts_requires_no_key() {
    let mut open = deployment(1);
    open.accounts = None;
    let table = RoutingTable::new(Arc::new(open));
    assert!(table.find("shop.example", "/safe/x", None).is_ok());
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("safe", RunPolicy::Idempotent, "a");
    let share = |service: &str, weight| WeightedService { service: service.to_string(), weight };
    split.split = vec![share("a", 90), share("b", 10), share("none", 0)];
    let picks = |service: &str| {
        (0..1_000)
            .filter(|n| split.pick_service(f64::from(*n) / 1_000.0).unwrap() == service)
            .count()
    };
    assert_eq!((picks("a"), picks("b"), picks("none")), (900, 100, 0));
    assert_eq!(
        split.pick_service(1.0).unwrap(),
        "b",
        "the end of the range must select a service with a weight"
    );
    split.split = vec![share("a", u32::MAX), share("b", u32::MAX)];
    assert_eq!(
        (split.pick_service(0.4).unwrap().as_str(), split.pick_service(0.6).unwrap().as_str()),
        ("a", "b")
    );
}

/// Guards against ignoring the priorities of routes where all accounts have the same one.
#[test]
fn account_priority_precedes_route_priority() {
    let priority = |account_priority: Option<u8>, route_priority| {
        let mut account = account("a", "k", false);
        account.priority = account_priority;
        let mut route = route("stream", RunPolicy::StreamOnce, "llm");
        route.priority = route_priority;
        Priority::of(Some(&account), &route)
    };
    assert!(priority(Some(1), 0).scheduler_level() < priority(Some(1), 1).scheduler_level());
    assert!(priority(Some(1), 0).engine_level() < priority(Some(1), 2).engine_level());
    assert!(priority(Some(0), 2).scheduler_level() < priority(Some(1), 0).scheduler_level());
    assert!(priority(Some(0), 2).engine_level() < priority(Some(1), 0).engine_level());
    assert!(priority(None, 0).scheduler_level() < priority(None, 1).scheduler_level());
    assert!(priority(Some(200), 200).engine_level() <= 9);
    assert!(priority(Some(200), 200).scheduler_level() > priority(Some(2), 9).scheduler_level());
}
