//! Shares of an account's limit: they follow the demand, and their sum never exceeds the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatpost::limits::shares::{ShareAllocator, ShareRequest, base_share};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const LEASE_DURATION: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);

fn share_request(demand: u32, limit: u32) -> ShareRequest {
    ShareRequest { account: "anna".into(), demand, limit, nodes: 8 }
}

#[test]
fn shares_follow_demand() {
    let cases = [
        ("a single node with high demand", vec![(1, 100)], vec![50]),
        ("little demand", vec![(1, 5)], vec![5]),
        ("no demand", vec![(1, 0)], vec![2]),
        ("two nodes with equal demand", vec![(1, 20), (2, 20)], vec![20, 20]),
    ];
    for (case_name, requests, expected) in cases {
        let mut shares = ShareAllocator::new(LEASE_DURATION);
        let shares_granted: Vec<u32> = requests
            .iter()
            .map(|(node, d)| shares.grant(*node, &share_request(*d, 64), NOW).share)
            .collect();
        assert_eq!(shares_granted, expected, "{case_name}");
    }
    // A node that was granted all that was available returns part of it when it renews.
    let mut shares = ShareAllocator::new(LEASE_DURATION);
    assert_eq!(shares.grant(1, &share_request(100, 64), NOW).share, 50);
    assert_eq!(
        shares.grant(2, &share_request(100, 64), NOW).share,
        2,
        "only the base share until node 1 renews"
    );
    assert_eq!(
        shares.grant(1, &share_request(100, 64), NOW).share,
        26,
        "half of the limit without the base shares of the other nodes"
    );
    let later = NOW + LEASE_DURATION;
    shares.grant(1, &share_request(100, 64), later - Duration::from_millis(1));
    assert_eq!(shares.grant(2, &share_request(100, 64), later).share, 26);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(5), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that together use more than the limit while grants are lost or expire.
    #[test]
    fn shares_of_all_nodes_never_exceed_the_limit(seed in any::<u64>(), limit in 8_u32..100) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut shares = ShareAllocator::new(LEASE_DURATION);
        let mut now = NOW;
        // The last share that each node received, and when it expires.
        let mut usage: BTreeMap<u64, (u32, Duration)> = BTreeMap::new();
        for _ in 0..200 {
            now += Duration::from_millis(random.random_range(0..1_500));
            let node = random.random_range(1..=8);
            let request =
                ShareRequest { demand: random.random_range(0..120), ..share_request(0, limit) };
            let grant = shares.grant(node, &request, now);
            if random.random_bool(0.7) {
                usage.insert(node, (grant.share, now + grant.lasts));
            }
            let total: u32 = (1..=8)
                .map(|node| match usage.get(&node) {
                    Some((share, expires_at)) if *expires_at > now => *share,
                    _ => base_share(limit, 8),
                })
                .sum();
            prop_assert!(total <= limit, "{total} of {limit}");
        }
    }
}
