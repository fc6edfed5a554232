//! Replicas that restart while a leader lease that rests on them may still be valid.

use std::time::Duration;

use kumquatpost::log::raft::{Raft, Recovered};
use kumquatpost::log::{Entry, Members, Message, Payload, Vote};

use crate::log_cluster::{Cluster, TIMING};

const START: Duration = Duration::from_secs(100);

/// Replica 1 of three, restarted after it acknowledged replica 2 as the leader of term 5.
fn restarted_follower() -> Raft {
    let entries = vec![Entry { index: 1, term: 5, payload: Payload::Noop }];
    let vote = Vote { term: 5, acknowledged_leader: Some(2), ..Vote::default() };
    let recovered = Recovered { vote, entries, ..Recovered::default() };
    Raft::new(1, Members::from_voters([1, 2, 3]), TIMING, recovered, 1, START)
}

fn sent_messages(raft: &mut Raft, now: Duration) -> Vec<(u64, Message)> {
    let effects = raft.take_effects(now);
    effects.immediate_messages.into_iter().chain(effects.messages_after_persist).collect()
}

/// The random nonce of the lease query that the replica sends to replica 2 after its start.
fn lease_query_nonce(raft: &mut Raft, now: Duration) -> u64 {
    raft.tick(now);
    let query = sent_messages(raft, now).into_iter().find_map(|(to, message)| match message {
        Message::LeaseQuery { nonce } => Some((to, nonce)),
        _ => None,
    });
    let (to, nonce) = query.expect("no lease query was sent");
    assert_eq!(to, 2, "only the last acknowledged leader may hold a lease");
    nonce
}

fn grants_vote(raft: &mut Raft, now: Duration) -> bool {
    raft.receive(3, Message::RequestVote { term: 6, last_index: 1, last_term: 5 }, now);
    let is_granted =
        |(_, message): &(u64, Message)| matches!(message, Message::VoteReply { granted: true, .. });
    sent_messages(raft, now).iter().any(is_granted)
}

#[test]
fn a_restarted_replica_votes_at_once_if_the_leader_holds_no_lease() {
    let mut raft = restarted_follower();
    let nonce = lease_query_nonce(&mut raft, START);
    raft.receive(2, Message::NoLease { nonce }, START + Duration::from_millis(5));
    assert!(grants_vote(&mut raft, START + Duration::from_millis(6)));
}

#[test]
fn a_restarted_replica_without_a_reply_does_not_vote_before_the_election_timeout() {
    let mut raft = restarted_follower();
    assert!(!grants_vote(&mut raft, START + TIMING.election_timeout - Duration::from_millis(1)));
    assert!(grants_vote(&mut raft, START + TIMING.election_timeout));
}

#[test]
fn replies_from_other_replicas_or_to_earlier_starts_are_ignored() {
    let mut raft = restarted_follower();
    let nonce = lease_query_nonce(&mut raft, START);
    raft.receive(3, Message::NoLease { nonce }, START);
    raft.receive(2, Message::NoLease { nonce: nonce ^ 1 }, START);
    assert!(!grants_vote(&mut raft, START + Duration::from_millis(10)));
}

#[test]
fn a_replica_that_has_led_since_its_start_does_not_deny_its_lease() {
    let mut raft = Raft::new(1, Members::from_voters([1]), TIMING, Recovered::default(), 1, START);
    let may_hold_lease = |raft: &mut Raft, now| {
        raft.receive(2, Message::LeaseQuery { nonce: 7 }, now);
        !sent_messages(raft, now).contains(&(2, Message::NoLease { nonce: 7 }))
    };
    assert!(!may_hold_lease(&mut raft, START));
    let later = START + TIMING.election_timeout * 3;
    raft.tick(later);
    assert!(raft.status().is_leader);
    assert!(may_hold_lease(&mut raft, later));
}

/// Guards against waiting for the election timeout after a power failure of all hosts.
#[test]
fn replicas_that_all_restart_elect_a_leader_within_100_ms() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(5, seed);
        cluster.run_until("there is a leader", |cluster| cluster.leader().is_some());
        cluster.run_for(TIMING.election_timeout);
        cluster.ids().into_iter().for_each(|id| cluster.crash(id));
        // Messages still in flight are lost.
        cluster.run_for(Duration::from_millis(10));
        cluster.ids().into_iter().for_each(|id| cluster.start(id));
        cluster.run_for(Duration::from_millis(100));
        let leader = cluster.leader().expect("no leader");
        let now = cluster.local_time(leader);
        assert!(
            cluster.raft(leader).expect("the replica is not running").holds_leader_lease(now),
            "seed {seed}"
        );
    }
}

/// Guards against replicas that wait for the last leader indefinitely.
#[test]
fn a_leader_that_does_not_restart_is_replaced_within_four_election_timeouts() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(5, seed);
        cluster.run_until("there is a leader", |cluster| cluster.leader().is_some());
        cluster.run_for(TIMING.election_timeout);
        let old_leader = cluster.leader().expect("no leader");
        cluster.ids().into_iter().for_each(|id| cluster.crash(id));
        cluster.ids().into_iter().filter(|id| *id != old_leader).for_each(|id| cluster.start(id));
        cluster.run_for(TIMING.election_timeout * 4);
        assert!(cluster.leader().is_some_and(|leader| leader != old_leader), "seed {seed}");
    }
}

/// Guards against a restart of all replicas after which a follower publishes the outdated state of its
/// snapshot: commit indices are not on disk, so a new leader does not know yet what was committed.
#[test]
fn a_follower_has_caught_up_only_after_its_leader_has_committed_in_its_term() {
    let mut raft = restarted_follower();
    let append = |entries: Vec<Entry>, commit, round_ack| Message::Append {
        term: 6,
        prev_index: 1,
        prev_term: 5,
        entries,
        commit,
        last_index: 2,
        round: 1,
        round_ack,
    };
    let noop = Entry { index: 2, term: 6, payload: Payload::Noop };
    let now = START + TIMING.election_timeout * 2;
    raft.receive(2, append(vec![noop], 0, None), now);
    let answers = sent_messages(&mut raft, now).into_iter().map(|(_, message)| message);
    let round_ack = answers
        .filter_map(|message| match message {
            Message::AppendReply { round_ack, .. } => Some(round_ack),
            _ => None,
        })
        .next_back();
    assert!(round_ack.is_some());
    assert_eq!(raft.caught_up_at(now), None, "entry 1 may have been committed in an earlier term");
    raft.receive(2, append(Vec::new(), 1, round_ack), now);
    assert_eq!(
        raft.caught_up_at(now),
        None,
        "later entries of the leader may have been committed as well"
    );
    raft.receive(2, append(Vec::new(), 2, round_ack), now);
    assert_eq!(
        raft.caught_up_at(now),
        None,
        "entry 2 has not been matched with the leader's log yet"
    );
    let last_entry_append = Message::Append {
        term: 6,
        prev_index: 2,
        prev_term: 6,
        entries: Vec::new(),
        commit: 2,
        last_index: 2,
        round: 2,
        round_ack,
    };
    raft.receive(2, last_entry_append, now);
    assert_eq!(raft.caught_up_at(now), Some(now));
}
