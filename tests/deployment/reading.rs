//! Which replica reads the platform's list, and how soon after the leader can't.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquatpost::control::frames::{Handshake, ReplicaFrame, VersionedRoster, read};
use kumquatpost::control::links::Links;
use kumquatpost::control::reader_election::{
    PAGE_TIMEOUT, POLL_INTERVAL, READ_INTERVAL, ReaderElection, SLOW_PAGE_TIMEOUT,
};
use kumquatpost::control::roster_reader::{self, TargetListSource};
use kumquatpost::control::state::ControlState;
use kumquatpost::telemetry::deployment_metrics::ReplicaMetrics;
use tokio::io::BufReader;
use tokio::net::TcpListener;

use crate::asking::shared;
use crate::fixtures::{loopback, ms};
use crate::gateway::run_local;

/// Between moments at which the list shows something new.
const STEP: Duration = Duration::from_millis(10);

/// When the replicas' reads begin that succeed, if the leader's first is its last: at the leader, and at
/// the one other that looks `phase` after it starts and has this place among the others, of which `before` are
/// asked before it and don't read.
fn reads(
    answer: Duration,
    (place, before): (f64, usize),
    phase: Duration,
    does_ask: bool,
) -> Vec<Duration> {
    let mut begun = vec![ms(0)];
    let mut turn = ReaderElection::new(ms(0));
    let asks = |from: Duration, lasts: Duration| {
        (lasts > SLOW_PAGE_TIMEOUT).then_some(from + SLOW_PAGE_TIMEOUT)
    };
    let mut asked: Vec<Duration> = asks(ms(0), answer).into_iter().collect();
    let mut next = answer + READ_INTERVAL;
    while next < ms(6_000) {
        asked.extend(asks(next, PAGE_TIMEOUT));
        next += PAGE_TIMEOUT + READ_INTERVAL;
    }
    let (mut now, mut reading, mut free_at) = (phase, None, ms(0));
    while now < ms(6_000) {
        if does_ask && asked.iter().any(|at| *at <= now && now < *at + POLL_INTERVAL) {
            turn.record_request(now);
        }
        // The leader tells of its only read that has succeeded.
        if now >= answer && now < answer + POLL_INTERVAL {
            turn.record_read(ms(0));
        }
        if let Some(from) = reading.filter(|from| now >= *from + answer) {
            turn.record_read(from);
            (reading, free_at) = (None, now + READ_INTERVAL);
        }
        if reading.is_none()
            && now >= free_at
            && now >= turn.takeover_at(place, before, READ_INTERVAL)
        {
            reading = Some(now);
            begun.push(now);
        }
        now += POLL_INTERVAL;
    }
    begun
}

/// The longest time from the moment at which the list shows something new to the end of the first read
/// that sees it, over all moments, slow and fast answers, and places of the replica that reads.
fn longest_unknown(before: usize, does_ask: bool) -> Duration {
    let mut longest = ms(0);
    for answer in [ms(5), ms(340), ms(690)] {
        for place in [0.0, 0.5, 1.0] {
            for phase in (0..50).step_by(10).map(ms) {
                let begun = reads(answer, (place, before), phase, does_ask);
                let mut shown = ms(0);
                while shown < ms(3_000) {
                    let seen = begun.iter().find(|from| **from > shown).expect("one reads again");
                    longest = longest.max(*seen + answer - shown);
                    shown += STEP;
                }
            }
        }
    }
    longest
}

#[test]
fn what_the_list_shows_is_known_in_time_though_the_leader_cannot_reach_it() {
    for before in 0..4 {
        // From the third on, it is read sooner since nobody has for long.
        let most = if before < 2 { ms(2_150) } else { ms(2_600) };
        let longest = longest_unknown(before, true);
        assert!(longest <= most, "{longest:?} with {before} before it");
    }
}

#[test]
fn what_the_list_shows_is_known_in_time_though_the_leader_falls_silent() {
    let longest = longest_unknown(0, false);
    assert!(longest <= ms(2_600), "{longest:?}");
}

/// How often five replicas read in this time, the leader among them, if each page takes so long.
fn reads_of_all(answer: Duration, within: Duration) -> usize {
    const OTHERS: usize = 4;
    let mut turns = [ReaderElection::new(ms(0)); OTHERS];
    // Who reads since when, and who may again from when; the leader is the last.
    let (mut reading, mut free_at) = ([None; OTHERS + 1], [ms(0); OTHERS + 1]);
    let (mut asks_again_at, mut count, mut now) = (ms(0), 0, ms(0));
    while now < within {
        for replica in 0..=OTHERS {
            let is_leader = replica == OTHERS;
            if let Some(from) = reading[replica] {
                if is_leader && now >= from + SLOW_PAGE_TIMEOUT && now >= asks_again_at {
                    asks_again_at = now + READ_INTERVAL;
                    turns.iter_mut().for_each(|turn| turn.record_request(now));
                }
                if now >= from + answer {
                    turns.iter_mut().for_each(|turn| turn.record_read(from));
                    (reading[replica], free_at[replica]) = (None, now + READ_INTERVAL);
                }
            } else if now >= free_at[replica] {
                let place = replica as f64 / OTHERS as f64;
                let is_due =
                    |turn: &ReaderElection| now >= turn.takeover_at(place, replica, READ_INTERVAL);
                if is_leader || is_due(&turns[replica]) {
                    reading[replica] = Some(now);
                    count += 1;
                }
            }
        }
        now += STEP;
    }
    count
}

#[test]
fn a_list_that_is_merely_slow_is_not_read_by_all_replicas_at_once() {
    for answer in [ms(5), ms(340), ms(360), ms(500), ms(690)] {
        let count = reads_of_all(answer, Duration::from_secs(60));
        assert!(count <= 180, "{count} reads a minute, of {answer:?} each");
    }
}

#[test]
fn a_read_that_began_before_it_was_asked_for_does_not_do() {
    let mut turn = ReaderElection::new(ms(0));
    turn.record_request(ms(500));
    turn.record_read(ms(400));
    assert_eq!(turn.takeover_at(0.0, 0, READ_INTERVAL), ms(500));
    turn.record_read(ms(501));
    assert!(turn.takeover_at(0.0, 0, READ_INTERVAL) > ms(1_500));
}

/// Long enough on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// A leader whose list is at this address asks another replica to read.
async fn asks_for(list: SocketAddr, port: u16) {
    let (own, other) = (loopback(1), loopback(2));
    let listener = TcpListener::bind((other, port)).await.expect("a port");
    let mut leader = shared(4, VersionedRoster::default());
    leader.links = Rc::new(Links::new(1, own, "hall".into(), port));
    leader
        .view
        .send_modify(|view| view.state = ControlState::bootstrap([(1, own), (2, other)].into()));
    let list = TargetListSource { address: list, rate_per_s: 44.0 };
    let metrics = Rc::new(ReplicaMetrics::new().expect("instruments"));
    tokio::task::spawn_local(roster_reader::run(Rc::new(leader), own, list, metrics));
    let connected = tokio::time::timeout(PATIENCE, listener.accept()).await;
    let (stream, _) = connected.expect("somebody is asked").expect("it connects");
    let mut frames = BufReader::new(stream);
    let _: Handshake = read(&mut frames).await.expect("who it is");
    let frame: ReplicaFrame = read(&mut frames).await.expect("a frame");
    assert_eq!(frame, ReplicaFrame::TargetListReadFailed);
}

#[test]
fn a_leader_that_cannot_reach_the_list_asks_others_to_read_it() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let silent = listener.local_addr().expect("an address");
        // Never answers.
        asks_for(silent, 7_741).await;
        drop(listener);
        // Refuses.
        asks_for(silent, 7_742).await;
    });
}
