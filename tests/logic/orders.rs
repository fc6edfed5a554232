//! Load orders to engines: limited concurrency, never below the floor, safe across changes of leader.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatpost::config::{Model, Policy};
use kumquatpost::orders::{EngineState, ORDER_TIMEOUT, Planner, TermPlanner};

const START: Duration = Duration::from_secs(100);
const LEASE_DURATION: Duration = Duration::from_secs(1);

fn engine(id: &str, domain: &str, version: Option<&str>) -> EngineState {
    EngineState {
        id: id.into(),
        model: "m".into(),
        failure_domain: domain.into(),
        version: version.map(str::to_string),
        takes_work: true,
        checks_fencing: true,
    }
}

fn models(floor: u32, concurrent_loads: u32) -> BTreeMap<String, Model> {
    let model = Model {
        weight_version: "v1".into(),
        next_version: Some("v2".into()),
        policy: Policy::Cost,
        floor,
        concurrent_loads,
    };
    BTreeMap::from([("m".to_string(), model)])
}

fn planned_engines(
    planner: &mut Planner,
    models: &BTreeMap<String, Model>,
    engines: &[EngineState],
) -> Vec<String> {
    let after_wait = START + LEASE_DURATION + ORDER_TIMEOUT;
    planner.plan(models, engines, after_wait).into_iter().map(|planned| planned.engine).collect()
}

#[test]
fn a_rollout_keeps_the_floor_and_completes() {
    for (floor, loads) in [(1, 2), (2, 4), (1, 1)] {
        let models = models(floor, loads);
        let mut engines: Vec<EngineState> =
            (0..9).map(|n| engine(&format!("e{n}"), &format!("d{}", n % 3), Some("v1"))).collect();
        let mut planner = Planner::new(LEASE_DURATION, START);
        for round in 0.. {
            for id in planned_engines(&mut planner, &models, &engines) {
                engines.iter_mut().filter(|e| e.id == id).for_each(|e| e.version = None);
            }
            let loading = engines.iter().filter(|e| e.version.is_none()).count();
            assert!(loading <= loads as usize);
            for domain in ["d0", "d1", "d2"] {
                let in_domain = engines.iter().filter(|e| e.failure_domain == domain);
                let serving = in_domain.filter(|e| e.version.is_some()).count();
                assert!(serving >= floor as usize, "floor {floor} in {domain}");
            }
            // One load completes.
            match engines.iter_mut().find(|e| e.version.is_none()) {
                Some(engine) => engine.version = Some("v2".into()),
                None => break,
            }
            assert!(round < 50, "the rollout does not complete");
        }
        assert!(engines.iter().all(|e| e.version.as_deref() == Some("v2")));
    }
}

#[test]
fn engines_that_are_loading_or_up_to_date_or_needed_get_no_order() {
    let models = models(1, 4);
    let pair = |change: fn(&mut EngineState)| {
        let mut engines = vec![engine("a", "d", Some("v1")), engine("b", "d", Some("v2"))];
        change(&mut engines[0]);
        engines
    };
    type Case = (&'static str, fn(&mut EngineState), usize);
    let cases: [Case; 5] = [
        ("the old version", |_| (), 1),
        ("already loading", |e| e.version = None, 0),
        ("the next version", |e| e.version = Some("v2".into()), 0),
        ("a model that is not configured", |e| e.model = "x".into(), 0),
        ("an unknown version", |e| e.version = Some("v0".into()), 1),
    ];
    for (case_name, change, count) in cases {
        let mut planner = Planner::new(LEASE_DURATION, START);
        assert_eq!(
            planned_engines(&mut planner, &models, &pair(change)).len(),
            count,
            "{case_name}"
        );
    }
    let mut planner = Planner::new(LEASE_DURATION, START);
    let only_engine = [engine("a", "d", Some("v1"))];
    assert!(
        planned_engines(&mut planner, &models, &only_engine).is_empty(),
        "the only engine of its failure domain"
    );
    let engines = pair(|_| ());
    assert_eq!(planned_engines(&mut planner, &models, &engines), ["a"]);
    assert!(planned_engines(&mut planner, &models, &engines).is_empty(), "already ordered");
    planner.order_refused(&"a".to_string());
    assert_eq!(planned_engines(&mut planner, &models, &engines), ["a"], "the order was refused");
}

#[test]
fn a_new_leader_waits_before_it_orders_an_engine_that_ignores_fencing() {
    let models = models(0, 4);
    let mut without_fencing = engine("a", "d", Some("v1"));
    without_fencing.checks_fencing = false;
    let engines = [without_fencing, engine("b", "d", Some("v1"))];
    let mut planner = Planner::new(LEASE_DURATION, START);
    let before_wait = START + LEASE_DURATION + ORDER_TIMEOUT - Duration::from_millis(1);
    let planned = planner.plan(&models, &engines, before_wait);
    assert_eq!(planned.len(), 1);
    assert_eq!(planned[0].engine, "b");
    let planned = planner.plan(&models, &engines, START + LEASE_DURATION + ORDER_TIMEOUT);
    assert_eq!(planned.len(), 1);
    assert_eq!(planned[0].engine, "a");
}

/// Guards against rollouts that stop at engines without fencing while the leader lease lapses again
/// and again, as each return of the lease started the wait anew.
#[test]
fn a_lapse_of_the_leader_lease_does_not_restart_the_wait() {
    let models = models(1, 2);
    let mut without_fencing = engine("a", "d", Some("v1"));
    without_fencing.checks_fencing = false;
    let engines = [without_fencing, engine("b", "d", Some("v2"))];
    let mut planner = TermPlanner::new(LEASE_DURATION);
    let mut plan = |term, at| planner.for_term(term, at).plan(&models, &engines, at).len();
    assert_eq!(plan(1, START), 0);
    // The lease lapses in between.
    assert_eq!(plan(1, START + LEASE_DURATION + ORDER_TIMEOUT), 1, "the wait is over");
    assert_eq!(plan(3, START + LEASE_DURATION * 9), 0, "another leader may have sent orders");
}
