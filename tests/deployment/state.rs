//! The control state that replicas agree on by consensus.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use kumquatpost::control::state::{Command, ControlState, Published, Reply};
use kumquatpost::scheduler::weights::{MAX_VERSIONS, NamedWeights};

use crate::fixtures::{deployment, ms};

fn publish(version: u64, text: &str) -> Command {
    let text = Arc::new(text.as_bytes().to_vec());
    Command::Publish(Published { text, deployment: Arc::new(deployment(version)) })
}

fn published_text(state: &ControlState) -> String {
    let published = state.published.as_ref().expect("a deployment is published");
    String::from_utf8(published.text.to_vec()).expect("UTF-8")
}

#[test]
fn the_highest_published_version_wins_in_any_order() {
    let mut state = ControlState::default();
    let steps = [
        (3, "three", 3, "three"),
        (7, "seven", 7, "seven"),
        (5, "five, late", 7, "seven"),
        (7, "other content under the current version", 7, "seven"),
        (7, "seven", 7, "seven"),
        (8, "eight", 8, "eight"),
    ];
    for (version, sent, newest, held) in steps {
        assert_eq!(state.apply(publish(version, sent)), Reply::Published(newest));
        assert_eq!(published_text(&state), held, "after {version}");
    }
}

#[test]
fn named_weight_versions_never_decrease() {
    let mut state = ControlState::default();
    let mut name_weights =
        |version| state.apply(Command::NameWeights { model: "m".into(), version });
    assert_eq!(name_weights(2), Reply::Named(2));
    assert_eq!(name_weights(4), Reply::Named(4));
    assert_eq!(name_weights(3), Reply::Named(4));
}

fn record_age(version: u64, age_ms: u64) -> Command {
    Command::RecordAge { model: "m".into(), weights: NamedWeights { version, age: ms(age_ms) } }
}

/// A new leader may compute a lower age than its predecessor recorded.
#[test]
fn recorded_ages_of_named_weights_never_decrease() {
    let mut state = ControlState::default();
    let steps = [(2, 1_000, 1_000), (2, 400, 1_000), (2, 2_000, 2_000), (3, 100, 100)];
    for (version, age_ms, held_ms) in steps {
        state.apply(record_age(version, age_ms));
        assert_eq!(state.weight_ages["m"][&version], ms(held_ms));
    }
    assert_eq!(state.weight_ages["m"][&2], ms(2_000), "each version has its own age");
    for version in 4..100 {
        state.apply(record_age(version, 0));
    }
    assert_eq!(state.weight_ages["m"].len(), MAX_VERSIONS);
}

#[test]
fn acquiring_the_order_lease_returns_the_previous_holder() {
    let mut state = ControlState::default();
    let mut acquire = |holder| state.apply(Command::AcquireOrderLease { holder });
    assert_eq!(acquire(1), Reply::OrderLease { previous: None });
    assert_eq!(acquire(1), Reply::OrderLease { previous: Some(1) });
    assert_eq!(acquire(2), Reply::OrderLease { previous: Some(1) });
}

#[test]
fn a_snapshot_restores_the_full_state_and_a_truncated_one_is_rejected() {
    let ip: IpAddr = "10.0.0.1".parse().expect("an address");
    let mut state = ControlState::bootstrap(BTreeMap::from([(1, ip)]));
    state.apply(publish(3, "three"));
    state.apply(Command::NameWeights { model: "m".into(), version: 2 });
    state.apply(record_age(2, 1_000));
    state.apply(Command::AcquireOrderLease { holder: 9 });
    state.apply(Command::SetReplicaAddress { node: 2, ip });
    let bytes = state.snapshot();
    assert_eq!(ControlState::from_snapshot(&bytes), Ok(state));
    for length in 0..bytes.len() {
        assert!(ControlState::from_snapshot(&bytes[..length]).is_err(), "truncated at {length}");
    }
}
