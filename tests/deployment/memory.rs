//! What is thought resident in an engine's memory.

use kumquatpost::scheduler::memory::Memory;
use proptest::prelude::*;

use crate::fixtures::cases;

#[test]
fn a_part_that_one_leaves_unread_stays_for_others_and_is_counted_to_the_end() {
    let mut memory = Memory::new(1_000);
    memory.begin_use(1, 100);
    memory.begin_use(1, 100);
    // The first caller leaves before the part was read.
    memory.end_use(1);
    memory.forget(1);
    memory.begin_use(1, 100);
    assert_eq!(memory.in_use(), 100);
    memory.end_use(1);
    memory.end_use(1);
    assert_eq!(memory.in_use(), 0);
    memory.forget(1);
    assert!(!memory.holds(1));
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn what_is_in_use_is_what_running_prompts_use(
        steps in proptest::collection::vec((0..4u8, 0..6u64, 1..400u64), 1..200),
    ) {
        let mut memory = Memory::new(1_000);
        let mut using: Vec<u64> = Vec::new();
        for (step, key, tokens) in steps {
            match step {
                0 => {
                    memory.begin_use(key, tokens);
                    using.push(key);
                }
                1 => memory.recall(key, tokens),
                _ => {
                    let Some(ended) = using.pop() else { continue };
                    memory.end_use(ended);
                    if step == 2 {
                        memory.forget(ended);
                    }
                }
            }
            prop_assert!(using.iter().all(|key| memory.holds(*key)));
        }
        using.into_iter().for_each(|key| memory.end_use(key));
        prop_assert_eq!(memory.in_use(), 0);
    }
}
