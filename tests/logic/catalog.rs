//! Stored copies of prefixes: only committed copies are returned, and no pinned copy is freed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatpost::ids::BlockKey;
use kumquatpost::prefix_catalog::catalog::{PIN_DURATION, WRITE_TIMEOUT};
use kumquatpost::prefix_catalog::{
    AnsweredPrompt, Catalog, ExportOutcome, ExportPlan, NodeLocation, Position, PrefixLocation,
    owners,
};
use kumquatpost::prompt::{BLOCK_TOKENS, Chain, Owner};
use kumquatpost::upstream::api::StoredObject;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const START: Duration = Duration::from_secs(100);

fn store_fills(fill: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("store-0".to_string(), fill)])
}

/// An answered prompt that shares its first `shared` blocks with other prompts of the same root.
fn answered_prompt(root: u128, shared: u32, blocks: u32, branch: u128) -> AnsweredPrompt {
    let key = |n: u32| {
        let own = if n > shared { branch << 32 } else { 0 };
        (root << 64) | own | u128::from(n)
    };
    let positions = (1..=blocks).map(|n| Position { blocks: n, key: key(n) }).collect();
    AnsweredPrompt { root: (root << 64) | 1, positions }
}

fn completed_export(plan: &ExportPlan) -> ExportOutcome {
    let object = StoredObject {
        root: plan.root,
        key: plan.position.key,
        generation: plan.generation,
        blocks: plan.position.blocks,
        size_bytes: 1_000,
        checksum: 7,
    };
    let kept = Some(PrefixLocation { store: plan.store.clone(), object });
    ExportOutcome { root: plan.root, key: plan.position.key, generation: plan.generation, kept }
}

/// A catalog with one committed copy of 10 blocks.
fn catalog_with_one_copy() -> (Catalog, AnsweredPrompt, ExportPlan) {
    let mut catalog = Catalog::new(100, 1);
    let prompt = answered_prompt(5, 0, 10, 1);
    let plan =
        catalog.record_answer(&prompt, &store_fills(0.1), START).expect("no export was planned");
    catalog.record_export(&completed_export(&plan), START);
    (catalog, prompt, plan)
}

#[test]
fn a_copy_is_returned_only_while_it_is_committed() {
    let mut catalog = Catalog::new(100, 1);
    let prompt = answered_prompt(5, 0, 10, 1);
    assert!(catalog.lookup(prompt.root, START).is_empty(), "unknown");
    let plan =
        catalog.record_answer(&prompt, &store_fills(0.1), START).expect("no export was planned");
    assert!(catalog.lookup(prompt.root, START).is_empty(), "being written");
    let other = ExportOutcome { generation: plan.generation + 1, ..completed_export(&plan) };
    catalog.record_export(&other, START);
    assert!(catalog.lookup(prompt.root, START).is_empty(), "another generation");
    catalog.record_export(&completed_export(&plan), START);
    assert_eq!(catalog.lookup(prompt.root, START).len(), 1, "committed");

    let mut catalog = Catalog::new(100, 1);
    let plan =
        catalog.record_answer(&prompt, &store_fills(0.1), START).expect("no export was planned");
    catalog.record_export(&ExportOutcome { kept: None, ..completed_export(&plan) }, START);
    catalog.record_export(&completed_export(&plan), START);
    assert!(
        catalog.lookup(prompt.root, START).is_empty(),
        "the export failed before the late success"
    );
    let mut catalog = Catalog::new(100, 1);
    let plan =
        catalog.record_answer(&prompt, &store_fills(0.1), START).expect("no export was planned");
    catalog.free_orders(&store_fills(0.1), |_| true, START + WRITE_TIMEOUT);
    catalog.record_export(&completed_export(&plan), START + WRITE_TIMEOUT);
    assert!(
        catalog.lookup(prompt.root, START).is_empty(),
        "the export timed out before the late success"
    );
}

#[test]
fn a_copy_is_freed_only_after_its_pins_have_expired() {
    let (mut catalog, prompt, _) = catalog_with_one_copy();
    let read_at = START + Duration::from_secs(50);
    assert_eq!(catalog.lookup(prompt.root, read_at).len(), 1);
    let full = store_fills(0.95);
    assert!(
        catalog
            .free_orders(&full, |_| true, read_at + PIN_DURATION - Duration::from_millis(1))
            .is_empty(),
        "pinned"
    );
    let orders = catalog.free_orders(&full, |_| true, read_at + PIN_DURATION);
    assert_eq!(orders.len(), 1);
    assert!(catalog.lookup(prompt.root, read_at + PIN_DURATION).is_empty(), "freeing");
    assert_eq!(
        catalog.free_orders(&full, |_| true, read_at + PIN_DURATION * 2),
        orders,
        "repeated until it is freed"
    );
    catalog.record_freed(&orders[0]);
    assert!(catalog.free_orders(&full, |_| true, read_at + PIN_DURATION * 3).is_empty());
}

#[test]
fn a_new_owner_frees_nothing_while_pins_of_an_earlier_one_may_be_valid() {
    let mut catalog = Catalog::new(100, 1);
    let object =
        completed_export(&catalog_with_one_copy().2).kept.expect("the export failed").object;
    catalog.apply_inventory(&"store-0".into(), std::slice::from_ref(&object), |_| true, START);
    // Looked up on a clone, as a lookup pins the copy.
    assert_eq!(catalog.clone().lookup(object.root, START).len(), 1, "found in the inventory");
    for second in 0..PIN_DURATION.as_secs() {
        let at = START + Duration::from_secs(second);
        assert!(
            catalog.free_orders(&store_fills(0.99), |_| true, at).is_empty(),
            "after {second} s"
        );
    }
    assert_eq!(catalog.free_orders(&store_fills(0.99), |_| true, START + PIN_DURATION).len(), 1);
}

#[test]
fn copies_that_are_gone_or_owned_by_other_nodes_are_dropped() {
    let (mut catalog, prompt, plan) = catalog_with_one_copy();
    let object = completed_export(&plan).kept.expect("the export failed").object;
    let foreign = StoredObject { root: 77, ..object.clone() };
    catalog.apply_inventory(&"store-0".into(), &[object, foreign], |root| root != 77, START);
    assert_eq!(catalog.len(), 1);
    catalog.apply_inventory(&"store-0".into(), &[], |_| true, START);
    assert!(catalog.lookup(prompt.root, START).is_empty(), "the store restarted and is empty");
    let (mut catalog, prompt, _) = catalog_with_one_copy();
    catalog.drop_store(&"store-0".into());
    assert!(catalog.lookup(prompt.root, START).is_empty(), "the store was dropped");
    let (mut catalog, prompt, _) = catalog_with_one_copy();
    catalog.remove_unowned(|_| false);
    assert!(catalog.lookup(prompt.root, START).is_empty(), "another node owns it");
}

#[test]
fn an_export_needs_enough_new_blocks_and_a_store_with_room() {
    let mut catalog = Catalog::new(100, 1);
    let empty = store_fills(0.1);
    assert!(
        catalog.record_answer(&answered_prompt(1, 0, 3, 1), &empty, START).is_none(),
        "too short"
    );
    assert!(
        catalog.record_answer(&answered_prompt(2, 0, 10, 1), &BTreeMap::new(), START).is_none(),
        "no store"
    );
    assert!(
        catalog.record_answer(&answered_prompt(3, 0, 10, 1), &store_fills(0.99), START).is_none(),
        "the store is full"
    );
    let first = catalog
        .record_answer(&answered_prompt(4, 0, 20, 1), &empty, START)
        .expect("no export of the whole prompt");
    assert_eq!(first.position.blocks, 20);
    assert!(
        catalog.record_answer(&answered_prompt(4, 0, 20, 1), &empty, START).is_none(),
        "being written already"
    );
    catalog.record_export(&completed_export(&first), START);
    assert!(
        catalog.record_answer(&answered_prompt(4, 0, 24, 1), &empty, START).is_none(),
        "most of it is stored"
    );
    let longer = catalog
        .record_answer(&answered_prompt(4, 0, 40, 1), &empty, START)
        .expect("no export of the longer prompt");
    catalog.record_export(&completed_export(&longer), START);
    let kept = catalog.lookup(longer.root, START);
    assert_eq!(kept.len(), 1, "the shorter copy must be freed");
    assert_eq!(kept[0].object.blocks, 40);
    // Two prompts with a common prefix: the prefix is exported.
    let first = catalog
        .record_answer(&answered_prompt(9, 16, 18, 1), &empty, START)
        .expect("no export of the whole prompt");
    catalog.record_export(&completed_export(&first), START);
    let second = catalog
        .record_answer(&answered_prompt(9, 16, 18, 2), &empty, START)
        .expect("no export of the shared prefix");
    assert_eq!(second.position.blocks, 16);
    catalog.record_export(&completed_export(&second), START);
    assert!(
        catalog.record_answer(&answered_prompt(9, 16, 18, 3), &empty, START).is_none(),
        "the common prefix is stored already"
    );
}

#[test]
fn the_number_of_contexts_is_bounded_and_evicted_copies_are_freed() {
    let mut catalog = Catalog::new(10, 1);
    for root in 1..=30 {
        let now = START + Duration::from_secs(root as u64);
        if let Some(plan) =
            catalog.record_answer(&answered_prompt(root, 0, 8, 1), &store_fills(0.1), now)
        {
            catalog.record_export(&completed_export(&plan), now);
        }
    }
    assert_eq!(catalog.len(), 10);
    let orders = catalog.free_orders(&store_fills(0.1), |_| true, START + PIN_DURATION * 3);
    assert_eq!(orders.len(), 20, "evicted copies must be freed in the store");
}

#[test]
fn a_root_has_two_owners_in_different_domains_and_few_roots_move() {
    let locations: Vec<NodeLocation> = (1..=9)
        .map(|node| NodeLocation { node, failure_domain: format!("d{}", node % 3) })
        .collect();
    let mut moved = 0;
    for root in 0..1_000_u128 {
        let root = BlockKey::from_le_bytes(*root_bytes(root));
        let before = owners(root, &locations);
        assert_eq!(before.len(), 2);
        assert_ne!(before[0] % 3, before[1] % 3);
        let remaining_locations: Vec<NodeLocation> =
            locations.iter().filter(|location| location.node != 4).cloned().collect();
        let after = owners(root, &remaining_locations);
        if before[0] == 4 {
            moved += 1;
        } else {
            assert_eq!(before[0], after[0], "only roots of the lost node may move");
        }
    }
    assert!((60..180).contains(&moved), "about a ninth: {moved}");
    assert_eq!(owners(1, &locations[..1]).len(), 1);
    assert!(owners(1, &[]).is_empty());
}

fn root_bytes(number: u128) -> Box<[u8; 16]> {
    let owner = Owner {
        account: number.to_string(),
        model: "m".into(),
        weight_version: "v".into(),
        adapter: String::new(),
    };
    Box::new(Chain::new(&owner, &"w ".repeat(BLOCK_TOKENS)).keys[0].to_le_bytes())
}

#[test]
fn a_key_depends_on_account_model_version_and_prefix() {
    let owner = |account: &str, model: &str, version: &str| Owner {
        account: account.into(),
        model: model.into(),
        weight_version: version.into(),
        adapter: String::new(),
    };
    let long = "word ".repeat(BLOCK_TOKENS * 2);
    let key = |o: &Owner, text: &str| Chain::new(o, text).keys[0];
    let base = key(&owner("a", "m", "v1"), &long);
    assert_eq!(base, key(&owner("a", "m", "v1"), &long));
    for other in
        [owner("b", "m", "v1"), owner("a", "n", "v1"), owner("a", "m", "v2"), owner("am", "", "v1")]
    {
        assert_ne!(base, key(&other, &long), "{other:?}");
    }
    let changed = long.replacen("word", "wird", 1);
    let chains = [&long, &changed].map(|text| Chain::new(&owner("a", "m", "v1"), text).keys);
    assert_ne!(
        chains[0][1], chains[1][1],
        "the key of a block must depend on all blocks before it"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100, rng_seed: RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random schedules of answers, lookups, exports that complete late or never, and full stores.
    #[test]
    fn no_schedule_frees_a_pinned_copy_or_returns_an_incomplete_one(seed in any::<u64>()) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut catalog = Catalog::new(6, 1);
        let mut now = START;
        let mut pending_exports: Vec<ExportPlan> = Vec::new();
        let mut complete_copies: BTreeSet<(BlockKey, u64)> = BTreeSet::new();
        let mut readers: Vec<(BlockKey, u64, Duration)> = Vec::new();
        for _ in 0..300 {
            now += Duration::from_millis(random.random_range(1..8_000));
            let root = random.random_range(1..9);
            match random.random_range(0..5) {
                0 | 1 => {
                    let blocks = random.random_range(4..30);
                    let prompt = answered_prompt(root, 8, blocks, random.random_range(1..3));
                    pending_exports.extend(catalog.record_answer(&prompt, &store_fills(0.2), now));
                }
                2 if !pending_exports.is_empty() => {
                    let plan =
                        pending_exports.remove(random.random_range(0..pending_exports.len()));
                    let mut outcome = completed_export(&plan);
                    if random.random_bool(0.3) {
                        outcome.kept = None;
                    } else {
                        complete_copies.insert((plan.position.key, plan.generation));
                    }
                    catalog.record_export(&outcome, now);
                }
                3 => {
                    for kept in catalog.lookup((root << 64) | 1, now) {
                        let copy_id = (kept.object.key, kept.object.generation);
                        prop_assert!(
                            complete_copies.contains(&copy_id),
                            "returned an incomplete copy"
                        );
                        readers.push((copy_id.0, copy_id.1, now + PIN_DURATION));
                    }
                }
                _ => {
                    let fill = if random.random_bool(0.5) { 0.95 } else { 0.2 };
                    for order in catalog.free_orders(&store_fills(fill), |_| true, now) {
                        let is_pinned = readers.iter().any(|(key, generation, until)| {
                            *key == order.key && *generation == order.generation && *until > now
                        });
                        prop_assert!(!is_pinned, "freed a pinned copy");
                        if random.random_bool(0.7) {
                            complete_copies.remove(&(order.key, order.generation));
                            catalog.record_freed(&order);
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn a_second_owner_frees_nothing() {
    let (mut catalog, prompt, _) = catalog_with_one_copy();
    let after_pins = START + PIN_DURATION * 2;
    assert!(catalog.free_orders(&store_fills(0.99), |_| false, after_pins).is_empty());
    assert_eq!(catalog.lookup(prompt.root, after_pins).len(), 1);
}
