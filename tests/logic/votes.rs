//! Votes of one replica, message by message.

use std::time::Duration;

use kumquatpost::log::raft::{Raft, Recovered};
use kumquatpost::log::{Entry, Members, Message, Payload, Vote};

use crate::log_cluster::{TIMING, replica_in_term_5};

const START: Duration = Duration::from_secs(100);
/// Long after any leader was heard.
const LATER: Duration = Duration::from_secs(200);

fn replica() -> Raft {
    replica_in_term_5(START)
}

fn request(term: u64, last_term: u64, last_index: u64) -> Message {
    Message::RequestVote { term, last_index, last_term }
}

/// The answer to a request by replica 2, and the term after it. All that came before is durable.
fn answer(raft: &mut Raft, message: Message, now: Duration) -> (Option<bool>, u64) {
    raft.take_effects(now);
    raft.saved(now);
    raft.receive(2, message, now);
    let effects = raft.take_effects(now);
    // Nothing is promised by the answer to a pre-vote.
    let pre_vote = effects.immediate_messages.first().map(|(_, message)| match message {
        Message::PreVoteReply { granted, .. } => *granted,
        message => panic!("{message:?} leaves before anything is durable"),
    });
    let vote = effects.messages_after_persist.iter().find_map(|(_, message)| match message {
        Message::VoteReply { granted, .. } => Some(*granted),
        _ => None,
    });
    if vote == Some(true) {
        let saved = effects.persist.vote.expect("a vote is made durable");
        assert_eq!(saved.voted_for, Some(2));
    }
    raft.saved(now);
    (pre_vote.or(vote), raft.term())
}

#[test]
fn a_vote_is_given_only_to_a_log_that_is_as_new() {
    let cases = [
        ("the same log", request(6, 5, 4), Some(true)),
        ("a longer log", request(6, 5, 9), Some(true)),
        ("a newer term", request(6, 6, 1), Some(true)),
        ("a shorter log", request(6, 5, 3), Some(false)),
        ("an older term", request(6, 4, 99), Some(false)),
        ("an old candidate", request(4, 5, 9), Some(false)),
        ("of the same term", request(5, 5, 4), Some(true)),
    ];
    for (what, message, expected) in cases {
        assert_eq!(answer(&mut replica(), message, LATER).0, expected, "{what}");
    }
}

#[test]
fn one_vote_in_a_term() {
    let mut raft = replica();
    assert_eq!(answer(&mut raft, request(6, 5, 4), LATER).0, Some(true));
    assert_eq!(answer(&mut raft, request(6, 5, 4), LATER).0, Some(true), "resent by the same");
    raft.receive(3, request(6, 5, 9), LATER);
    let effects = raft.take_effects(LATER);
    assert_eq!(
        effects.messages_after_persist,
        vec![(3, Message::VoteReply { term: 6, granted: false })]
    );
}

#[test]
fn while_a_leader_may_count_on_it_a_replica_votes_for_nobody_else() {
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
    let soon = LATER + TIMING.election_timeout - Duration::from_millis(1);
    let mut raft = replica();
    raft.receive(3, heartbeat, LATER);
    assert_eq!(answer(&mut raft, request(9, 9, 9), soon), (None, 5), "not even its term is taken");
    let pre_vote = Message::PreVote { term: 6, last_index: 9, last_term: 9 };
    assert_eq!(answer(&mut raft, pre_vote, soon).0, Some(false));
    let late = LATER + TIMING.election_timeout;
    assert_eq!(answer(&mut raft, request(9, 9, 9), late), (Some(true), 9));
    // After a start it may have forgotten a leader that it heard.
    let early = START + TIMING.election_timeout - Duration::from_millis(1);
    assert_eq!(answer(&mut replica(), request(9, 9, 9), early), (None, 5));
}

/// Guards against a lease that rests on an answer to nothing: who led in an earlier term and leads again counts its
/// rounds anew, and took the number of the earlier one for an answer to later ones.
#[test]
fn a_message_of_an_earlier_term_is_refused_without_answering_its_round() {
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
    let (to, reply) = effects.messages_after_persist.first().expect("it is told of the later term");
    let Message::AppendReply { term, round_ack, .. } = reply else { panic!("{reply:?}") };
    assert_eq!((*to, *term, round_ack.round), (3, 5, 0));
}

#[test]
fn asking_for_a_pre_vote_changes_nothing() {
    let mut raft = replica();
    let pre_vote = Message::PreVote { term: 9, last_index: 9, last_term: 9 };
    assert_eq!(answer(&mut raft, pre_vote, LATER), (Some(true), 5));
    let short = Message::PreVote { term: 9, last_index: 3, last_term: 5 };
    assert_eq!(answer(&mut raft, short, LATER), (Some(false), 5));
}

#[test]
fn a_replica_that_lost_bytes_votes_only_after_it_has_what_its_leader_had() {
    let vote = Vote { term: 5, ..Vote::default() };
    let recovered = Recovered { vote, has_lost_data: true, ..Recovered::default() };
    let mut raft = Raft::new(1, Members::from_voters([1, 2, 3]), TIMING, recovered, 1, START);
    assert_eq!(answer(&mut raft, request(6, 9, 9), LATER).0, Some(false));
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
        assert!(raft.status().recovering, "not before it is durable");
        raft.saved(LATER);
        assert_eq!(raft.status().recovering, recovering);
    }
    let late = LATER + TIMING.election_timeout;
    assert_eq!(answer(&mut raft, request(7, 6, 4), late).0, Some(true));
}

/// Guards against elections that are torn down while voters still write their votes.
#[test]
fn who_has_voted_helps_nobody_else_to_an_election_until_its_candidate_has_had_its_time() {
    let mut raft = replica();
    raft.receive(2, request(6, 5, 4), LATER);
    raft.take_effects(LATER);
    let pre_vote = || Message::PreVote { term: 7, last_index: 9, last_term: 6 };
    let is_granted = |raft: &mut Raft, now: Duration| {
        raft.receive(3, pre_vote(), now);
        let early = raft.take_effects(now).immediate_messages;
        let reply = |(_, message): &(u64, Message)| match message {
            Message::PreVoteReply { granted, .. } => Some(*granted),
            _ => None,
        };
        early.iter().find_map(reply).expect("it answers at once")
    };
    let saved_at = LATER + Duration::from_secs(2);
    assert!(!is_granted(&mut raft, saved_at), "its vote is still being written");
    raft.saved(saved_at);
    assert!(!is_granted(&mut raft, saved_at + Duration::from_secs(4)), "others write as long");
    let over = saved_at + Duration::from_secs(4) + TIMING.election_timeout * 2;
    assert!(is_granted(&mut raft, over), "the candidate has had its time");
}

/// Guards against entries that became void while they were being written, and count as durable.
#[test]
fn a_recovering_replica_does_not_count_entries_that_became_void_while_they_were_written() {
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
    assert!(raft.status().recovering, "what was written is void");
    raft.take_effects(LATER);
    raft.saved(LATER);
    assert!(raft.status().recovering, "it has two entries of four");
}
