//! Votes of a single replica in response to single messages.

use std::time::Duration;

use kumquatpost::log::raft::{Raft, Recovered};
use kumquatpost::log::{Entry, Members, Message, Payload, Vote};

use crate::log_cluster::{TIMING, replica_in_term_5};

const START: Duration = Duration::from_secs(100);
/// Long after the last contact with a leader.
const LATER: Duration = Duration::from_secs(200);

fn replica() -> Raft {
    replica_in_term_5(START)
}

fn request_vote(term: u64, last_term: u64, last_index: u64) -> Message {
    Message::RequestVote { term, last_index, last_term }
}

/// Whether replica 2's request is granted, and the term afterwards. Earlier changes are persisted first.
fn vote_reply(raft: &mut Raft, message: Message, now: Duration) -> (Option<bool>, u64) {
    raft.take_effects(now);
    raft.saved(now);
    raft.receive(2, message, now);
    let effects = raft.take_effects(now);
    // A pre-vote reply promises nothing, so it need not wait for a save.
    let pre_vote = effects.immediate_messages.first().map(|(_, message)| match message {
        Message::PreVoteReply { granted, .. } => *granted,
        message => panic!("{message:?} must not be sent before the save"),
    });
    let vote = effects.messages_after_persist.iter().find_map(|(_, message)| match message {
        Message::VoteReply { granted, .. } => Some(*granted),
        _ => None,
    });
    if vote == Some(true) {
        let saved = effects.persist.vote.expect("a granted vote must be persisted");
        assert_eq!(saved.voted_for, Some(2));
    }
    raft.saved(now);
    (pre_vote.or(vote), raft.term())
}

#[test]
fn a_vote_is_granted_only_to_an_up_to_date_log() {
    let cases = [
        ("the same log", request_vote(6, 5, 4), Some(true)),
        ("a longer log", request_vote(6, 5, 9), Some(true)),
        ("a newer term", request_vote(6, 6, 1), Some(true)),
        ("a shorter log", request_vote(6, 5, 3), Some(false)),
        ("an older term", request_vote(6, 4, 99), Some(false)),
        ("an old candidate", request_vote(4, 5, 9), Some(false)),
        ("of the same term", request_vote(5, 5, 4), Some(true)),
    ];
    for (case_name, message, expected) in cases {
        assert_eq!(vote_reply(&mut replica(), message, LATER).0, expected, "{case_name}");
    }
}

#[test]
fn only_one_vote_is_granted_per_term() {
    let mut raft = replica();
    assert_eq!(vote_reply(&mut raft, request_vote(6, 5, 4), LATER).0, Some(true));
    assert_eq!(
        vote_reply(&mut raft, request_vote(6, 5, 4), LATER).0,
        Some(true),
        "the same request again"
    );
    raft.receive(3, request_vote(6, 5, 9), LATER);
    let effects = raft.take_effects(LATER);
    assert_eq!(
        effects.messages_after_persist,
        vec![(3, Message::VoteReply { term: 6, granted: false })]
    );
}

#[test]
fn no_vote_is_granted_while_a_leader_may_hold_a_lease() {
    let heartbeat = Message::Append {
        term: 5,
        prev_index: 4,
        prev_term: 5,
        entries: Vec::new(),
        commit: 4,
        last_index: 4,
        round: 1,
        round_ack: None,
    };
    let before_timeout = LATER + TIMING.election_timeout - Duration::from_millis(1);
    let mut raft = replica();
    raft.receive(3, heartbeat, LATER);
    assert_eq!(
        vote_reply(&mut raft, request_vote(9, 9, 9), before_timeout),
        (None, 5),
        "the term must not change either"
    );
    let pre_vote = Message::PreVote { term: 6, last_index: 9, last_term: 9 };
    assert_eq!(vote_reply(&mut raft, pre_vote, before_timeout).0, Some(false));
    let after_timeout = LATER + TIMING.election_timeout;
    assert_eq!(vote_reply(&mut raft, request_vote(9, 9, 9), after_timeout), (Some(true), 9));
    // After a restart, the last contact with a leader is unknown.
    let before_timeout = START + TIMING.election_timeout - Duration::from_millis(1);
    assert_eq!(vote_reply(&mut replica(), request_vote(9, 9, 9), before_timeout), (None, 5));
}

/// Guards against a lease without a quorum: a re-elected leader numbers its rounds anew, so an
/// acknowledgement of a round of its earlier term would count for a later one.
#[test]
fn an_append_of_an_earlier_term_is_rejected_without_acknowledging_its_round() {
    let mut raft = replica();
    let earlier = Message::Append {
        term: 4,
        prev_index: 4,
        prev_term: 4,
        entries: Vec::new(),
        commit: 4,
        last_index: 4,
        round: 28,
        round_ack: None,
    };
    raft.receive(3, earlier, LATER);
    let effects = raft.take_effects(LATER);
    let (to, reply) = effects.messages_after_persist.first().expect("no reply with the later term");
    let Message::AppendReply { term, round_ack, .. } = reply else { panic!("{reply:?}") };
    assert_eq!((*to, *term, round_ack.round), (3, 5, 0));
}

#[test]
fn a_pre_vote_request_changes_no_state() {
    let mut raft = replica();
    let pre_vote = Message::PreVote { term: 9, last_index: 9, last_term: 9 };
    assert_eq!(vote_reply(&mut raft, pre_vote, LATER), (Some(true), 5));
    let short = Message::PreVote { term: 9, last_index: 3, last_term: 5 };
    assert_eq!(vote_reply(&mut raft, short, LATER), (Some(false), 5));
}

#[test]
fn a_replica_that_lost_data_votes_only_after_it_has_caught_up() {
    let vote = Vote { term: 5, ..Vote::default() };
    let recovered = Recovered { vote, has_lost_data: true, ..Recovered::default() };
    let mut raft = Raft::new(1, Members::from_voters([1, 2, 3]), TIMING, recovered, 1, START);
    assert_eq!(vote_reply(&mut raft, request_vote(6, 9, 9), LATER).0, Some(false));
    let append = |prev_index: u64, count: u64| Message::Append {
        term: 6,
        prev_index,
        prev_term: if prev_index == 0 { 0 } else { 6 },
        entries: (prev_index + 1..=prev_index + count)
            .map(|index| Entry { index, term: 6, payload: Payload::Noop })
            .collect(),
        commit: 0,
        last_index: 4,
        round: 1,
        round_ack: None,
    };
    for (prev_index, count, recovering) in [(0, 3, true), (3, 1, false)] {
        raft.receive(3, append(prev_index, count), LATER);
        raft.take_effects(LATER);
        assert!(raft.status().recovering, "must not change before the save");
        raft.saved(LATER);
        assert_eq!(raft.status().recovering, recovering);
    }
    let after_timeout = LATER + TIMING.election_timeout;
    assert_eq!(vote_reply(&mut raft, request_vote(7, 6, 4), after_timeout).0, Some(true));
}

/// Guards against a new candidate that ends an election while voters are still saving their votes.
#[test]
fn no_pre_vote_is_granted_while_an_earlier_candidate_may_still_win() {
    let mut raft = replica();
    raft.receive(2, request_vote(6, 5, 4), LATER);
    raft.take_effects(LATER);
    let pre_vote = || Message::PreVote { term: 7, last_index: 9, last_term: 6 };
    let is_granted = |raft: &mut Raft, now: Duration| {
        raft.receive(3, pre_vote(), now);
        let messages = raft.take_effects(now).immediate_messages;
        let reply = |(_, message): &(u64, Message)| match message {
            Message::PreVoteReply { granted, .. } => Some(*granted),
            _ => None,
        };
        messages.iter().find_map(reply).expect("no immediate reply")
    };
    let saved_at = LATER + Duration::from_secs(2);
    assert!(!is_granted(&mut raft, saved_at), "the vote is still being saved");
    raft.saved(saved_at);
    assert!(
        !is_granted(&mut raft, saved_at + Duration::from_secs(4)),
        "saves of other voters may take as long"
    );
    let candidate_timed_out_at = saved_at + Duration::from_secs(4) + TIMING.election_timeout * 2;
    assert!(is_granted(&mut raft, candidate_timed_out_at), "the candidate can no longer win");
}

/// Guards against counting entries as durable that were truncated during their save.
#[test]
fn a_recovering_replica_ignores_entries_that_were_truncated_while_they_were_saved() {
    let vote = Vote { term: 5, ..Vote::default() };
    let recovered = Recovered { vote, has_lost_data: true, ..Recovered::default() };
    let mut raft = Raft::new(1, Members::from_voters([1, 2, 3]), TIMING, recovered, 1, START);
    let append = |term: u64, count: u64| Message::Append {
        term,
        prev_index: 0,
        prev_term: 0,
        entries: (1..=count).map(|index| Entry { index, term, payload: Payload::Noop }).collect(),
        commit: 0,
        last_index: 4,
        round: 1,
        round_ack: None,
    };
    raft.receive(2, append(6, 4), LATER);
    raft.take_effects(LATER);
    raft.receive(3, append(7, 2), LATER);
    raft.saved(LATER);
    assert!(raft.status().recovering, "the saved entries have been truncated");
    raft.take_effects(LATER);
    raft.saved(LATER);
    assert!(raft.status().recovering, "only two of four entries are durable");
}
