//! Patches and updates of the numbered configuration: conflicts, resends, gaps and invalid results.

use kumquatpost::config::history::UpdateError;
use kumquatpost::config::{Config, ConfigHistory, Update};
use kumquatpost::log::state::{Command, Patch, PatchAnswer, Reply, State};
use serde_json::{Value, json};

fn apply_patch(state: &mut State, id: &str, base: u64, change: &Value) -> PatchAnswer {
    let patch = Patch { patch_id: id.into(), base, text: change.to_string() };
    match state.apply(&Command::Patch(patch)) {
        Reply::Patch(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn kind_patch(priority: u64) -> Value {
    json!({"kinds": {"k": {"priority": priority}}})
}

#[test]
fn of_two_patches_with_the_same_base_only_the_first_is_accepted() {
    let mut state = State::new(1_000);
    assert_eq!(apply_patch(&mut state, "a", 0, &kind_patch(1)), PatchAnswer::Accepted(1));
    assert_eq!(apply_patch(&mut state, "b", 0, &kind_patch(2)), PatchAnswer::BaseMismatch(1));
    assert_eq!(state.config().config.kinds["k"].priority, 1);
}

#[test]
fn a_resent_patch_gets_its_first_answer_even_after_hundreds_more_and_a_snapshot() {
    let mut state = State::new(1_000);
    apply_patch(&mut state, "first", 0, &kind_patch(1));
    let conflicting = apply_patch(&mut state, "raced", 0, &kind_patch(2));
    let invalid = apply_patch(&mut state, "invalid", 1, &kind_patch(99));
    for number in 1..600 {
        apply_patch(&mut state, &format!("p{number}"), number, &kind_patch(number % 8));
    }
    let mut restored = State::new(1_000);
    restored.restore(&state.snapshot()).expect("cannot restore the snapshot");
    for state in [&mut state, &mut restored] {
        assert_eq!(apply_patch(state, "first", 0, &kind_patch(1)), PatchAnswer::Accepted(1));
        assert_eq!(apply_patch(state, "raced", 0, &kind_patch(2)), conflicting);
        assert_eq!(apply_patch(state, "invalid", 1, &kind_patch(99)), invalid);
        assert_eq!(apply_patch(state, "first", 0, &kind_patch(3)), PatchAnswer::IdReused);
        assert_eq!(apply_patch(state, "first", 600, &kind_patch(1)), PatchAnswer::IdReused);
        assert_eq!(state.config().number, 600);
    }
    assert_eq!(state.config(), restored.config());
}

#[test]
fn an_invalid_patch_is_rejected_with_field_and_remedy_and_uses_no_number() {
    let account = |key: &str| json!({"key_blake3": key.repeat(64)});
    let cases = [
        (kind_patch(8), "kinds.k.priority"),
        (json!({"models": {"m": {"weight_version": ""}}}), "models.m.weight_version"),
        (json!({"accounts": {"a": account("1"), "b": account("1")}}), "accounts.b.key_blake3"),
        (json!({"accounts": {"a": {"key_blake3": "12"}}}), "accounts.a.key_blake3"),
        (json!({"prices": {"link_s_per_mib": -1.0}}), "prices"),
        (json!({"knds": {}}), "unknown field `knds`"),
        (json!({"kinds": {"k": {"priority": 1, "objective": {"share": 1.5}}}}), "objective.share"),
        (json!(7), "document"),
    ];
    let mut state = State::new(1_000);
    for (number, (change, field)) in cases.iter().enumerate() {
        let answer = apply_patch(&mut state, &number.to_string(), 0, change);
        let PatchAnswer::Invalid(problems) = answer else { panic!("{field}: {answer:?}") };
        assert!(problems[0].contains(field) && problems[0].contains("; "), "{problems:?}");
    }
    assert_eq!(state.config().number, 0);
}

#[test]
fn a_merge_patch_merges_removes_and_replaces() {
    let cases = [
        (json!({"a": 1}), json!({"b": 2}), json!({"a": 1, "b": 2})),
        (json!({"a": {"b": 1, "c": 2}}), json!({"a": {"b": null}}), json!({"a": {"c": 2}})),
        (json!({"a": [1]}), json!({"a": [2, 3]}), json!({"a": [2, 3]})),
        (json!({"a": 1}), json!({"a": {"b": 1, "c": null}}), json!({"a": {"b": 1}})),
    ];
    for (mut document, change, expected) in cases {
        kumquatpost::config::patch::merge(&mut document, &change);
        assert_eq!(document, expected, "{change}");
    }
}

#[test]
fn updates_lead_from_any_number_to_the_newest_and_never_back() {
    let mut state = State::new(1_000);
    let mut copies = vec![ConfigHistory::default()];
    for number in 0..400 {
        apply_patch(&mut state, &number.to_string(), number, &kind_patch(number % 8));
        let mut copy = copies[copies.len() - 1].clone();
        copy.apply_update(&state.history().update_since(number)).expect("cannot apply one patch");
        copies.push(copy);
    }
    for copy in &mut copies {
        let update = state.history().update_since(copy.number());
        let far_behind = copy.number() < 400 - 256;
        assert_eq!(matches!(update, Update::Full(..)), far_behind, "from {}", copy.number());
        copy.apply_update(&update).expect("cannot apply the update");
        assert_eq!(copy.newest(), state.config());
    }
    let old = Update::Full(3, "{}".into());
    assert_eq!(copies[0].apply_update(&old), Err(UpdateError::OlderNumber));
    let gap = Update::Patches(vec![(402, "{}".into())]);
    assert_eq!(copies[0].apply_update(&gap), Err(UpdateError::Invalid));
    let known = Update::Patches(vec![(399, "{}".into()), (400, "{}".into())]);
    assert_eq!(copies[0].apply_update(&known), Ok(()), "known patches are skipped");
    assert_eq!(copies[0].newest(), state.config());
}

#[test]
fn a_truncated_snapshot_is_rejected() {
    let mut state = State::new(1_000);
    apply_patch(&mut state, "a", 0, &kind_patch(1));
    let bytes = state.snapshot();
    for length in 0..bytes.len() {
        assert!(State::new(1_000).restore(&bytes[..length]).is_err(), "cut to {length}");
    }
}

#[test]
fn fencing_numbers_increase_across_a_snapshot() {
    let mut state = State::new(1_000);
    assert_eq!(state.apply(&Command::Fence), Reply::Fence(1));
    let mut restored = State::new(1_000);
    restored.restore(&state.snapshot()).expect("cannot restore the snapshot");
    assert_eq!(restored.apply(&Command::Fence), Reply::Fence(2));
}

#[test]
fn no_kind_but_the_default_exists_without_configuration() {
    let config = Config::default();
    assert!(config.kind("default").is_some_and(|kind| kind.repeatable));
    assert!(config.kind("other").is_none());
}
