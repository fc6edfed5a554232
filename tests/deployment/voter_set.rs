//! Membership steps towards the desired set of voters.

use std::collections::BTreeMap;
use std::net::IpAddr;

use kumquatpost::control::voter_set::{MembershipStep, PeerActivity, VOTER_TIMEOUT};
use kumquatpost::ids::NodeId;
use kumquatpost::log::Members;

use crate::fixtures::ms;

const DESIRED_VOTERS: usize = 5;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn addresses(nodes: &[u64]) -> BTreeMap<NodeId, IpAddr> {
    nodes.iter().map(|node| (*node, ip(*node as u8))).collect()
}

fn members(voters: &[u64], learners: &[u64]) -> Members {
    let mut members = Members::from_voters(voters.iter().copied());
    members.learners.extend(learners);
    members
}

/// The records of replica 1, the leader, which heard from `nodes` at 10 s.
fn activity_of(nodes: &[u64]) -> PeerActivity {
    let mut activity = PeerActivity::default();
    activity.reset(ms(0));
    nodes.iter().for_each(|node| activity.record_contact(*node, ms(10_000)));
    activity
}

#[test]
fn a_replica_joins_step_by_step() {
    let mut activity = activity_of(&[2, 3]);
    activity.record_join_request(4, ip(4), ms(10_000));
    let step = |members, addresses| {
        activity.next_step(1, &members, &addresses, DESIRED_VOTERS, ms(10_000))
    };
    assert_eq!(
        step(members(&[1, 2, 3], &[]), addresses(&[1, 2, 3])),
        Some(MembershipStep::SetAddress(4, ip(4)))
    );
    let known = addresses(&[1, 2, 3, 4]);
    assert_eq!(step(members(&[1, 2, 3], &[]), known.clone()), Some(MembershipStep::AddLearner(4)));
    let mut activity = activity.clone();
    activity.record_contact(4, ms(10_000));
    let step = |members| activity.next_step(1, &members, &known, DESIRED_VOTERS, ms(10_000));
    assert_eq!(step(members(&[1, 2, 3], &[4])), Some(MembershipStep::Promote(4)));
    assert_eq!(step(members(&[1, 2, 3, 4], &[])), None);
}

/// Replica 5 has lost its disk: its host returns as replica 15, which replaces it.
fn assert_successor_replaces(mut activity: PeerActivity) {
    activity.record_join_request(15, ip(5), ms(10_000));
    let mut known = addresses(&[1, 2, 3, 4, 5]);
    known.insert(15, ip(5));
    let step = |members| activity.next_step(1, &members, &known, DESIRED_VOTERS, ms(10_000));
    assert_eq!(step(members(&[1, 2, 3, 4, 5], &[])), Some(MembershipStep::AddLearner(15)));
    assert_eq!(step(members(&[1, 2, 3, 4, 5], &[15])), Some(MembershipStep::Promote(15)));
    assert_eq!(step(members(&[1, 2, 3, 4, 5, 15], &[])), Some(MembershipStep::Remove(5)));
    assert_eq!(step(members(&[1, 2, 3, 4, 15], &[])), None);
}

#[test]
fn a_replaced_voter_is_removed_last() {
    assert_successor_replaces(activity_of(&[2, 3, 4, 15]));
}

/// Guards against removing the successor of a replica that had once sent a join request from the
/// same host itself.
#[test]
fn an_earlier_join_request_does_not_displace_the_successor() {
    let mut activity = activity_of(&[2, 3, 4, 15]);
    activity.record_join_request(5, ip(5), ms(1_000));
    assert_successor_replaces(activity);
}

#[test]
fn a_silent_voter_is_replaced_only_by_a_live_learner() {
    let known = addresses(&[1, 2, 3, 4, 5, 6]);
    let mut activity = activity_of(&[2, 3, 4]);
    activity.record_contact(5, ms(10_000) - VOTER_TIMEOUT);
    let step = |activity: &PeerActivity, members| {
        activity.next_step(1, &members, &known, DESIRED_VOTERS, ms(10_000))
    };
    let voters_only = members(&[1, 2, 3, 4, 5], &[]);
    assert_eq!(
        step(&activity, voters_only.clone()),
        None,
        "no learner can replace the silent voter"
    );
    let with_learner = members(&[1, 2, 3, 4, 5], &[6]);
    activity.record_contact(6, ms(9_000));
    assert_eq!(step(&activity, with_learner.clone()), Some(MembershipStep::Promote(6)));
    assert_eq!(step(&activity, members(&[1, 2, 3, 4, 5, 6], &[])), Some(MembershipStep::Remove(5)));
    activity.record_contact(5, ms(10_000));
    assert_eq!(
        step(&activity, with_learner),
        None,
        "the voter is back: the learner is not promoted"
    );
}

#[test]
fn a_new_leader_does_not_consider_voters_silent_at_once() {
    let known = addresses(&[1, 2, 3, 4, 5, 6]);
    let mut activity = PeerActivity::default();
    activity.reset(ms(10_000));
    let with_learner = members(&[1, 2, 3, 4, 5], &[6]);
    let step = |at| activity.next_step(1, &with_learner, &known, DESIRED_VOTERS, at);
    assert_eq!(step(ms(11_000)), None);
}

#[test]
fn silent_learners_are_removed() {
    let known = addresses(&[1, 2, 3, 4, 5, 6]);
    let activity = activity_of(&[2, 3, 4, 5]);
    let with_learner = members(&[1, 2, 3, 4, 5], &[6]);
    let step = |at| activity.next_step(1, &with_learner, &known, DESIRED_VOTERS, at);
    assert_eq!(step(ms(10_000)), Some(MembershipStep::Remove(6)), "not heard from in 10 s");
}

#[test]
fn an_expired_join_request_is_ignored() {
    let mut activity = activity_of(&[2, 3]);
    activity.record_join_request(4, ip(4), ms(1_000));
    let step =
        activity.next_step(1, &members(&[1, 2, 3], &[]), &addresses(&[1, 2, 3]), 5, ms(10_000));
    assert_eq!(step, None);
}
