//! The list of targets over its answers.

use std::sync::Arc;

use kumquatpost::control::frames::{VersionedRoster, encode};

use kumquatpost::control::rollout_plan::next_loads;
use kumquatpost::fleet::{FailureCause, FleetView, Listed, Presence, Roster};
use kumquatpost::gateway::metadata::TargetLoad;
use kumquatpost::ids::{ServiceId, TargetStart};

use crate::asking::shared;
use crate::fixtures::{address, ms, roster, start, start_born_at, target};

#[test]
fn leaving_is_not_taken_back() {
    let listed = target("i-1", "llm", address(1));
    let mut leaving = listed.clone();
    leaving.presence = Presence::Leaving;
    let mut roster = roster([listed.clone()]);
    assert!(roster.update(vec![leaving]));
    assert!(!roster.update(vec![listed.clone()]), "an older answer that comes late");
    assert_eq!(roster.get(&start("i-1")).expect("listed").presence, Presence::Leaving);
    // Another start at the same address is another target.
    assert!(roster.update(vec![listed, target("i-2", "llm", address(1))]));
    assert_eq!(roster.get(&start("i-2")).expect("listed").presence, Presence::Live);
}

#[test]
fn one_start_of_a_target_never_gets_older_weights() {
    let mut known = roster([target("i-1", "llm", address(1))]);
    assert!(known.set_weights(&start("i-1"), &[("m".to_string(), 2)].into()));
    assert!(!known.update(vec![target("i-1", "llm", address(1))]), "the list lags");
    assert_eq!(known.get(&start("i-1")).expect("listed").weights["m"], 2);
    // Another start at the same address has what it has.
    known.update(vec![target("i-2", "llm", address(1))]);
    assert_eq!(known.get(&start("i-2")).expect("listed").weights["m"], 1);
}

/// Entries go on with the list that they have while all replicas start anew: what these read then
/// must not be taken for older.
#[test]
fn a_list_that_a_later_leader_reads_goes_before_all_earlier_ones() {
    let before = shared(4, VersionedRoster::default());
    for n in 0..300 {
        before.change_roster(|known| {
            known.update(vec![target(&format!("i-{n}"), "app", address(1))])
        });
    }
    let listed = vec![target("i-299", "app", address(1))];
    let after = shared(5, VersionedRoster::default());
    assert!(after.change_roster(|known| known.update(listed.clone())));
    assert!(after.roster.borrow().number > before.roster.borrow().number);
    // A replica that led before and leads again tells its list anew, changed or not.
    let again = shared(6, after.roster.borrow().clone());
    assert!(again.change_roster(|known| known.update(listed.clone())));
    assert!(again.roster.borrow().number > after.roster.borrow().number);
    assert!(!again.change_roster(|known| known.update(listed)), "once");
}

#[test]
fn a_change_turns_the_earlier_list_into_the_later_one() {
    let mut leaving = target("i-2", "app", address(2));
    leaving.presence = Presence::Leaving;
    let before = roster([1, 2, 3].map(|n| target(&format!("i-{n}"), "app", address(n))));
    let later =
        roster([target("i-1", "app", address(1)), leaving, target("i-4", "app", address(4))]);
    let change = before.change_to(&later);
    let changed: Vec<&str> = change.changed.iter().map(|listed| listed.start.id.as_str()).collect();
    assert_eq!((changed, change.gone.as_slice()), (vec!["i-2", "i-4"], &[start("i-3")][..]));
    let mut applied = before.clone();
    applied.apply(change);
    assert!(applied.iter().eq(later.iter()));
}

#[test]
fn a_target_that_is_gone_takes_no_work_but_its_requests_are_counted_to_the_end() {
    let mut view = FleetView::default();
    view.update(&roster([target("i-1", "app", address(1))]));
    let dispatch = view.begin(&start("i-1"), 0);
    view.update(&roster([]));
    assert_eq!(view.live("app").count(), 0);
    assert_eq!(view.get(&start("i-1")).expect("still counted").running, 1);
    view.end(dispatch);
    view.update(&roster([]));
    assert!(view.get(&start("i-1")).is_none());
}

#[test]
fn another_target_at_the_address_ends_the_one_that_was_meant() {
    let mut view = FleetView::default();
    view.update(&roster([target("i-1", "app", address(1)), target("i-2", "app", address(2))]));
    view.replaced(&start("i-1"));
    let live: Vec<&str> = view.live("app").map(|state| state.listed.start.id.as_str()).collect();
    assert_eq!(live, ["i-2"]);
}

#[test]
fn a_reported_load_fades_and_does_not_count_our_own_requests_twice() {
    let mut view = FleetView::default();
    view.update(&roster([target("i-1", "app", address(1))]));
    let id = start("i-1");
    let dispatch = view.begin(&id, 0);
    view.observe_load(&id, TargetLoad { running: 3, waiting: 2, slots: 6 }, ms(1_000));
    let load = |view: &FleetView, at| view.get(&start("i-1")).expect("listed").load(ms(at));
    assert_eq!(load(&view, 1_000), 5.0);
    assert!(load(&view, 1_300) < 4.0);
    assert_eq!(load(&view, 2_000), 1.0);
    view.end(dispatch);
    assert_eq!(load(&view, 2_000), 0.0);
}

fn reborn(id: &str, born_ms: i64) -> Listed {
    Listed { start: start_born_at(id, born_ms), ..target(id, "llm", address(1)) }
}

fn leaving(mut listed: Listed) -> Listed {
    listed.presence = Presence::Leaving;
    listed
}

#[test]
fn a_later_start_is_used_although_the_earlier_one_left() {
    let mut known = roster([leaving(reborn("i-1", 5))]);
    // Its clock may have gone back.
    for born_ms in [9, 2] {
        assert!(known.update(vec![reborn("i-1", born_ms)]));
        let listed = known.get(&start_born_at("i-1", born_ms)).expect("listed");
        assert_eq!(listed.presence, Presence::Live);
        assert_eq!(known.len(), 1);
    }
    assert!(known.get(&start_born_at("i-1", 5)).is_none());
}

#[test]
fn a_start_that_was_replaced_never_comes_back() {
    let mut known = roster([reborn("i-1", 1)]);
    known.update(vec![reborn("i-1", 2)]);
    // An older list that comes late, also long afterwards.
    for _ in 0..300 {
        assert!(!known.update(vec![reborn("i-1", 1)]), "it changes nothing");
        assert_eq!(known.get(&start_born_at("i-1", 2)).expect("listed").presence, Presence::Live);
        known.update(vec![reborn("i-1", 2)]);
    }
    // Also where a list that lacked it came between.
    known.update(vec![]);
    known.update(vec![reborn("i-1", 3)]);
    assert!(!known.update(vec![reborn("i-1", 2)]));
    assert!(known.get(&start_born_at("i-1", 3)).is_some());
}

#[test]
fn a_later_start_runs_the_weights_that_it_is_listed_with() {
    let mut known = roster([reborn("i-1", 1)]);
    assert!(known.set_weights(&start_born_at("i-1", 1), &[("m".to_string(), 4)].into()));
    known.update(vec![reborn("i-1", 1)]);
    assert_eq!(
        known.get(&start_born_at("i-1", 1)).expect("listed").weights["m"],
        4,
        "the list lags"
    );
    known.update(vec![reborn("i-1", 2)]);
    assert_eq!(known.get(&start_born_at("i-1", 2)).expect("listed").weights["m"], 1);
    // A report on the earlier start that comes late.
    assert!(!known.set_weights(&start_born_at("i-1", 1), &[("m".to_string(), 4)].into()));
    assert_eq!(known.get(&start_born_at("i-1", 2)).expect("listed").weights["m"], 1);
    // The later one is told to load them anew.
    let lagging = next_loads(
        &known,
        &[("m".to_string(), 4)].into(),
        &[start_born_at("i-1", 1)].into(),
        &[].into(),
        |_| true,
    );
    assert_eq!(lagging.len(), 1);
    assert_eq!(lagging[0].engine, start_born_at("i-1", 2));
}

#[test]
fn a_target_whose_entry_is_missing_for_a_while_is_used_again() {
    let mut known = roster([reborn("i-1", 1), reborn("i-2", 1)]);
    known.set_weights(&start_born_at("i-1", 1), &[("m".to_string(), 4)].into());
    for _ in 0..5 {
        known.update(vec![reborn("i-2", 1)]);
        assert!(known.get(&start_born_at("i-1", 1)).is_none(), "no new work meanwhile");
    }
    known.update(vec![reborn("i-1", 1), reborn("i-2", 1)]);
    let again = known.get(&start_born_at("i-1", 1)).expect("listed");
    assert_eq!((again.presence, again.weights["m"]), (Presence::Live, 4));
    // One that said that it leaves is not.
    known.update(vec![leaving(reborn("i-1", 1))]);
    known.update(vec![]);
    known.update(vec![reborn("i-1", 1)]);
    assert_eq!(known.get(&start_born_at("i-1", 1)).expect("listed").presence, Presence::Leaving);
}

/// Births that are equal tell two starts apart by nothing but the time between them.
#[test]
fn a_start_that_left_is_forgotten_once_no_late_list_can_show_it() {
    let mut known = roster([leaving(reborn("i-1", 1))]);
    for _ in 0..50 {
        known.update(vec![reborn("i-2", 1)]);
    }
    known.update(vec![reborn("i-1", 1)]);
    assert_eq!(known.get(&start_born_at("i-1", 1)).expect("listed").presence, Presence::Live);
}

#[test]
fn what_is_remembered_of_earlier_starts_is_bounded() {
    let mut known = Roster::default();
    let size = |known: &Roster| encode(&VersionedRoster::new(1, Arc::new(known.clone()))).len();
    let mut half_way = 0;
    for n in 0..9_000 {
        let born_ms = 1_700_000_000_000 + n;
        let other = format!("j-{n:04}");
        known.update(vec![reborn("i-1", born_ms), leaving(reborn(&other, born_ms))]);
        if n == 4_500 {
            half_way = size(&known);
        }
    }
    assert!(size(&known) < half_way + 100, "{} after {half_way}", size(&known));
}

#[test]
fn births_that_are_told_no_more_leave_what_is_known() {
    let unborn = || target("i-1", "llm", address(1));
    let mut known = roster([leaving(reborn("i-1", 1))]);
    assert!(!known.update(vec![unborn()]), "it is the start that is known");
    assert!(known.update(vec![reborn("i-1", 2)]));
    assert!(!known.update(vec![unborn()]));
    assert_eq!(known.get(&start_born_at("i-1", 2)).expect("listed").presence, Presence::Live);
    // Births that are told for the first time.
    let mut known = roster([unborn()]);
    known.update(vec![reborn("i-1", 1)]);
    known.update(vec![unborn()]);
    assert_eq!(known.get(&start_born_at("i-1", 1)).expect("listed").presence, Presence::Live);
}

#[test]
fn an_id_twice_in_a_list_is_one_target_or_none() {
    let at = |n, listed: Listed| Listed { address: address(n), ..listed };
    let mut known = Roster::default();
    // The page shifted between two reads, and the target began to leave.
    known.update(vec![reborn("i-1", 1), leaving(reborn("i-1", 1)), reborn("i-2", 1)]);
    assert_eq!(known.get(&start_born_at("i-1", 1)).expect("listed").presence, Presence::Leaving);
    assert_eq!(known.len(), 2);
    // It started again between two reads: the start that was not known is the later one.
    for list in [vec![reborn("i-2", 1), reborn("i-2", 2)], vec![reborn("i-2", 2), reborn("i-2", 1)]]
    {
        known.update(list);
        assert_eq!(known.get(&start_born_at("i-2", 2)).expect("listed").presence, Presence::Live);
    }
    // Nothing tells which of two is the later one, or where it is: the others hold.
    for pair in [
        [reborn("i-3", 1), reborn("i-3", 2)],
        [reborn("i-3", 1), at(9, reborn("i-3", 1))],
        [reborn("i-2", 2), at(9, reborn("i-2", 2))],
    ] {
        let [one, other] = pair;
        let id = one.start.id.clone();
        known.update(vec![reborn("i-1", 1), one, other]);
        assert!(known.iter().all(|listed| listed.start.id != id));
        assert_eq!(known.len(), 1);
    }
}

#[test]
fn a_change_of_start_reaches_entries_whole() {
    let before = roster([reborn("i-1", 1), reborn("i-2", 1)]);
    let later = roster([reborn("i-1", 2), reborn("i-2", 1)]);
    let change = before.change_to(&later);
    assert_eq!(change.gone, [start_born_at("i-1", 1)]);
    assert_eq!(change.changed, [reborn("i-1", 2)]);
    let mut applied = before.clone();
    applied.apply(change);
    assert!(applied.iter().eq(later.iter()));
}

#[test]
fn what_an_entry_believes_of_an_earlier_start_is_not_believed_of_the_later_one() {
    let mut view = FleetView::default();
    let (first, second) = (start_born_at("i-1", 1), start_born_at("i-1", 2));
    view.update(&roster([reborn("i-1", 1)]));
    let dispatch = view.begin(&first, 500);
    let load = TargetLoad { running: 30, waiting: 9, slots: 48 };
    view.observe_load(&first, load, ms(0));
    (0..3).for_each(|_| view.failed(&first, FailureCause::Target, ms(0)));
    view.replaced(&first);
    view.update(&roster([reborn("i-1", 2)]));
    let is_new = |view: &FleetView| {
        let live: Vec<&TargetStart> = view.live("llm").map(|state| &state.listed.start).collect();
        assert_eq!(live, [&second]);
        let state = view.get(&second).expect("listed");
        assert_eq!((state.running, state.prefill_tokens, state.load(ms(1))), (0, 0, 0.0));
        assert!(state.health.admits(0, ms(1)));
    };
    is_new(&view);
    // What is heard of the earlier one from here on.
    view.observe_load(&first, load, ms(1));
    (0..3).for_each(|_| view.failed(&first, FailureCause::Target, ms(1)));
    view.unreachable(&first, ms(1));
    view.replaced(&first);
    is_new(&view);
    view.end(dispatch);
    is_new(&view);
    view.update(&roster([reborn("i-1", 2)]));
    assert!(view.get(&first).is_none(), "its last request has ended");
}

#[test]
fn which_starts_are_over_is_learned_from_other_lists() {
    let mut known = roster([reborn("i-1", 1), reborn("i-2", 1), reborn("i-3", 2)]);
    let mut other = roster([leaving(reborn("i-1", 1)), reborn("i-2", 1), reborn("i-3", 1)]);
    other.update(vec![reborn("i-2", 2)]);
    assert!(known.merge_retired(&other));
    assert!(!known.merge_retired(&other), "it is known");
    let leaves = |start| known.get(&start).expect("listed").presence == Presence::Leaving;
    assert!(
        leaves(start_born_at("i-1", 1))
            && leaves(start_born_at("i-2", 1))
            && !leaves(start_born_at("i-3", 2))
    );
}

/// What was seen: an engine got no prompt any more, though it was listed and sound.
/// How it came about: another writer's entry bore its id, with a service that no deployment names and
/// another birth, and the later of two starts under one id is the one that was not known.
/// What proved it: the list's changes and the engine's last prompt in that run's logs, and this test.
#[test]
fn an_entry_of_a_service_that_is_not_named_ends_no_target() {
    let is_named = |service: &ServiceId| service != "nobody";
    let own = Listed { start: start_born_at("i-1", 5_000), ..target("i-1", "llm", address(1)) };
    let foreign = Listed { start: start_born_at("i-1", 1), ..target("i-1", "nobody", address(2)) };
    let new = Listed { start: start_born_at("i-2", 1), ..target("i-2", "nobody", address(3)) };
    let mut known = roster([own.clone()]);
    for list in [
        vec![own.clone(), foreign.clone()],
        vec![foreign.clone(), own.clone()],
        // The target's own entry is missing from this page, as pages may shift.
        vec![foreign.clone()],
        vec![own.clone(), foreign, new.clone()],
    ] {
        let list = known.without_unnamed(list, is_named);
        known.update(list);
    }
    let listed = known.get(&own.start).expect("it is listed");
    assert_eq!((listed.presence, listed.address), (Presence::Live, address(1)));
    assert!(known.get(&new.start).is_some(), "its service may be named later");
}
