//! Planning of weight roll-outs, engine reports, and ages of named weights.

use std::collections::{BTreeMap, BTreeSet};

use kumquatpost::control::rollout_plan::{
    RunningPrompts, WeightOrder, max_concurrent_loads, next_loads,
};
use kumquatpost::control::state::{Command, ControlState};
use kumquatpost::control::weight_ages::{due_commands, estimated_age};
use kumquatpost::fleet::{Listed, Presence, Roster};
use kumquatpost::platform::engines;
use kumquatpost::scheduler::weights::{NamedWeights, RolloutHistories, observe_named};
use serde_json::{Value, json};

use crate::fixtures::{address, ms, roster, start, target};

fn engines_with_versions(versions: &[u64]) -> Roster {
    let engine = |(n, version): (usize, &u64)| -> Listed {
        let mut engine = target(&format!("i-{n:02}"), "llm", address(n as u16));
        engine.weights.insert("m".to_string(), *version);
        engine
    };
    roster(versions.iter().enumerate().map(engine))
}

fn is_llm(service: &String) -> bool {
    service == "llm"
}

fn named(version: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("m".to_string(), version)])
}

#[test]
fn at_most_a_quarter_of_the_engines_is_ordered_and_a_sixth_loads() {
    let roster = engines_with_versions(&[1; 12]);
    assert_eq!(max_concurrent_loads(&roster, &"m".to_string()), 2);
    let mut under_way = BTreeSet::new();
    for expected in [3, 0] {
        let next =
            next_loads(&roster, &named(2), &under_way, &BTreeSet::new(), &BTreeSet::new(), is_llm);
        assert_eq!(next.len(), expected);
        under_way.extend(next.into_iter().map(|lagging| lagging.engine));
    }
}

/// Engines may carry out orders seconds late. Up to three quarters may have an unanswered order.
#[test]
fn unanswered_orders_do_not_block_others_but_some_engines_are_never_ordered_at_once() {
    let roster = engines_with_versions(&[1; 12]);
    let (changing, mut unanswered) = (BTreeSet::new(), BTreeSet::new());
    let mut order_counts = Vec::new();
    for _ in 0..5 {
        let next = next_loads(&roster, &named(2), &changing, &unanswered, &BTreeSet::new(), is_llm);
        order_counts.push(next.len());
        unanswered.extend(next.into_iter().map(|lagging| lagging.engine));
    }
    assert_eq!(order_counts, [3, 3, 3, 0, 0]);
}

#[test]
fn a_small_fleet_loads_one_engine_at_a_time() {
    assert_eq!(max_concurrent_loads(&engines_with_versions(&[1, 1, 1]), &"m".to_string()), 1);
    assert_eq!(
        next_loads(
            &engines_with_versions(&[1, 1, 1]),
            &named(2),
            &BTreeSet::new(),
            &BTreeSet::new(),
            &BTreeSet::new(),
            is_llm
        )
        .len(),
        1
    );
}

#[test]
fn engines_furthest_behind_are_ordered_first() {
    // i-01 missed a version, i-02 restarted with older weights, and i-03 is ahead.
    let roster = engines_with_versions(&[4, 3, 2, 5, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4]);
    let next = next_loads(
        &roster,
        &named(4),
        &BTreeSet::new(),
        &BTreeSet::new(),
        &BTreeSet::new(),
        is_llm,
    );
    let names: Vec<&str> = next.iter().map(|lagging| lagging.engine.id.as_str()).collect();
    assert_eq!(names, ["i-02", "i-01"], "the engine furthest behind comes first");
}

/// Guards against a listed engine that can't be reached and takes the only place in a small fleet
/// again and again, so that no other engine is updated.
#[test]
fn an_unreachable_engine_does_not_hold_up_the_others() {
    let roster = engines_with_versions(&[1, 2, 2]);
    let none = BTreeSet::new();
    let unreachable = BTreeSet::from([start("i-00")]);
    let next = next_loads(&roster, &named(3), &none, &none, &unreachable, is_llm);
    assert_eq!(next.iter().map(|next| next.engine.id.as_str()).collect::<Vec<_>>(), ["i-01"]);
    let roster = engines_with_versions(&[1, 3, 3]);
    let next = next_loads(&roster, &named(3), &none, &none, &unreachable, is_llm);
    assert_eq!(next.len(), 1, "it is tried again once the others are updated");
}

#[test]
fn leaving_engines_and_other_models_get_no_orders() {
    let mut leaving = target("i-1", "llm", address(1));
    leaving.presence = Presence::Leaving;
    let mut other = target("i-2", "llm", address(2));
    other.weights = BTreeMap::from([("other".to_string(), 1)]);
    let roster = roster([leaving, other, target("i-3", "app", address(3))]);
    assert_eq!(
        next_loads(
            &roster,
            &named(2),
            &BTreeSet::new(),
            &BTreeSet::new(),
            &BTreeSet::new(),
            is_llm
        ),
        []
    );
}

#[test]
fn an_order_carries_its_holder_fencing_token_and_precondition() {
    let order = WeightOrder {
        model: "m".to_string(),
        version: 2,
        running: RunningPrompts::Finish,
        holder: 255,
        fencing: 41,
        orders_accepted: 3,
    };
    let sent: Value = serde_json::from_slice(&engines::encode_order(&order)).expect("JSON");
    assert_eq!(
        sent,
        json!({
            "Op": "Version", "Model": "m", "Version": 2, "Mode": "queue",
            "Holder": "replica-00000000000000ff", "Fence": 41, "Precondition": 3
        })
    );
}

#[test]
fn an_engine_report_is_decoded() {
    let text = br#"{"Stage":"colocated","Models":[{"Name":"m","Version":2,"Adapters":[]}],
        "Busy":true,"Seq":2,"Waiting":1,"Running":12,"KvUsed":41000,"KvTotal":90000,"Handles":0}"#;
    let report = engines::decode_report(text).expect("a report");
    assert!(report.is_busy);
    assert_eq!((report.orders_accepted, report.weights["m"]), (2, 2));
    assert!(engines::decode_report(b"{}").is_err());
}

#[test]
fn a_report_identifies_the_start_of_its_engine() {
    let report = |born: &str| engines::decode_report(format!(r#"{{"Seq":2{born}}}"#).as_bytes());
    assert_eq!(report("").expect("a report").born_ms, None);
    assert_eq!(
        report(r#","born":1700000000001"#).expect("a report").born_ms,
        Some(1_700_000_000_001)
    );
    for born in ["\"1\"", "1.5", "null"] {
        assert!(report(&format!(r#","born":{born}"#)).is_err(), "{born}");
    }
    let start = crate::fixtures::start_born_at("i-1", 7);
    assert!(
        start.may_match_birth(Some(7))
            && start.may_match_birth(None)
            && !start.may_match_birth(Some(8))
    );
    assert!(
        crate::fixtures::start("i-1").may_match_birth(Some(8)),
        "a start without a known birth matches any birth"
    );
}

#[test]
fn a_target_of_an_unknown_service_gets_no_order_and_does_not_delay_others() {
    let mut unknown_service = target("a-first", "unheard", address(1));
    unknown_service.weights = BTreeMap::from([("m".to_string(), 1)]);
    let roster = roster([unknown_service, target("i-1", "llm", address(2))]);
    let next = next_loads(
        &roster,
        &named(2),
        &BTreeSet::new(),
        &BTreeSet::new(),
        &BTreeSet::new(),
        is_llm,
    );
    assert_eq!(next.iter().map(|next| next.engine.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
}

/// Weights 2 are named at 10 s; older ones may be used for another 8.4 s.
#[test]
fn weight_age_is_recorded_each_second_until_the_bound_has_passed() {
    let mut named = RolloutHistories::new();
    observe_named(&mut named, &"m".to_string(), 2, ms(10_000), ms(10_000));
    let mut state = ControlState::default();
    state.apply(Command::NameWeights { model: "m".into(), version: 2 });
    let mut recorded_at = Vec::new();
    for at in (10_000..60_000).step_by(100) {
        for command in due_commands(&named, &state.weight_ages, ms(8_400), ms(at)) {
            recorded_at.push(at);
            state.apply(command);
        }
    }
    assert_eq!(
        recorded_at,
        [11_000, 12_000, 13_000, 14_000, 15_000, 16_000, 17_000, 18_000, 18_400]
    );
    assert_eq!(state.weight_ages["m"], BTreeMap::from([(2, ms(8_400))]));
}

#[test]
fn a_replica_that_learns_of_weights_late_assumes_a_minimum_age() {
    let mut state = ControlState::default();
    state.apply(Command::NameWeights { model: "m".into(), version: 2 });
    let age =
        |state: &ControlState, caught_up_at| estimated_age(state, "m", 2, caught_up_at, ms(50_000));
    assert_eq!(age(&state, Some(ms(49_900))), ms(0), "caught up when the weights were named");
    assert_eq!(age(&state, None), ms(1_000), "has not caught up yet");
    assert_eq!(age(&state, Some(ms(40_000))), ms(1_000), "was disconnected for a while");
    let weights = NamedWeights { version: 2, age: ms(5_000) };
    state.apply(Command::RecordAge { model: "m".into(), weights });
    assert_eq!(age(&state, None), ms(6_000));
}
