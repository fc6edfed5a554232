//! Scheduler bookkeeping of cache stores: when parts may be fetched, saved and freed.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatpost::deployment::StoreSpec;
use kumquatpost::gateway::metadata::Part;
use kumquatpost::platform::stores;
use kumquatpost::scheduler::store::{
    FETCH_GRANT_TTL, FreePlan, Inventory, Store, StoreEvent, StoreStart, StoredPart, part_key,
};
use serde_json::{Value, json};

use crate::fixtures::{address, ms, store_start};

const SALT: &str = "all/m/1";

fn store(capacity_tokens: u64) -> Store {
    let mut store = Store::new(StoreSpec {
        address: address(9_000),
        failure_domain: "a".to_string(),
        capacity_tokens,
        link_mbps: 590_000.0,
        first_byte: ms(6),
        is_managed: true,
    });
    store.observe_inventory(Inventory { start: store_start(1), ..Inventory::default() }, ms(0));
    store
}

fn part(id: &str, tokens: u64) -> Part {
    Part { id: id.to_string(), tokens }
}

fn stored(id: &str, tokens: u64) -> StoredPart {
    StoredPart { salt: SALT.to_string(), id: id.to_string(), tokens }
}

fn save(store: &mut Store, id: &str, tokens: u64, now: Duration) {
    store.grant_save(part_key(SALT, id), SALT, &part(id, tokens), now);
}

fn save_complete(store: &mut Store, id: &str, tokens: u64, now: Duration) {
    save(store, id, tokens, now);
    store.observe_event(StoreEvent::Stored(stored(id, tokens)), now);
}

fn is_complete(store: &Store, id: &str) -> bool {
    store.is_complete(part_key(SALT, id))
}

fn freed_ids(plan: &Option<FreePlan>) -> Vec<&str> {
    plan.iter().flat_map(|plan| &plan.parts).map(|part| part.id.as_str()).collect()
}

#[test]
fn a_part_is_fetchable_only_once_it_is_complete() {
    let mut store = store(10_000);
    save(&mut store, "a", 1_000, ms(0));
    assert!(!is_complete(&store, "a"), "its save has only been granted");
    store.observe_event(StoreEvent::Stored(stored("a", 512)), ms(10));
    assert!(!is_complete(&store, "a"), "only half of its tokens are stored");
    store.observe_event(StoreEvent::Stored(stored("a", 1_000)), ms(20));
    assert!(is_complete(&store, "a"));
    store.observe_event(StoreEvent::Removed(stored("a", 1_000)), ms(30));
    assert!(!is_complete(&store, "a"));
    assert_eq!(store.free_tokens(), 10_000);
}

#[test]
fn parts_under_different_salts_are_distinct() {
    let mut store = store(10_000);
    save_complete(&mut store, "a", 1_000, ms(0));
    for salt in ["only:beta/m/1", "all/m/2", "all/other/1", "all/m/1a", "all/m"] {
        assert!(!store.is_complete(part_key(salt, "a")), "{salt}");
    }
    // Moving characters between salt and id must change the key.
    assert_ne!(part_key("all/m/1", "2a"), part_key("all/m/12", "a"));
}

#[test]
fn a_stored_event_does_not_complete_an_unknown_part() {
    let mut store = store(10_000);
    store.observe_event(StoreEvent::Stored(stored("a", 1_000)), ms(0));
    assert!(!is_complete(&store, "a"), "the full length of the part is unknown");
}

#[test]
fn a_restarted_store_is_empty() {
    let mut store = store(10_000);
    save_complete(&mut store, "a", 1_000, ms(0));
    store.reset();
    assert!(!is_complete(&store, "a") && !store.has_inventory());
    store.observe_inventory(Inventory { start: store_start(2), ..Inventory::default() }, ms(100));
    assert!(store.has_inventory() && !is_complete(&store, "a"));
}

#[test]
fn no_part_is_freed_while_its_fetch_may_be_in_progress() {
    let mut store = store(10_000);
    for id in ["a", "b", "c", "d", "e", "f"] {
        save_complete(&mut store, id, 1_600, ms(0));
    }
    let keys: Vec<_> = ["a", "b", "c", "d", "e", "f"].map(|id| part_key(SALT, id)).to_vec();
    let later = FETCH_GRANT_TTL * 2;
    keys.iter().for_each(|key| store.grant_fetch(*key, later));
    assert_eq!(
        store.plan_frees(later + FETCH_GRANT_TTL),
        None,
        "the grants have ended, but the safety margin has not"
    );
    let plan = store.plan_frees(later + FETCH_GRANT_TTL + ms(400));
    assert_eq!(freed_ids(&plan).len(), 1);
    let freed_id = freed_ids(&plan)[0].to_string();
    assert!(!is_complete(&store, &freed_id), "a part being freed may disappear at any time");
}

#[test]
fn least_recently_used_parts_are_freed_first() {
    let mut store = store(10_000);
    for (at, id) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        save_complete(&mut store, id, 1_600, ms(at as u64));
    }
    store.touch(part_key(SALT, "a"), ms(50));
    let plan = store.plan_frees(ms(60_000));
    assert_eq!(freed_ids(&plan), ["b"]);
    let plan = plan.expect("a plan");
    assert_eq!(plan.start.epoch, 1);
    store.confirm_freed(&plan);
    assert_eq!(store.free_tokens(), 2_000);
    assert_eq!(store.plan_frees(ms(60_001)), None);
}

#[test]
fn an_unconfirmed_free_is_repeated() {
    let mut store = store(10_000);
    for id in ["a", "b", "c", "d", "e", "f"] {
        save_complete(&mut store, id, 1_600, ms(0));
    }
    let first = store.plan_frees(ms(10_000));
    assert_eq!(freed_ids(&first).len(), 1);
    assert_eq!(store.plan_frees(ms(10_200)), first);
}

#[test]
fn a_failed_save_releases_its_space() {
    let mut store = store(10_000);
    save(&mut store, "a", 1_000, ms(0));
    assert_eq!(store.free_tokens(), 10_000 - 1_008, "1,000 tokens rounded up to blocks of 16");
    assert_eq!(store.plan_frees(ms(4_000)), None, "the save may still be in progress");
    let plan = store.plan_frees(ms(6_000)).expect("a plan");
    store.confirm_freed(&plan);
    assert_eq!(store.free_tokens(), 10_000);
}

#[test]
fn a_late_event_does_not_complete_a_part_being_freed() {
    let mut store = store(10_000);
    save(&mut store, "a", 1_000, ms(0));
    assert!(store.plan_frees(ms(6_000)).is_some());
    store.observe_event(StoreEvent::Stored(stored("a", 1_000)), ms(6_001));
    assert!(!is_complete(&store, "a"));
}

/// A delayed completion event of a timed-out save must not complete a later save of the same part.
#[test]
fn a_failed_save_is_not_retried_immediately() {
    let mut store = store(10_000);
    let key = part_key(SALT, "a");
    save(&mut store, "a", 1_000, ms(0));
    let plan = store.plan_frees(ms(6_000)).expect("a plan");
    store.confirm_freed(&plan);
    assert!(!store.can_save(key, 1_000, ms(7_000)));
    assert!(store.can_save(part_key(SALT, "b"), 1_000, ms(7_000)));
    assert!(store.can_save(key, 1_000, ms(22_000)));
}

#[test]
fn an_inventory_corrects_state_after_missed_events() {
    let mut store = store(10_000);
    save(&mut store, "missed event", 1_000, ms(0));
    save(&mut store, "partial", 1_000, ms(0));
    save_complete(&mut store, "removed", 1_000, ms(0));
    save(&mut store, "just granted", 1_000, ms(990));
    let inventory = Inventory {
        start: store_start(1),
        next_event: 9,
        complete: vec![
            stored("missed event", 1_000),
            stored("saved by an earlier scheduler", 1_000),
        ],
        partial: vec![stored("partial", 1_000)],
    };
    store.observe_inventory(inventory, ms(1_000));
    let found = |id: &str| (store.contains(part_key(SALT, id)), is_complete(&store, id));
    assert_eq!(found("missed event"), (true, true));
    assert_eq!(found("saved by an earlier scheduler"), (true, true));
    assert_eq!(found("partial"), (true, false));
    assert_eq!(found("removed"), (false, false));
    assert_eq!(found("just granted"), (true, false));
    assert_eq!(store.free_tokens(), 10_000 - 4 * 1_008);
}

#[test]
fn store_messages_are_decoded_and_encoded() {
    let list = r#"{"BootEpoch":77,"NextToken":120,"clock_ms":5000.5,
        "Held":[["s1","5c1e",800,"m"]],"Partial":[["s1","91bd",128,512]]}"#;
    let (inventory, clock_ms) = stores::decode_list(list.as_bytes()).expect("a list");
    assert_eq!((inventory.start.epoch, inventory.next_event, clock_ms), (77, 120, Some(5_000)));
    assert_eq!(inventory.complete[0].id, "5c1e");
    assert_eq!(inventory.partial[0].tokens, 512, "a partial part counts by its allocated size");
    let page = r#"{"BootEpoch":77,"NextToken":121,"Lost":true,
        "Events":[[119,"+","s1","5c1e",800,"m"],[120,"-","s1","91bd",128,"m"]]}"#;
    let events = stores::decode_events(page.as_bytes()).expect("a page");
    assert!(events.has_gap);
    assert!(matches!(&events.events[0], StoreEvent::Stored(part) if part.tokens == 800));
    assert!(matches!(&events.events[1], StoreEvent::Removed(part) if part.id == "91bd"));
    let plan = FreePlan { store: address(1), start: store_start(77), parts: vec![stored("a", 1)] };
    let sent: Value = serde_json::from_slice(&stores::encode_free(&plan, 9)).expect("JSON");
    assert_eq!(sent, json!({"parts": [[SALT, "a"]], "BootEpoch": 77, "until_ms": 9}));
    let addresses: [Option<SocketAddr>; 2] = [None, Some(address(1))];
    assert_eq!(stores::encode_addresses(&addresses), "-,10.0.0.1:1");
}

#[test]
fn a_restart_under_the_same_epoch_discards_the_earlier_state() {
    let start_at = |born_ms| StoreStart { epoch: 1, born_ms: Some(born_ms) };
    let inventory = |start, complete| Inventory { start, complete, ..Inventory::default() };
    let mut store = store(1_000);
    store.observe_inventory(inventory(start_at(9), vec![stored("a", 990)]), ms(0));
    save(&mut store, "b", 10, ms(10));
    let plan = store.plan_frees(ms(6_000)).expect("a plan");
    store.observe_inventory(inventory(start_at(9), vec![stored("a", 990)]), ms(6_010));
    assert!(!is_complete(&store, "a"), "the part is being freed");
    store.observe_inventory(inventory(start_at(3), vec![stored("a", 990)]), ms(6_020));
    assert!(is_complete(&store, "a"), "the free belongs to the earlier start");
    assert!(!store.contains(part_key(SALT, "b")), "the save belongs to the earlier start");
    // A late confirmation of the earlier start's free has no effect.
    store.confirm_freed(&plan);
    assert!(is_complete(&store, "a"));
    // Responses without a birth time match any start with the same epoch.
    assert!(start_at(3).may_equal(&store_start(1)) && !start_at(3).may_equal(&start_at(9)));
}

#[test]
fn malformed_inventory_and_event_entries_are_skipped() {
    let list = r#"{"BootEpoch":7,"NextToken":1,"clock_ms":1e300,"born":1700000000001,
        "Held":[["s","a",1,"m"],["s",2,3,"m"],null,["s","x"],["s","b",18446744073709551615,"m"],
                ["s","c",5,"m"]],
        "Partial":[7,["s","d",1,2],{"Id":"e"}]}"#;
    let (inventory, clock_ms) = stores::decode_list(list.as_bytes()).expect("a list");
    let ids = |parts: &[StoredPart]| -> Vec<String> {
        parts.iter().map(|part| part.id.clone()).collect()
    };
    assert_eq!(ids(&inventory.complete), ["a", "c"]);
    assert_eq!(ids(&inventory.partial), ["d"]);
    assert_eq!(inventory.start, StoreStart { epoch: 7, born_ms: Some(1_700_000_000_001) });
    assert_eq!(clock_ms, None, "the clock value is out of range");
    let page = r#"{"BootEpoch":7,"NextToken":9,"born":1700000000001,
        "Events":[[1,"+","s","a",1,"m"],[2,"*","s","b",1,"m"],[3],"x",[4,"-","s","c",1,"m"]]}"#;
    let events = stores::decode_events(page.as_bytes()).expect("a page");
    assert_eq!(
        events.events,
        [
            StoreEvent::Stored(StoredPart { salt: "s".into(), id: "a".into(), tokens: 1 }),
            StoreEvent::Removed(StoredPart { salt: "s".into(), id: "c".into(), tokens: 1 }),
        ]
    );
    assert_eq!(events.start, inventory.start);
    for born in ["\"1\"", "1.5", "null", "[]"] {
        let page = format!(r#"{{"BootEpoch":7,"NextToken":9,"born":{born}}}"#);
        assert!(stores::decode_events(page.as_bytes()).is_err(), "{born}");
        assert!(stores::decode_list(page.as_bytes()).is_err(), "{born}");
    }
}
