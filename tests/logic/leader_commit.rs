//! The commit index of a leader in response to single messages.

use std::time::Duration;

use kumquatpost::log::raft::Raft;
use kumquatpost::log::{Message, RoundAck};

use crate::log_cluster::replica_in_term_5;

const START: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(200);

/// Replica 1 of three, just elected in term 6. Entries 1 to 4 are of term 5 and not known to be on any
/// other replica; entry 5 is of its own term and not durable yet.
fn leader() -> Raft {
    let mut raft = replica_in_term_5(START);
    raft.tick(LATER);
    raft.receive(2, Message::PreVoteReply { term: 6, granted: true }, LATER);
    raft.receive(2, Message::VoteReply { term: 6, granted: true }, LATER);
    assert!(raft.status().is_leader);
    let effects = raft.take_effects(LATER);
    assert_eq!(effects.persist.append.len(), 1);
    raft
}

fn acknowledge(raft: &mut Raft, from: u64, index: u64) {
    let reply = Message::AppendReply {
        term: 6,
        result: Ok(index),
        round_ack: RoundAck { start_nonce: 1, round: 1 },
    };
    raft.receive(from, reply, LATER);
}

#[test]
fn a_leader_commits_only_entries_of_its_term_that_a_quorum_has_persisted() {
    type Step = fn(&mut Raft);
    let cases: [(&str, &[Step], u64); 6] = [
        ("nothing acknowledged", &[|raft| raft.saved(LATER)], 0),
        ("one other, not durable here", &[|raft| acknowledge(raft, 2, 5)], 0),
        (
            "one other and durable here",
            &[|raft| acknowledge(raft, 2, 5), |raft| raft.saved(LATER)],
            5,
        ),
        ("both others", &[|raft| acknowledge(raft, 2, 5), |raft| acknowledge(raft, 3, 5)], 5),
        (
            "only entries of an earlier term",
            &[
                |raft| raft.saved(LATER),
                |raft| acknowledge(raft, 2, 4),
                |raft| acknowledge(raft, 3, 4),
            ],
            0,
        ),
        (
            "a node that is not a member",
            &[|raft| raft.saved(LATER), |raft| acknowledge(raft, 9, 5)],
            0,
        ),
    ];
    for (case_name, steps, commit) in cases {
        let mut raft = leader();
        for step in steps {
            step(&mut raft);
        }
        assert_eq!(raft.status().commit, commit, "{case_name}");
        assert_eq!(raft.take_effects(LATER).committed.len() as u64, commit, "{case_name}");
    }
}

#[test]
fn a_reply_with_a_higher_term_deposes_the_leader() {
    let mut raft = leader();
    raft.receive(
        2,
        Message::AppendReply {
            term: 7,
            result: Ok(5),
            round_ack: RoundAck { start_nonce: 1, round: 1 },
        },
        LATER,
    );
    assert!(!raft.status().is_leader);
    assert!(raft.propose(vec![1]).is_err());
    assert!(raft.read().is_err());
}
