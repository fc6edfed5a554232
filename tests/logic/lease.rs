//! Freshness leases: a fresh node has applied the number in force.

use std::time::Duration;

use kumquatpost::lease::{HeldLease, LeaseGrantor};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const LEASE_DURATION: Duration = Duration::from_secs(3);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn a_lease_counts_from_when_the_renewal_was_sent() {
    let mut holder = HeldLease::default();
    assert!(!holder.is_fresh(ms(0)));
    // Sent at 1 s and granted for 3 s, so it expires before 4 s whenever the answer arrives.
    holder.extend(ms(1_000), LEASE_DURATION);
    assert!(holder.is_fresh(ms(2_500)));
    assert!(!holder.is_fresh(ms(4_000)), "expired");
    // A delayed answer to an earlier renewal must not shorten the lease.
    holder.extend(ms(500), LEASE_DURATION);
    assert!(holder.is_fresh(ms(3_900)));
}

#[test]
fn a_renewal_is_expected_for_two_lease_durations_after_the_last_lease() {
    let mut holder = HeldLease::default();
    holder.extend(ms(1_000), LEASE_DURATION);
    let expires_at = ms(1_000) + holder.remaining(ms(1_000));
    assert_eq!(holder.renewal_expected_until(LEASE_DURATION), expires_at + LEASE_DURATION * 2);
}

#[test]
fn a_new_grantor_assumes_a_full_lease_outstanding_everywhere() {
    let grantor = LeaseGrantor::new(LEASE_DURATION, ms(1_000));
    assert_eq!(grantor.min_acked(9, ms(3_999)), 0);
    assert_eq!(grantor.min_acked(9, ms(4_000)), 9);
}

#[test]
fn a_number_is_in_force_when_older_leases_have_acknowledged_or_expired() {
    let mut grantor = LeaseGrantor::new(LEASE_DURATION, ms(0));
    grantor.grant(1, 7, LEASE_DURATION, ms(10_000));
    grantor.grant(2, 8, LEASE_DURATION, ms(10_000));
    assert_eq!(grantor.min_acked(8, ms(10_001)), 7);
    grantor.grant(1, 8, LEASE_DURATION, ms(11_000));
    assert_eq!(grantor.min_acked(8, ms(11_001)), 8, "acknowledged");
    grantor.grant(3, 5, LEASE_DURATION, ms(12_000));
    assert_eq!(grantor.min_acked(8, ms(14_999)), 5);
    assert_eq!(grantor.min_acked(8, ms(15_000)), 8, "expired");
}

#[test]
fn a_grantor_without_a_lease_grants_none() {
    let mut grantor = LeaseGrantor::new(LEASE_DURATION, ms(0));
    assert_eq!(grantor.grant(1, 7, Duration::ZERO, ms(10_000)), Duration::ZERO);
    assert_eq!(
        grantor.grant(1, 7, ms(400), ms(10_000)),
        ms(400),
        "never longer than the grantor's own lease"
    );
    assert_eq!(grantor.children(ms(10_399)).count(), 1);
    assert_eq!(grantor.children(ms(10_400)).count(), 0);
}

/// A node in a tree of leases, with its own clock.
struct Node {
    holder: HeldLease,
    grantor: LeaseGrantor,
    number: u64,
    clock_rate: f64,
}

impl Node {
    fn new(clock_rate: f64, now: Duration) -> Node {
        let grantor = LeaseGrantor::new(LEASE_DURATION, now.mul_f64(clock_rate));
        Node { holder: HeldLease::default(), grantor, number: 0, clock_rate }
    }

    fn local_time(&self, now: Duration) -> Duration {
        now.mul_f64(self.clock_rate)
    }

    fn is_fresh(&self, now: Duration) -> bool {
        self.holder.is_fresh(self.local_time(now))
    }
}

/// A renewal in flight. `sent_at` is on the child's clock, `arrives_at` on the global clock.
struct Renewal {
    child: usize,
    parent: usize,
    sent_at: Duration,
    acked: u64,
    arrives_at: Duration,
}

/// A granted lease in flight; `sent_at` is that of its renewal.
struct Grant {
    child: usize,
    sent_at: Duration,
    lease_duration: Duration,
    number: u64,
    arrives_at: Duration,
}

/// Runs a random schedule. Node 0 is the leader, 1 and 2 are relays; the others renew at any of these.
fn run_lease_tree(seed: u64, steps: usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = ms(100_000);
    let mut nodes: Vec<Node> =
        (0..8).map(|_| Node::new(1.0 + random.random_range(-0.009..0.009), now)).collect();
    let (mut renewals, mut grants): (Vec<Renewal>, Vec<Grant>) = (Vec::new(), Vec::new());
    let mut newest = 1;
    for _ in 0..steps {
        now += ms(random.random_range(1..200));
        if random.random_bool(0.05) {
            newest += 1;
        }
        nodes[0].number = newest;
        if random.random_bool(0.03) {
            let restarted = random.random_range(1..nodes.len());
            nodes[restarted] = Node::new(nodes[restarted].clock_rate, now);
            renewals.retain(|renewal| renewal.child != restarted);
            grants.retain(|grant| grant.child != restarted);
        }
        let child = random.random_range(1..nodes.len());
        let parent = if child <= 2 { 0 } else { random.random_range(0..=2) };
        let sent_at = nodes[child].local_time(now);
        let acked = nodes[child].grantor.min_acked(nodes[child].number, sent_at);
        let delay = |random: &mut SmallRng| ms(random.random_range(1..2_500));
        if random.random_bool(0.8) {
            let arrives_at = now + delay(&mut random);
            renewals.push(Renewal { child, parent, sent_at, acked, arrives_at });
        }
        let (due, later) = renewals.into_iter().partition(|renewal| renewal.arrives_at <= now);
        renewals = later;
        for Renewal { child, parent, sent_at, acked, .. } in due {
            let local_time = nodes[parent].local_time(now);
            let own = if parent == 0 {
                LEASE_DURATION
            } else {
                nodes[parent].holder.remaining(local_time)
            };
            let number = nodes[parent].number;
            let lease_duration = nodes[parent].grantor.grant(child as u64, acked, own, local_time);
            if !lease_duration.is_zero() && random.random_bool(0.9) {
                let arrives_at = now + delay(&mut random);
                grants.push(Grant { child, sent_at, lease_duration, number, arrives_at });
            }
        }
        let (due, later) = grants.into_iter().partition(|grant| grant.arrives_at <= now);
        grants = later;
        for Grant { child, sent_at, lease_duration, number, .. } in due {
            let node = &mut nodes[child];
            // Like a node: ignores an older number, and applies the number before the lease.
            if number >= node.number {
                node.number = number;
                node.holder.extend(sent_at, lease_duration);
            }
        }
        let local_time = nodes[0].local_time(now);
        let in_force = nodes[0].grantor.min_acked(newest, local_time);
        for (id, node) in nodes.iter().enumerate().skip(1) {
            assert!(
                !node.is_fresh(now) || node.number >= in_force,
                "node {id} is fresh with {} while {in_force} is in force (seed {seed})",
                node.number
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_fresh_node_is_behind_the_number_in_force(seed in any::<u64>()) {
        run_lease_tree(seed, 400);
    }
}
