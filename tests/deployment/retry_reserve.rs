//! Retries that the leader grants to entries whose own budget is exhausted.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use kumquatpost::control::entry_directory::EntryProcess;
use kumquatpost::control::frames::{Handshake, SchedulerReply, SchedulerRequest, encode};
use kumquatpost::fleet::budget::{RetryBudget, RetryLimit};
use kumquatpost::fleet::retry_reserve::{ReserveContext, RetryReserve};

use crate::fixtures::ms;
use crate::replicas::ReplicaCluster;

const RETRY_LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
/// A time at which earlier processes have run for longer than a window.
const SETTLED: Duration = Duration::from_secs(60);
/// How often replicas that must not grant a retry are asked for one.
const ROUNDS_WITHOUT_GRANTS: u32 = 20;

fn service() -> String {
    "llm".to_string()
}

fn context(term: u64, is_first_service: bool, entries: u32) -> ReserveContext {
    ReserveContext { term, is_first_service, entries: Some(entries) }
}

/// The reserve of a replica that leads in term 1 since `at`.
fn reserve_since(at: Duration) -> RetryReserve {
    let mut reserve = RetryReserve::new(RETRY_LIMIT);
    reserve.begin_term(1, at);
    reserve
}

fn count_granted(reserve: &mut RetryReserve, context: ReserveContext, at: Duration) -> usize {
    (0..1_000).filter(|_| reserve.try_grant(&service(), context, at)).count()
}

/// All requests and retries at a service, with their times.
#[derive(Default)]
struct Arrivals {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl Arrivals {
    /// Makes requests at an entry and as many retries as its budget and the leader allow.
    fn spend(
        &mut self,
        budget: &mut RetryBudget,
        reserve: &mut RetryReserve,
        context: ReserveContext,
        requests: usize,
        at: Duration,
    ) {
        for _ in 0..requests {
            budget.record_request(&service(), at);
            self.requests.push(at);
        }
        let retries = (0..1_000).filter(|_| {
            budget.try_retry(&service(), at).is_granted
                || reserve.try_grant(&service(), context, at)
        });
        self.retries.extend(retries.map(|_| at));
    }

    fn assert_within_limit(&self) {
        for from in &self.retries {
            let until = *from + RETRY_LIMIT.window;
            let in_window = |times: &[Duration]| {
                times.iter().filter(|at| (*from..=until).contains(at)).count() as f64
            };
            let allowed = RETRY_LIMIT.ratio * in_window(&self.requests) + RETRY_LIMIT.slack;
            let retries = in_window(&self.retries);
            assert!(retries <= allowed, "{retries} of {allowed} in the window from {from:?}");
        }
    }
}

/// Guards against streams that break for good because their entry has just started with its system:
/// six resumable ones of 24 requests, which end with one engine.
#[test]
fn an_entry_of_a_new_system_resumes_more_streams_than_its_requests_allow() {
    let started = Duration::from_secs(1);
    let mut budget = RetryBudget::new(RETRY_LIMIT, started);
    (0..24).for_each(|_| budget.record_request(&service(), started + ms(500)));
    let mut reserve = reserve_since(started);
    let context = ReserveContext { entries: None, ..context(1, true, 1) };
    let at = started + ms(800);
    let resumed = (0..6).filter(|_| {
        budget.try_retry(&service(), at).is_granted || reserve.try_grant(&service(), context, at)
    });
    assert_eq!(resumed.count(), 6);
}

/// Guards against the same at an entry that restarts in a system that has run for long.
#[test]
fn an_entry_that_restarts_resumes_more_streams_than_its_requests_allow() {
    let mut reserve = reserve_since(Duration::ZERO);
    let mut budget = RetryBudget::new(RETRY_LIMIT, SETTLED);
    let at = SETTLED + ms(800);
    assert!(!budget.try_retry(&service(), at).is_granted);
    assert!(count_granted(&mut reserve, context(1, false, 8), at) >= 5);
}

/// Guards against more retries than the limit while entries restart again and again beside the reserve.
#[test]
fn restarting_entries_and_the_reserve_stay_within_the_retry_limit() {
    for entries in [1, 8, 40] {
        let mut arrivals = Arrivals::default();
        let mut reserve = reserve_since(Duration::ZERO);
        let context = context(1, false, entries);
        for _ in 0..entries {
            let mut budget = RetryBudget::new(RETRY_LIMIT, Duration::ZERO);
            budget.observe_entries(entries, Duration::ZERO);
            arrivals.spend(&mut budget, &mut reserve, context, 10, SETTLED);
        }
        for restart in 1..=40 {
            let at = SETTLED + ms(500) * restart;
            for _ in 0..entries {
                let mut budget = RetryBudget::new(RETRY_LIMIT, at);
                budget.observe_entries(entries, at);
                arrivals.spend(&mut budget, &mut reserve, context, 2, at + ms(400));
            }
        }
        arrivals.assert_within_limit();
    }
}

/// Guards against more retries than the limit when all entries of a new system start together and
/// restart again and again, and leaders change.
#[test]
fn entries_of_a_new_system_and_changing_leaders_stay_within_the_retry_limit() {
    for entries in [1, 8, 40] {
        let mut arrivals = Arrivals::default();
        let mut reserve = reserve_since(Duration::ZERO);
        for round in 0..30 {
            let at = ms(700) * round;
            let term = 1 + u64::from(round / 4);
            if round % 4 == 0 {
                reserve = RetryReserve::new(RETRY_LIMIT);
                reserve.begin_term(term, at);
            }
            let context = context(term, term == 1, entries);
            for _ in 0..entries {
                let mut budget = RetryBudget::new(RETRY_LIMIT, at);
                arrivals.spend(&mut budget, &mut reserve, context, 2, at + ms(300));
            }
        }
        arrivals.assert_within_limit();
    }
}

/// Guards against a new leader that grants what an earlier one has granted within the window.
#[test]
fn a_new_leader_grants_no_retry_for_a_window() {
    let mut reserve = RetryReserve::new(RETRY_LIMIT);
    assert_eq!(count_granted(&mut reserve, context(1, true, 8), SETTLED), 0, "it does not lead");
    reserve.begin_term(2, SETTLED);
    let granted_at = |reserve: &mut RetryReserve, term, after_ms| {
        count_granted(reserve, context(term, false, 8), SETTLED + ms(after_ms))
    };
    assert_eq!(granted_at(&mut reserve, 2, 9_999), 0);
    assert!(granted_at(&mut reserve, 2, 10_000) > 0);
    assert_eq!(granted_at(&mut reserve, 2, 15_000), 0, "the reserve is used up");
    assert_eq!(granted_at(&mut reserve, 3, 30_000), 0, "it does not lead in that term yet");
    assert!(granted_at(&mut reserve, 2, 30_000) > 0);
}

/// Guards against retries beyond the limit where each of very many entries may make one of its own.
#[test]
fn the_reserve_leaves_each_entry_a_retry_of_its_own() {
    for (entries, granted) in [(8, 5), (53, 3), (56, 0), (900, 0)] {
        let mut reserve = reserve_since(Duration::ZERO);
        assert_eq!(count_granted(&mut reserve, context(1, false, entries), SETTLED), granted);
    }
}

/// Asks a replica for a retry. Returns `None` if it does not answer.
fn ask_replica(core: &ReplicaCluster, host: usize) -> Option<bool> {
    let mut stream = TcpStream::connect(core.peer_address(host)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let process = EntryProcess { ip: stream.local_addr().ok()?.ip(), start: 1 };
    let handshake = encode(&Handshake::SchedulerClient { name: "entry-0".to_string(), process });
    let request = encode(&SchedulerRequest::Retry(1, service()));
    stream.write_all(&handshake).and_then(|()| stream.write_all(&request)).ok()?;
    let expected = |is_granted| encode(&SchedulerReply::Retry(1, is_granted));
    let mut reply = vec![0; expected(true).len()];
    stream.read_exact(&mut reply).ok()?;
    [true, false].into_iter().find(|is_granted| reply[..] == expected(*is_granted)[..])
}

/// Asks replicas for retries for a while, and asserts that all answer and none grants one.
fn assert_none_grants(core: &ReplicaCluster, hosts: &[usize], when: &str) {
    for _ in 0..ROUNDS_WITHOUT_GRANTS {
        for host in hosts {
            core.eventually("a replica answers", |core| match ask_replica(core, *host) {
                Some(is_granted) => {
                    assert!(!is_granted, "{when}");
                    true
                }
                None => false,
            });
        }
        std::thread::sleep(ms(20));
    }
}

/// Guards against leaders that take a running system for a new one, after a change of leader and after a
/// restart of all replicas, which read the start of their log again.
#[test]
fn only_leaders_of_a_new_system_grant_retries_at_once() {
    let mut core = ReplicaCluster::start(3);
    let mut leader = None;
    core.eventually("the first leader grants a retry", |core| {
        leader = (0..3).find(|host| ask_replica(core, *host) == Some(true));
        leader.is_some()
    });
    core.publish(1);
    core.eventually("a leader whose term began before the deployment grants retries", |core| {
        (0..3).any(|host| ask_replica(core, host) == Some(true))
    });
    let leader = leader.expect("a leader");
    core.kill(leader);
    core.publish(2);
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    assert_none_grants(&core, &others, "after a change of leader");
    others.iter().for_each(|host| core.kill(*host));
    (0..3).for_each(|host| core.start_replica(host, false));
    core.publish(3);
    assert_none_grants(&core, &[0, 1, 2], "after a restart of all replicas");
}
