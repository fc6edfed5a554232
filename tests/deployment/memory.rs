//! The scheduler's model of which parts an engine holds in its cache.

use kumquatpost::scheduler::engine_cache::EngineCache;
use proptest::prelude::*;

use crate::fixtures::cases;

#[test]
fn discarding_a_shared_part_keeps_it_until_its_last_user_releases_it() {
    let mut cache = EngineCache::new(1_000);
    cache.acquire(1, 100);
    cache.acquire(1, 100);
    // The first caller disconnects before the part is computed.
    cache.release(1);
    cache.discard(1);
    cache.acquire(1, 100);
    assert_eq!(cache.in_use_tokens(), 100);
    cache.release(1);
    cache.release(1);
    assert_eq!(cache.in_use_tokens(), 0);
    cache.discard(1);
    assert!(!cache.contains(1));
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn tokens_in_use_are_those_of_running_prompts(
        steps in proptest::collection::vec((0..4u8, 0..6u64, 1..400u64), 1..200),
    ) {
        let mut cache = EngineCache::new(1_000);
        let mut acquired: Vec<u64> = Vec::new();
        for (step, key, tokens) in steps {
            match step {
                0 => {
                    cache.acquire(key, tokens);
                    acquired.push(key);
                }
                1 => cache.insert_idle(key, tokens),
                _ => {
                    let Some(released) = acquired.pop() else { continue };
                    cache.release(released);
                    if step == 2 {
                        cache.discard(released);
                    }
                }
            }
            prop_assert!(acquired.iter().all(|key| cache.contains(*key)));
        }
        acquired.into_iter().for_each(|key| cache.release(key));
        prop_assert_eq!(cache.in_use_tokens(), 0);
    }
}
