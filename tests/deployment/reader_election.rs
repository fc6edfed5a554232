//! Which replica reads the platform's target list, and how soon others take over from the leader.

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

use crate::fixtures::{loopback, ms};
use crate::gateway::run_local;
use crate::scheduler_service::leader_state;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Simulates a leader whose reads fail after the first one, and one other replica. Returns when the
/// successful reads of both begin.
///
/// `jitter` and `rank` are those of the other replica; the replicas of lower rank do not read. It
/// checks for the first time at `phase`. `sends_requests` is whether the leader asks others to
/// read.
fn simulate_reads(
    read_duration: Duration,
    (jitter, rank): (f64, usize),
    phase: Duration,
    sends_requests: bool,
) -> Vec<Duration> {
    let mut read_times = vec![ms(0)];
    let mut election = ReaderElection::new(ms(0));
    let slow_page_at = |from: Duration, lasts: Duration| {
        (lasts > SLOW_PAGE_TIMEOUT).then_some(from + SLOW_PAGE_TIMEOUT)
    };
    let mut requests: Vec<Duration> = slow_page_at(ms(0), read_duration).into_iter().collect();
    let mut leader_read_at = read_duration + READ_INTERVAL;
    while leader_read_at < ms(6_000) {
        requests.extend(slow_page_at(leader_read_at, PAGE_TIMEOUT));
        leader_read_at += PAGE_TIMEOUT + READ_INTERVAL;
    }
    let (mut now, mut read_began, mut next_read_at) = (phase, None, ms(0));
    while now < ms(6_000) {
        if sends_requests && requests.iter().any(|at| *at <= now && now < *at + POLL_INTERVAL) {
            election.record_request(now);
        }
        // The leader reports its only successful read.
        if now >= read_duration && now < read_duration + POLL_INTERVAL {
            election.record_read(ms(0));
        }
        if let Some(from) = read_began.filter(|from| now >= *from + read_duration) {
            election.record_read(from);
            (read_began, next_read_at) = (None, now + READ_INTERVAL);
        }
        if read_began.is_none()
            && now >= next_read_at
            && now >= election.takeover_at(jitter, rank, READ_INTERVAL)
        {
            read_began = Some(now);
            read_times.push(now);
        }
        now += POLL_INTERVAL;
    }
    read_times
}

/// The longest time from a change of the list to the end of the first read that shows it, over all
/// times of the change, durations of reads, jitters and phases.
fn longest_detection_delay(rank: usize, sends_requests: bool) -> Duration {
    let mut longest = ms(0);
    for read_duration in [ms(5), ms(340), ms(690)] {
        for jitter in [0.0, 0.5, 1.0] {
            for phase in (0..50).step_by(10).map(ms) {
                let read_times =
                    simulate_reads(read_duration, (jitter, rank), phase, sends_requests);
                let mut changed_at = ms(0);
                while changed_at < ms(3_000) {
                    let seen =
                        read_times.iter().find(|from| **from > changed_at).expect("a later read");
                    longest = longest.max(*seen + read_duration - changed_at);
                    changed_at += STEP;
                }
            }
        }
    }
    longest
}

#[test]
fn changes_are_detected_in_time_when_the_leader_cannot_read_the_list() {
    for rank in 0..4 {
        // From rank 2 on, the takeover timeout may expire before the replica's turn on request.
        let limit = if rank < 2 { ms(2_150) } else { ms(2_600) };
        let longest = longest_detection_delay(rank, true);
        assert!(longest <= limit, "{longest:?} at rank {rank}");
    }
}

#[test]
fn changes_are_detected_in_time_when_the_leader_is_silent() {
    let longest = longest_detection_delay(0, false);
    assert!(longest <= ms(2_600), "{longest:?}");
}

/// Simulates a leader and four other replicas that all reach the list, and returns how often they
/// read `within` that time.
fn count_reads(read_duration: Duration, within: Duration) -> usize {
    const OTHERS: usize = 4;
    let mut elections = [ReaderElection::new(ms(0)); OTHERS];
    // When each current read began, and when each replica may read next. The leader is the last.
    let (mut read_began, mut next_read_at) = ([None; OTHERS + 1], [ms(0); OTHERS + 1]);
    let (mut next_request_at, mut count, mut now) = (ms(0), 0, ms(0));
    while now < within {
        for replica in 0..=OTHERS {
            let is_leader = replica == OTHERS;
            if let Some(from) = read_began[replica] {
                if is_leader && now >= from + SLOW_PAGE_TIMEOUT && now >= next_request_at {
                    next_request_at = now + READ_INTERVAL;
                    elections.iter_mut().for_each(|election| election.record_request(now));
                }
                if now >= from + read_duration {
                    elections.iter_mut().for_each(|election| election.record_read(from));
                    (read_began[replica], next_read_at[replica]) = (None, now + READ_INTERVAL);
                }
            } else if now >= next_read_at[replica] {
                let jitter = replica as f64 / OTHERS as f64;
                let is_due = |election: &ReaderElection| {
                    now >= election.takeover_at(jitter, replica, READ_INTERVAL)
                };
                if is_leader || is_due(&elections[replica]) {
                    read_began[replica] = Some(now);
                    count += 1;
                }
            }
        }
        now += STEP;
    }
    count
}

#[test]
fn a_slow_list_is_not_read_by_all_replicas_at_once() {
    for read_duration in [ms(5), ms(340), ms(360), ms(500), ms(690)] {
        let count = count_reads(read_duration, Duration::from_secs(60));
        assert!(count <= 180, "{count} reads per minute of {read_duration:?} each");
    }
}

#[test]
fn a_read_that_began_before_a_request_does_not_answer_it() {
    let mut election = ReaderElection::new(ms(0));
    election.record_request(ms(500));
    election.record_read(ms(400));
    assert_eq!(election.takeover_at(0.0, 0, READ_INTERVAL), ms(500));
    election.record_read(ms(501));
    assert!(election.takeover_at(0.0, 0, READ_INTERVAL) > ms(1_500));
}

const TIMEOUT: Duration = Duration::from_secs(30);

/// Checks that a leader that cannot read the list at this address asks another replica to read it.
async fn assert_read_requested(list: SocketAddr, port: u16) {
    let (own, other) = (loopback(1), loopback(2));
    let listener = TcpListener::bind((other, port)).await.expect("bind the listener");
    let mut leader = leader_state(4, VersionedRoster::default());
    leader.links = Rc::new(Links::new(1, own, "hall".into(), port));
    leader
        .view
        .send_modify(|view| view.state = ControlState::bootstrap([(1, own), (2, other)].into()));
    let list = TargetListSource { address: list, rate_per_s: 44.0 };
    let metrics = Rc::new(ReplicaMetrics::new().expect("instruments"));
    tokio::task::spawn_local(roster_reader::run(Rc::new(leader), own, list, metrics));
    let connected = tokio::time::timeout(TIMEOUT, listener.accept()).await;
    let (stream, _) =
        connected.expect("a connection within the timeout").expect("accept the leader");
    let mut frames = BufReader::new(stream);
    let _: Handshake = read(&mut frames).await.expect("read the handshake");
    let frame: ReplicaFrame = read(&mut frames).await.expect("read a frame");
    assert_eq!(frame, ReplicaFrame::TargetListReadFailed);
}

#[test]
fn a_leader_that_cannot_reach_the_list_asks_others_to_read_it() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind the listener");
        let list = listener.local_addr().expect("local address");
        // The listener accepts connections and never answers.
        assert_read_requested(list, 7_741).await;
        drop(listener);
        // Connections are refused.
        assert_read_requested(list, 7_742).await;
    });
}
