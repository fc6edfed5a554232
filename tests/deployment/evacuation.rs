//! Evacuated failure domains: orders of operators, delayed copies of them, and where work goes.

use std::collections::BTreeSet;
use std::time::Instant;

use kumquatpost::control::frames::Update;
use kumquatpost::control::state::{Command, ControlState, Reply};
use kumquatpost::fleet::evacuation::{EvacuatedDomains, EvacuationOrder, Evacuations};
use kumquatpost::fleet::{FleetView, Listed};
use kumquatpost::scheduler::PlacementError;
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::fixtures::{address, ms, roster, start, target};
use crate::gateway::{deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::load::{engines, expect_placed, placement_request, scheduler};
use crate::replicas::ReplicaCluster;
use crate::stand_in::{AfterAnswer, StandIn};

fn evacuation_record(orders: &[(&str, EvacuationOrder)]) -> Evacuations {
    let mut record = Evacuations::default();
    for (domain, order) in orders {
        let expected = record.revision(domain);
        record.order((*domain).to_string(), *order, expected).expect("the revision is current");
    }
    record
}

fn evacuated(domains: &[&str]) -> EvacuatedDomains {
    let orders: Vec<_> =
        domains.iter().map(|domain| (*domain, EvacuationOrder::Evacuate)).collect();
    let mut known = EvacuatedDomains::default();
    known.update(&evacuation_record(&orders), ms(0));
    known
}

/// A copy of an order that its sender was shown the revision for.
#[derive(Clone, Debug)]
struct Copy {
    order: EvacuationOrder,
    expected: u64,
}

proptest! {
    /// Guards against copies of earlier orders that take effect after a later one was accepted:
    /// copies are duplicated, delayed and reordered at will.
    #[test]
    fn delayed_copies_never_undo_a_later_accepted_order(
        orders in proptest::collection::vec(any::<bool>(), 1..12),
        delayed in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..40),
    ) {
        let mut state = ControlState::default();
        let mut sent: Vec<Copy> = Vec::new();
        for (step, evacuates) in orders.iter().enumerate() {
            let order =
                if *evacuates { EvacuationOrder::Evacuate } else { EvacuationOrder::Restore };
            let expected = state.evacuations.revision("a");
            sent.push(Copy { order, expected });
            let accepted = apply(&mut state, sent.last().expect("a copy"));
            prop_assert!(accepted.is_some(), "the caller was shown the current revision");
            for (copy, at) in &delayed {
                let copy = copy.get(&sent).clone();
                if at.index(orders.len()) == step {
                    prop_assert_eq!(apply(&mut state, &copy), None, "a late copy");
                }
            }
            let is_evacuated = state.evacuations.evacuated().contains("a");
            prop_assert_eq!(is_evacuated, *evacuates, "after step {}", step);
        }
        let restored = ControlState::from_snapshot(&state.snapshot()).expect("a snapshot");
        prop_assert_eq!(restored.evacuations, state.evacuations);
    }
}

fn apply(state: &mut ControlState, copy: &Copy) -> Option<u64> {
    let command = Command::OrderEvacuation {
        domain: "a".to_string(),
        order: copy.order,
        expected: copy.expected,
    };
    match state.apply(command) {
        Reply::EvacuationOrdered(revision) => revision,
        other => panic!("not the reply to an evacuation order: {other:?}"),
    }
}

#[test]
fn an_older_record_changes_nothing() {
    let early = evacuation_record(&[("a", EvacuationOrder::Evacuate)]);
    let late = evacuation_record(&[
        ("a", EvacuationOrder::Evacuate),
        ("b", EvacuationOrder::Evacuate),
        ("a", EvacuationOrder::Restore),
    ]);
    let mut known = EvacuatedDomains::default();
    assert!(known.update(&late, ms(0)));
    assert!(!known.update(&early, ms(1)));
    assert!(!known.contains("a") && known.contains("b"));
}

/// Guards against missing a restoration between two updates, after which targets may be cold.
#[test]
fn each_restoration_is_noticed_even_if_the_evacuation_before_it_was_not() {
    let mut record =
        evacuation_record(&[("a", EvacuationOrder::Evacuate), ("a", EvacuationOrder::Restore)]);
    let mut known = EvacuatedDomains::default();
    known.update(&record, ms(0));
    assert!(known.was_restored("a", ms(3_000), ms(2_999)));
    assert!(!known.was_restored("a", ms(3_000), ms(3_000)));
    for order in [EvacuationOrder::Evacuate, EvacuationOrder::Restore] {
        let expected = record.revision("a");
        record.order("a".to_string(), order, expected).expect("the revision is current");
    }
    known.update(&record, ms(10_000));
    assert!(known.was_restored("a", ms(3_000), ms(12_999)));
}

fn listed_in(domain: &str, id: &str, service: &str, port: u16) -> Listed {
    Listed { failure_domain: domain.to_string(), ..target(id, service, address(port)) }
}

#[test]
fn the_scheduler_places_nothing_in_an_evacuated_domain() {
    let mut scheduler = scheduler(2);
    let mut listed = engines(2);
    listed[1].failure_domain = "b".to_string();
    scheduler.observe_roster(&roster(listed));
    scheduler.observe_evacuated(&evacuated(&["a"]));
    for n in 0..4 {
        let now = ms(10 + n * 200);
        let placed = expect_placed(scheduler.submit(n, placement_request(2, n, n), now));
        assert_eq!(placed.target, start("i-01"));
    }
    scheduler.observe_evacuated(&evacuated(&["a", "b"]));
    assert_eq!(
        scheduler.submit(9, placement_request(2, 9, 9), ms(2_000)),
        Some(Err(PlacementError::NoTargetListed)),
        "a prompt must not wait for an engine that will not take it"
    );
}

/// Guards against prompts that were queued before the evacuation.
#[test]
fn queued_prompts_do_not_wait_for_evacuated_engines() {
    let mut scheduler = scheduler(1);
    expect_placed(scheduler.submit(1, placement_request(0, 1, 1), ms(0)));
    assert_eq!(scheduler.submit(2, placement_request(0, 2, 2), ms(1)), None);
    scheduler.observe_evacuated(&evacuated(&["a"]));
    assert_eq!(scheduler.dispatch(ms(2)), [(2, Err(PlacementError::NoTargetListed))]);
}

#[test]
fn an_entry_uses_no_target_of_an_evacuated_domain() {
    let mut view = FleetView::default();
    let listed = [listed_in("a", "i-1", "app", 1), listed_in("b", "i-2", "app", 2)];
    view.update(&roster(listed.clone()));
    let live = |view: &FleetView| -> BTreeSet<String> {
        view.live("app").map(|state| state.listed.start.id.clone()).collect()
    };
    assert!(
        view.observe_evacuations(&evacuation_record(&[("a", EvacuationOrder::Evacuate)]), ms(0))
    );
    assert_eq!(live(&view), ["i-2".to_string()].into());
    assert!(!view.takes_work(&start("i-1")));
    // A target that starts there later takes no work either.
    view.update(&roster(listed.into_iter().chain([listed_in("a", "i-3", "app", 3)])));
    assert_eq!(live(&view), ["i-2".to_string()].into());
    let restored = [("a", EvacuationOrder::Evacuate), ("a", EvacuationOrder::Restore)];
    assert!(view.observe_evacuations(&evacuation_record(&restored), ms(9)));
    assert_eq!(live(&view).len(), 3);
}

/// Guards against requests over idle connections to a target that was evacuated meanwhile, and
/// against callers who wait although no target is left.
#[test]
fn an_entry_refuses_at_once_when_all_targets_are_evacuated() {
    run_local(async {
        let answers = vec![(ok_response("done"), AfterAnswer::KeepOpen); 2];
        let stand_in = StandIn::start(answers).await;
        let listed = Listed { address: stand_in.address, ..listed_in("a", "i-1", "app", 1) };
        let entry = start_entry(deployment_with_long_timeouts(), vec![listed]).await;
        assert_eq!(entry.call("/once/1", "r-1").await.status, 200);
        let record = evacuation_record(&[("a", EvacuationOrder::Evacuate)]);
        entry.gateway.observe(Update::Evacuations(record.into())).expect("a valid update");
        let sent_at = Instant::now();
        let refused = entry.call("/once/2", "r-2").await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.text.to_lowercase().contains("retry-after"), "{refused:?}");
        assert!(sent_at.elapsed() < ms(1_000));
        assert_eq!(stand_in.request_count(), 1, "nothing reaches the evacuated target");
    });
}

fn order(cluster: &ReplicaCluster, host: usize, method: &str, domain: &str) -> Option<u16> {
    Some(cluster.send(host, method, &format!("evacuate/{domain}"), None)?.0)
}

fn accepted(cluster: &ReplicaCluster, method: &str, domain: &str) {
    cluster.eventually("the order is accepted", |cluster| {
        (0..3).any(|host| order(cluster, host, method, domain) == Some(200))
    });
}

fn read_evacuated(cluster: &ReplicaCluster) -> Value {
    let mut read = None;
    cluster.eventually("the evacuations are read", |cluster| {
        read = cluster.first_success(|host| cluster.send(host, "GET", "evacuate", None));
        read.is_some()
    });
    let read: Value = serde_json::from_str(&read.expect("a response")).expect("JSON");
    read["evacuated"].clone()
}

#[test]
fn acknowledged_evacuations_survive_a_loss_of_all_processes() {
    let mut cluster = ReplicaCluster::start(3);
    accepted(&cluster, "POST", "hall");
    accepted(&cluster, "POST", "hall");
    assert_eq!(read_evacuated(&cluster), json!(["hall"]));
    (0..3).for_each(|host| cluster.kill(host));
    (0..3).for_each(|host| cluster.start_replica(host, false));
    assert_eq!(read_evacuated(&cluster), json!(["hall"]));
    accepted(&cluster, "DELETE", "hall");
    assert_eq!(read_evacuated(&cluster), json!([]));
}

#[test]
fn an_unknown_failure_domain_is_rejected_with_the_known_ones() {
    let cluster = ReplicaCluster::start(3);
    let mut answer = None;
    cluster.eventually("the replica has caught up", |cluster| {
        answer = cluster.send(1, "POST", "evacuate/elsewhere", None);
        answer.as_ref().is_some_and(|(status, _)| *status != 503)
    });
    let (status, text) = answer.expect("a response");
    assert_eq!(status, 404);
    assert!(text.contains("hall"), "{text}");
}

/// Guards against orders that are rejected for good by a replica that has just started and does not
/// know the failure domains yet.
#[test]
fn a_replica_without_a_leader_rejects_no_failure_domain_for_good() {
    let mut cluster = ReplicaCluster::start(3);
    (0..3).for_each(|host| cluster.kill(host));
    cluster.start_replica(1, false);
    let mut answer = None;
    cluster.eventually("the replica answers", |cluster| {
        answer = cluster.send(1, "POST", "evacuate/elsewhere", None);
        answer.is_some()
    });
    assert_eq!(answer.map(|(status, _)| status), Some(503));
}

/// Guards against an order that takes effect although its sender no longer waits: it reaches a
/// replica late and nobody follows the redirect. A replica without a leader, as while disks are slow, can't
/// redirect yet.
#[test]
fn a_copy_whose_sender_has_left_has_no_effect() {
    let cluster = ReplicaCluster::start(3);
    accepted(&cluster, "POST", "hall");
    for host in 0..3 {
        cluster.eventually("the copy is redirected", |cluster| {
            let answer = cluster.send_without_redirects(host, "DELETE", "evacuate/hall", None);
            assert!(matches!(answer, None | Some(307 | 503)), "{answer:?}");
            answer == Some(307)
        });
    }
    assert_eq!(read_evacuated(&cluster), json!(["hall"]));
}
