//! What is thought resident in an engine's memory.

use kumquatpost::scheduler::engine_cache::EngineCache;
use proptest::prelude::*;

use crate::fixtures::cases;

#[test]
fn a_part_that_one_leaves_unread_stays_for_others_and_is_counted_to_the_end() {
    let mut memory = EngineCache::new(1_000);
    memory.acquire(1, 100);
    memory.acquire(1, 100);
    // The first caller leaves before the part was read.
    memory.release(1);
    memory.discard(1);
    memory.acquire(1, 100);
    assert_eq!(memory.in_use_tokens(), 100);
    memory.release(1);
    memory.release(1);
    assert_eq!(memory.in_use_tokens(), 0);
    memory.discard(1);
    assert!(!memory.contains(1));
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn what_is_in_use_is_what_running_prompts_use(
        steps in proptest::collection::vec((0..4u8, 0..6u64, 1..400u64), 1..200),
    ) {
        let mut memory = EngineCache::new(1_000);
        let mut using: Vec<u64> = Vec::new();
        for (step, key, tokens) in steps {
            match step {
                0 => {
                    memory.acquire(key, tokens);
                    using.push(key);
                }
                1 => memory.insert_idle(key, tokens),
                _ => {
                    let Some(ended) = using.pop() else { continue };
                    memory.release(ended);
                    if step == 2 {
                        memory.discard(ended);
                    }
                }
            }
            prop_assert!(using.iter().all(|key| memory.contains(*key)));
        }
        using.into_iter().for_each(|key| memory.release(key));
        prop_assert_eq!(memory.in_use_tokens(), 0);
    }
}
