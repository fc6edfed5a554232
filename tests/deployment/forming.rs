//! Steps towards a sound set of voters.

use std::collections::BTreeMap;
use std::net::IpAddr;

use kumquatpost::control::forming::{Presence, SILENT, Step};
use kumquatpost::ids::NodeId;
use kumquatpost::log::Members;

use crate::fixtures::ms;

const WANTED: usize = 5;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn places(nodes: &[u64]) -> BTreeMap<NodeId, IpAddr> {
    nodes.iter().map(|node| (*node, ip(*node as u8))).collect()
}

fn members(voters: &[u64], learners: &[u64]) -> Members {
    let mut members = Members::from_voters(voters.iter().copied());
    members.learners.extend(learners);
    members
}

/// Replica 1 leads; these were heard just now, at 10 s.
fn heard(nodes: &[u64]) -> Presence {
    let mut presence = Presence::default();
    presence.reset(ms(0));
    nodes.iter().for_each(|node| presence.heard(*node, ms(10_000)));
    presence
}

#[test]
fn a_replica_joins_step_by_step() {
    let mut presence = heard(&[2, 3]);
    presence.asked(4, ip(4), ms(10_000));
    let step = |members, places| presence.next_step(1, &members, &places, WANTED, ms(10_000));
    assert_eq!(step(members(&[1, 2, 3], &[]), places(&[1, 2, 3])), Some(Step::Place(4, ip(4))));
    let known = places(&[1, 2, 3, 4]);
    assert_eq!(step(members(&[1, 2, 3], &[]), known.clone()), Some(Step::AddLearner(4)));
    let mut presence = presence.clone();
    presence.heard(4, ms(10_000));
    let step = |members| presence.next_step(1, &members, &known, WANTED, ms(10_000));
    assert_eq!(step(members(&[1, 2, 3], &[4])), Some(Step::Promote(4)));
    assert_eq!(step(members(&[1, 2, 3, 4], &[])), None);
}

/// Replica 5 lost its disk: the same host comes back as replica 15, and takes its place.
fn takes_the_place(mut presence: Presence) {
    presence.asked(15, ip(5), ms(10_000));
    let mut known = places(&[1, 2, 3, 4, 5]);
    known.insert(15, ip(5));
    let step = |members| presence.next_step(1, &members, &known, WANTED, ms(10_000));
    assert_eq!(step(members(&[1, 2, 3, 4, 5], &[])), Some(Step::AddLearner(15)));
    assert_eq!(step(members(&[1, 2, 3, 4, 5], &[15])), Some(Step::Promote(15)));
    assert_eq!(step(members(&[1, 2, 3, 4, 5, 15], &[])), Some(Step::Remove(5)));
    assert_eq!(step(members(&[1, 2, 3, 4, 15], &[])), None);
}

#[test]
fn the_one_whose_place_was_taken_goes_last() {
    takes_the_place(heard(&[2, 3, 4, 15]));
}

/// Like all that are no founders, the lost replica had once asked to join itself: that wish must not
/// be taken for a later one than its successor's.
#[test]
fn of_two_that_asked_from_one_host_the_later_one_stays() {
    let mut presence = heard(&[2, 3, 4, 15]);
    presence.asked(5, ip(5), ms(1_000));
    takes_the_place(presence);
}

#[test]
fn a_silent_voter_gives_its_place_only_to_one_that_is_there() {
    let known = places(&[1, 2, 3, 4, 5, 6]);
    let mut presence = heard(&[2, 3, 4]);
    presence.heard(5, ms(10_000) - SILENT);
    let step =
        |presence: &Presence, members| presence.next_step(1, &members, &known, WANTED, ms(10_000));
    let all = members(&[1, 2, 3, 4, 5], &[]);
    assert_eq!(step(&presence, all.clone()), None, "fewer voters would survive fewer losses");
    let with_spare = members(&[1, 2, 3, 4, 5], &[6]);
    presence.heard(6, ms(9_000));
    assert_eq!(step(&presence, with_spare.clone()), Some(Step::Promote(6)));
    assert_eq!(step(&presence, members(&[1, 2, 3, 4, 5, 6], &[])), Some(Step::Remove(5)));
    presence.heard(5, ms(10_000));
    assert_eq!(step(&presence, with_spare), None, "it is back: the spare goes on learning");
}

#[test]
fn a_new_leader_takes_nobody_for_silent_at_once() {
    let known = places(&[1, 2, 3, 4, 5, 6]);
    let mut presence = Presence::default();
    presence.reset(ms(10_000));
    let with_spare = members(&[1, 2, 3, 4, 5], &[6]);
    let step = |at| presence.next_step(1, &with_spare, &known, WANTED, at);
    assert_eq!(step(ms(11_000)), None);
}

#[test]
fn learners_that_are_gone_are_taken_out() {
    let known = places(&[1, 2, 3, 4, 5, 6]);
    let presence = heard(&[2, 3, 4, 5]);
    let with_spare = members(&[1, 2, 3, 4, 5], &[6]);
    let step = |at| presence.next_step(1, &with_spare, &known, WANTED, at);
    assert_eq!(step(ms(10_000)), Some(Step::Remove(6)), "never heard in 10 s");
}

#[test]
fn an_old_wish_to_join_counts_for_nothing() {
    let mut presence = heard(&[2, 3]);
    presence.asked(4, ip(4), ms(1_000));
    let step = presence.next_step(1, &members(&[1, 2, 3], &[]), &places(&[1, 2, 3]), 5, ms(10_000));
    assert_eq!(step, None);
}
