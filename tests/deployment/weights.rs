//! Roll-out of weights.

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

use crate::fixtures::{address, ms, roster, target};

fn engines_with(versions: &[u64]) -> Roster {
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
fn a_quarter_of_the_engines_is_kept_from_prompts_and_a_sixth_loads() {
    let roster = engines_with(&[1; 12]);
    assert_eq!(max_concurrent_loads(&roster, &"m".to_string()), 2);
    let mut under_way = BTreeSet::new();
    for expected in [3, 0] {
        let next = next_loads(&roster, &named(2), &under_way, &BTreeSet::new(), is_llm);
        assert_eq!(next.len(), expected);
        under_way.extend(next.into_iter().map(|lagging| lagging.engine));
    }
}

/// Orders that are carried out seconds late: a quarter changes at a time, and half and a quarter wait.
#[test]
fn engines_that_are_awaited_leave_their_place_to_others_but_some_are_never_told_at_once() {
    let roster = engines_with(&[1; 12]);
    let (changing, mut unanswered) = (BTreeSet::new(), BTreeSet::new());
    let mut told = Vec::new();
    for _ in 0..5 {
        let next = next_loads(&roster, &named(2), &changing, &unanswered, is_llm);
        told.push(next.len());
        unanswered.extend(next.into_iter().map(|lagging| lagging.engine));
    }
    assert_eq!(told, [3, 3, 3, 0, 0]);
}

#[test]
fn a_small_fleet_goes_on_one_by_one() {
    assert_eq!(max_concurrent_loads(&engines_with(&[1, 1, 1]), &"m".to_string()), 1);
    assert_eq!(
        next_loads(
            &engines_with(&[1, 1, 1]),
            &named(2),
            &BTreeSet::new(),
            &BTreeSet::new(),
            is_llm
        )
        .len(),
        1
    );
}

#[test]
fn engines_that_lag_are_found_whichever_version_they_have() {
    // One that starts again with old weights, one that missed a version, one that is ahead.
    let roster = engines_with(&[4, 3, 2, 5, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4]);
    let next = next_loads(&roster, &named(4), &BTreeSet::new(), &BTreeSet::new(), is_llm);
    let names: Vec<&str> = next.iter().map(|lagging| lagging.engine.id.as_str()).collect();
    assert_eq!(names, ["i-02", "i-01"], "what has missed most goes first");
}

#[test]
fn a_leaving_engine_and_other_models_are_left_alone() {
    let mut leaving = target("i-1", "llm", address(1));
    leaving.presence = Presence::Leaving;
    let mut other = target("i-2", "llm", address(2));
    other.weights = BTreeMap::from([("other".to_string(), 1)]);
    let roster = roster([leaving, other, target("i-3", "app", address(3))]);
    assert_eq!(next_loads(&roster, &named(2), &BTreeSet::new(), &BTreeSet::new(), is_llm), []);
}

#[test]
fn an_order_names_its_holder_and_what_it_expects() {
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
fn a_report_is_read() {
    let text = br#"{"Stage":"colocated","Models":[{"Name":"m","Version":2,"Adapters":[]}],
        "Busy":true,"Seq":2,"Waiting":1,"Running":12,"KvUsed":41000,"KvTotal":90000,"Handles":0}"#;
    let report = engines::decode_report(text).expect("a report");
    assert!(report.is_busy);
    assert_eq!((report.orders_accepted, report.weights["m"]), (2, 2));
    assert!(engines::decode_report(b"{}").is_err());
}

#[test]
fn a_report_tells_which_start_it_is_of() {
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
        "births may be told here alone"
    );
}

#[test]
fn an_entry_of_an_unknown_service_is_told_nothing_and_keeps_nobody_waiting() {
    let mut strange = target("a-first", "unheard", address(1));
    strange.weights = BTreeMap::from([("m".to_string(), 1)]);
    let roster = roster([strange, target("i-1", "llm", address(2))]);
    let next = next_loads(&roster, &named(2), &BTreeSet::new(), &BTreeSet::new(), is_llm);
    assert_eq!(next.iter().map(|next| next.engine.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
}

/// Weights 2 are named at 10 s; older ones may be used for 8.4 s.
#[test]
fn the_age_of_a_naming_is_recorded_each_second_until_nothing_depends_on_it() {
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
fn a_replica_that_hears_of_a_naming_late_takes_it_for_old() {
    let mut state = ControlState::default();
    state.apply(Command::NameWeights { model: "m".into(), version: 2 });
    let age =
        |state: &ControlState, caught_up_at| estimated_age(state, "m", 2, caught_up_at, ms(50_000));
    assert_eq!(age(&state, Some(ms(49_900))), ms(0), "it was there when it was named");
    assert_eq!(age(&state, None), ms(1_000), "it has just started");
    assert_eq!(age(&state, Some(ms(40_000))), ms(1_000), "it was away");
    let weights = NamedWeights { version: 2, age: ms(5_000) };
    state.apply(Command::RecordAge { model: "m".into(), weights });
    assert_eq!(age(&state, None), ms(6_000));
}
