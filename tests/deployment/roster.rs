//! The list of targets over its answers.

use kumquatpost::control::frames::NumberedRoster;
use kumquatpost::fleet::{FleetView, Presence};
use kumquatpost::gateway::call::TargetLoad;

use crate::asking::shared;
use crate::fixtures::{address, ms, roster, start, target};

#[test]
fn leaving_is_not_taken_back() {
    let listed = target("i-1", "llm", address(1));
    let mut leaving = listed.clone();
    leaving.presence = Presence::Leaving;
    let mut roster = roster([listed.clone()]);
    assert!(roster.take(vec![leaving]));
    assert!(!roster.take(vec![listed.clone()]), "an older answer that comes late");
    assert_eq!(roster.get(&start("i-1")).expect("listed").presence, Presence::Leaving);
    // Another start at the same address is another target.
    assert!(roster.take(vec![listed, target("i-2", "llm", address(1))]));
    assert_eq!(roster.get(&start("i-2")).expect("listed").presence, Presence::Live);
}

#[test]
fn one_start_of_a_target_never_gets_older_weights() {
    let mut known = roster([target("i-1", "llm", address(1))]);
    assert!(known.set_weights(&start("i-1"), &[("m".to_string(), 2)].into()));
    assert!(!known.take(vec![target("i-1", "llm", address(1))]), "the list lags");
    assert_eq!(known.get(&start("i-1")).expect("listed").weights["m"], 2);
    // Another start at the same address has what it has.
    known.take(vec![target("i-2", "llm", address(1))]);
    assert_eq!(known.get(&start("i-2")).expect("listed").weights["m"], 1);
}

/// Entries go on with the list that they have while all replicas start anew: what these read then
/// must not be taken for older.
#[test]
fn a_list_that_a_later_leader_reads_goes_before_all_earlier_ones() {
    let before = shared(4, NumberedRoster::default());
    for n in 0..300 {
        before
            .change_roster(|known| known.take(vec![target(&format!("i-{n}"), "app", address(1))]));
    }
    let listed = vec![target("i-299", "app", address(1))];
    let after = shared(5, NumberedRoster::default());
    assert!(after.change_roster(|known| known.take(listed.clone())));
    assert!(after.roster.borrow().number > before.roster.borrow().number);
    // A replica that led before and leads again tells its list anew, changed or not.
    let again = shared(6, after.roster.borrow().clone());
    assert!(again.change_roster(|known| known.take(listed.clone())));
    assert!(again.roster.borrow().number > after.roster.borrow().number);
    assert!(!again.change_roster(|known| known.take(listed)), "once");
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
    view.take(&roster([target("i-1", "app", address(1))]));
    let dispatch = view.begin(&start("i-1"), 0);
    view.take(&roster([]));
    assert_eq!(view.live("app").count(), 0);
    assert_eq!(view.get(&start("i-1")).expect("still counted").running, 1);
    view.end(dispatch);
    view.take(&roster([]));
    assert!(view.get(&start("i-1")).is_none());
}

#[test]
fn another_target_at_the_address_ends_the_one_that_was_meant() {
    let mut view = FleetView::default();
    view.take(&roster([target("i-1", "app", address(1)), target("i-2", "app", address(2))]));
    view.replaced(&start("i-1"));
    let live: Vec<&str> = view.live("app").map(|state| state.listed.start.id.as_str()).collect();
    assert_eq!(live, ["i-2"]);
}

#[test]
fn a_reported_load_fades_and_does_not_count_our_own_requests_twice() {
    let mut view = FleetView::default();
    view.take(&roster([target("i-1", "app", address(1))]));
    let id = start("i-1");
    let dispatch = view.begin(&id, 0);
    view.reported(&id, TargetLoad { running: 3, waiting: 2, slots: 6 }, ms(1_000));
    let load = |view: &FleetView, at| view.get(&start("i-1")).expect("listed").load(ms(at));
    assert_eq!(load(&view, 1_000), 5.0);
    assert!(load(&view, 1_300) < 4.0);
    assert_eq!(load(&view, 2_000), 1.0);
    view.end(dispatch);
    assert_eq!(load(&view, 2_000), 0.0);
}
