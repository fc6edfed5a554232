//! Kept copies: only committed ones are handed out, and none is freed under a reader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatpost::ids::BlockKey;
use kumquatpost::prompt::{BLOCK_TOKENS, Chain, Owner};
use kumquatpost::upstream::api::StoredObject;
use kumquatpost::whereabouts::catalog::{PIN, WRITE_TIMEOUT};
use kumquatpost::whereabouts::{
    Catalog, ExportPlan, Kept, NodePlace, Position, Seen, Written, owners,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const START: Duration = Duration::from_secs(100);

fn fills(fill: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("store-0".to_string(), fill)])
}

/// Positions of a chain that shares its first `shared` blocks with others of the same root.
fn seen(root: u128, shared: u32, blocks: u32, branch: u128) -> Seen {
    let key = |n: u32| {
        let own = if n > shared { branch << 32 } else { 0 };
        (root << 64) | own | u128::from(n)
    };
    let positions = (1..=blocks).map(|n| Position { blocks: n, key: key(n) }).collect();
    Seen { root: (root << 64) | 1, positions }
}

fn done(plan: &ExportPlan) -> Written {
    let object = StoredObject {
        root: plan.root,
        key: plan.position.key,
        generation: plan.generation,
        blocks: plan.position.blocks,
        size_bytes: 1_000,
        checksum: 7,
    };
    let kept = Some(Kept { store: plan.store.clone(), object });
    Written { root: plan.root, key: plan.position.key, generation: plan.generation, kept }
}

/// A catalog in which one context of 10 blocks is kept.
fn with_one() -> (Catalog, Seen, ExportPlan) {
    let mut catalog = Catalog::new(100, 1);
    let seen = seen(5, 0, 10, 1);
    let plan = catalog.seen(&seen, &fills(0.1), START).expect("worth an export");
    catalog.written(&done(&plan), START);
    (catalog, seen, plan)
}

#[test]
fn a_copy_is_handed_out_only_while_it_is_committed() {
    let mut catalog = Catalog::new(100, 1);
    let seen = seen(5, 0, 10, 1);
    assert!(catalog.lookup(seen.root, START).is_empty(), "unknown");
    let plan = catalog.seen(&seen, &fills(0.1), START).expect("worth an export");
    assert!(catalog.lookup(seen.root, START).is_empty(), "being written");
    let other = Written { generation: plan.generation + 1, ..done(&plan) };
    catalog.written(&other, START);
    assert!(catalog.lookup(seen.root, START).is_empty(), "another generation");
    catalog.written(&done(&plan), START);
    assert_eq!(catalog.lookup(seen.root, START).len(), 1, "committed");

    let mut catalog = Catalog::new(100, 1);
    let plan = catalog.seen(&seen, &fills(0.1), START).expect("worth an export");
    catalog.written(&Written { kept: None, ..done(&plan) }, START);
    catalog.written(&done(&plan), START);
    assert!(catalog.lookup(seen.root, START).is_empty(), "failed, whatever comes late");
    let mut catalog = Catalog::new(100, 1);
    let plan = catalog.seen(&seen, &fills(0.1), START).expect("worth an export");
    catalog.tick(&fills(0.1), |_| true, START + WRITE_TIMEOUT);
    catalog.written(&done(&plan), START + WRITE_TIMEOUT);
    assert!(catalog.lookup(seen.root, START).is_empty(), "given up, whatever comes late");
}

#[test]
fn a_copy_is_freed_only_when_its_pins_have_run_out() {
    let (mut catalog, seen, _) = with_one();
    let read_at = START + Duration::from_secs(50);
    assert_eq!(catalog.lookup(seen.root, read_at).len(), 1);
    let full = fills(0.95);
    assert!(
        catalog.tick(&full, |_| true, read_at + PIN - Duration::from_millis(1)).is_empty(),
        "pinned"
    );
    let orders = catalog.tick(&full, |_| true, read_at + PIN);
    assert_eq!(orders.len(), 1);
    assert!(catalog.lookup(seen.root, read_at + PIN).is_empty(), "freeing");
    assert_eq!(catalog.tick(&full, |_| true, read_at + PIN * 2), orders, "again until it is freed");
    catalog.freed(&orders[0]);
    assert!(catalog.tick(&full, |_| true, read_at + PIN * 3).is_empty());
}

#[test]
fn a_new_owner_frees_nothing_while_pins_of_an_earlier_one_may_last() {
    let mut catalog = Catalog::new(100, 1);
    let object = done(&with_one().2).kept.expect("kept").object;
    catalog.rebuild(&"store-0".into(), std::slice::from_ref(&object), |_| true, START);
    // On a copy, since a lookup pins.
    assert_eq!(catalog.clone().lookup(object.root, START).len(), 1, "found in the inventory");
    for second in 0..PIN.as_secs() {
        let at = START + Duration::from_secs(second);
        assert!(catalog.tick(&fills(0.99), |_| true, at).is_empty(), "after {second} s");
    }
    assert_eq!(catalog.tick(&fills(0.99), |_| true, START + PIN).len(), 1);
}

#[test]
fn an_inventory_tells_what_is_gone_and_what_belongs_to_others() {
    let (mut catalog, seen, plan) = with_one();
    let object = done(&plan).kept.expect("kept").object;
    let foreign = StoredObject { root: 77, ..object.clone() };
    catalog.rebuild(&"store-0".into(), &[object, foreign], |root| root != 77, START);
    assert_eq!(catalog.len(), 1);
    catalog.rebuild(&"store-0".into(), &[], |_| true, START);
    assert!(catalog.lookup(seen.root, START).is_empty(), "the store started again, empty");
    let (mut catalog, seen, _) = with_one();
    catalog.drop_store(&"store-0".into());
    assert!(catalog.lookup(seen.root, START).is_empty(), "the store died");
    let (mut catalog, seen, _) = with_one();
    catalog.hand_over(|_| false);
    assert!(catalog.lookup(seen.root, START).is_empty(), "another node owns it");
}

#[test]
fn what_is_worth_an_export() {
    let mut catalog = Catalog::new(100, 1);
    let empty = fills(0.1);
    assert!(catalog.seen(&seen(1, 0, 3, 1), &empty, START).is_none(), "too short");
    assert!(catalog.seen(&seen(2, 0, 10, 1), &BTreeMap::new(), START).is_none(), "no store");
    assert!(catalog.seen(&seen(3, 0, 10, 1), &fills(0.99), START).is_none(), "the store is full");
    let first = catalog.seen(&seen(4, 0, 20, 1), &empty, START).expect("all of it");
    assert_eq!(first.position.blocks, 20);
    assert!(catalog.seen(&seen(4, 0, 20, 1), &empty, START).is_none(), "being written already");
    catalog.written(&done(&first), START);
    assert!(catalog.seen(&seen(4, 0, 24, 1), &empty, START).is_none(), "most of it is kept");
    let longer = catalog.seen(&seen(4, 0, 40, 1), &empty, START).expect("it has grown");
    catalog.written(&done(&longer), START);
    let kept = catalog.lookup(longer.root, START);
    assert_eq!(kept.len(), 1, "the shorter one is freed");
    assert_eq!(kept[0].object.blocks, 40);
    // Two continuations of one guideline set: what they share is kept.
    let first = catalog.seen(&seen(9, 16, 18, 1), &empty, START).expect("all of it");
    catalog.written(&done(&first), START);
    let second = catalog.seen(&seen(9, 16, 18, 2), &empty, START).expect("the shared beginning");
    assert_eq!(second.position.blocks, 16);
    catalog.written(&done(&second), START);
    assert!(catalog.seen(&seen(9, 16, 18, 3), &empty, START).is_none(), "covered for all");
}

#[test]
fn the_number_of_contexts_is_bounded_and_what_is_forgotten_is_freed() {
    let mut catalog = Catalog::new(10, 1);
    for root in 1..=30 {
        let now = START + Duration::from_secs(root as u64);
        if let Some(plan) = catalog.seen(&seen(root, 0, 8, 1), &fills(0.1), now) {
            catalog.written(&done(&plan), now);
        }
    }
    assert_eq!(catalog.len(), 10);
    let orders = catalog.tick(&fills(0.1), |_| true, START + PIN * 3);
    assert_eq!(orders.len(), 20, "no room is lost in the store");
}

#[test]
fn owners_are_two_in_different_domains_and_move_little() {
    let places: Vec<NodePlace> =
        (1..=9).map(|node| NodePlace { node, failure_domain: format!("d{}", node % 3) }).collect();
    let mut moved = 0;
    for root in 0..1_000_u128 {
        let root = BlockKey::from_le_bytes(*blake3_16(root));
        let before = owners(root, &places);
        assert_eq!(before.len(), 2);
        assert_ne!(before[0] % 3, before[1] % 3);
        let without: Vec<NodePlace> = places.iter().filter(|p| p.node != 4).cloned().collect();
        let after = owners(root, &without);
        if before[0] == 4 {
            moved += 1;
        } else {
            assert_eq!(before[0], after[0], "only the lost node's contexts move");
        }
    }
    assert!((60..180).contains(&moved), "about a ninth: {moved}");
    assert_eq!(owners(1, &places[..1]).len(), 1);
    assert!(owners(1, &[]).is_empty());
}

fn blake3_16(number: u128) -> Box<[u8; 16]> {
    let owner = Owner {
        account: number.to_string(),
        model: "m".into(),
        weight_version: "v".into(),
        adapter: String::new(),
    };
    Box::new(Chain::new(&owner, &"w ".repeat(BLOCK_TOKENS)).keys[0].to_le_bytes())
}

#[test]
fn a_key_names_one_account_model_version_and_prefix() {
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
    assert_ne!(chains[0][1], chains[1][1], "a later block's key depends on all before it");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100, rng_seed: RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random schedules of answers, reads, writes that end late or never, and full stores.
    #[test]
    fn no_schedule_frees_under_a_reader_or_hands_out_what_is_not_whole(seed in any::<u64>()) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut catalog = Catalog::new(6, 1);
        let mut now = START;
        let mut writing: Vec<ExportPlan> = Vec::new();
        let mut whole: BTreeSet<(BlockKey, u64)> = BTreeSet::new();
        let mut readers: Vec<(BlockKey, u64, Duration)> = Vec::new();
        for _ in 0..300 {
            now += Duration::from_millis(random.random_range(1..8_000));
            let root = random.random_range(1..9);
            match random.random_range(0..5) {
                0 | 1 => {
                    let blocks = random.random_range(4..30);
                    let seen = seen(root, 8, blocks, random.random_range(1..3));
                    writing.extend(catalog.seen(&seen, &fills(0.2), now));
                }
                2 if !writing.is_empty() => {
                    let plan = writing.remove(random.random_range(0..writing.len()));
                    let mut written = done(&plan);
                    if random.random_bool(0.3) {
                        written.kept = None;
                    } else {
                        whole.insert((plan.position.key, plan.generation));
                    }
                    catalog.written(&written, now);
                }
                3 => {
                    for kept in catalog.lookup((root << 64) | 1, now) {
                        let name = (kept.object.key, kept.object.generation);
                        prop_assert!(whole.contains(&name), "handed out what is not whole");
                        readers.push((name.0, name.1, now + PIN));
                    }
                }
                _ => {
                    let fill = if random.random_bool(0.5) { 0.95 } else { 0.2 };
                    for order in catalog.tick(&fills(fill), |_| true, now) {
                        let read = readers.iter().any(|(key, generation, until)| {
                            *key == order.key && *generation == order.generation && *until > now
                        });
                        prop_assert!(!read, "freed under a reader");
                        if random.random_bool(0.7) {
                            whole.remove(&(order.key, order.generation));
                            catalog.freed(&order);
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn a_second_owner_frees_nothing() {
    let (mut catalog, seen, _) = with_one();
    let late = START + PIN * 2;
    assert!(catalog.tick(&fills(0.99), |_| false, late).is_empty());
    assert_eq!(catalog.lookup(seen.root, late).len(), 1);
}
