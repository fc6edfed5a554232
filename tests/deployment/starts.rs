//! What is believed of a target is believed of one start of it. On a virtual clock.

use kumquatpost::control::unreadable_log::UnreadableEntryLog;
use kumquatpost::fleet::listing::EntryError;
use kumquatpost::fleet::{Listed, Listing, UnreadableEntry};
use kumquatpost::gateway::metadata::TargetLoad;
use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::store::{StoreEvent, StoredPart};
use kumquatpost::scheduler::{EndReason, Placement, PlacementEvent, PlacementRequest, Scheduler};

use crate::fixtures::{address, born, ms, roster, target};
use crate::load::{ask_of, end, placed, scheduler};

/// The only engine, in its first and in its second start. The second has a clock that has gone back.
fn starts() -> (TargetStart, TargetStart) {
    (born("i-1", 9), born("i-1", 3))
}

fn listed(start: &TargetStart) -> Listed {
    Listed { start: start.clone(), ..target("i-1", "llm", address(1)) }
}

fn list(scheduler: &mut Scheduler, start: &TargetStart) {
    scheduler.observe_roster(&roster([listed(start)]));
}

fn in_first_start() -> Scheduler {
    let mut scheduler = scheduler(0);
    list(&mut scheduler, &starts().0);
    scheduler
}

fn submit(scheduler: &mut Scheduler, waiter: u64, at_ms: u64) -> Placement {
    placed(scheduler.submit(waiter, ask_of(1, 1, waiter), ms(at_ms)))
}

fn first_part(scheduler: &mut Scheduler, ticket: u64, weights: u64, at_ms: u64) {
    let load = Some(TargetLoad { running: 90, waiting: 90, slots: 48 });
    scheduler.observe(
        &PlacementEvent::FirstToken { ticket, weight_version: Some(weights), load },
        ms(at_ms),
    );
}

#[test]
fn a_later_start_holds_nothing_of_what_was_resident() {
    let mut scheduler = in_first_start();
    let one = submit(&mut scheduler, 1, 10);
    first_part(&mut scheduler, one.ticket, 1, 80);
    end(&mut scheduler, one.ticket, EndReason::Completed, ms(200));
    let again = submit(&mut scheduler, 2, 2_000);
    assert_eq!(again.trace.resident_tokens, 650, "the context is resident");
    end(&mut scheduler, again.ticket, EndReason::Completed, ms(2_100));
    list(&mut scheduler, &starts().1);
    let anew = submit(&mut scheduler, 3, 4_000);
    assert_eq!((&anew.target, anew.trace.resident_tokens), (&starts().1, 0));
}

#[test]
fn what_an_earlier_start_tells_of_its_memory_is_not_the_later_ones() {
    let mut scheduler = in_first_start();
    list(&mut scheduler, &starts().1);
    let part = StoredPart { salt: "all/m/1".into(), id: "1-context-1".into(), tokens: 650 };
    assert_eq!(
        scheduler.observe_cache_events(&starts().0, vec![StoreEvent::Stored(part.clone())]),
        0
    );
    assert_eq!(submit(&mut scheduler, 1, 10).trace.resident_tokens, 0);
    // Its own is.
    let mut scheduler = in_first_start();
    assert_eq!(scheduler.observe_cache_events(&starts().0, vec![StoreEvent::Stored(part)]), 1);
    assert_eq!(submit(&mut scheduler, 1, 10).trace.resident_tokens, 650);
}

#[test]
fn notes_on_placements_at_an_earlier_start_change_nothing_of_the_later_one() {
    let (first, second) = starts();
    let mut scheduler = in_first_start();
    let early: Vec<Placement> = (0..8).map(|n| submit(&mut scheduler, n, 10 + n * 300)).collect();
    list(&mut scheduler, &second);
    assert_eq!((scheduler.placed_on(&first), scheduler.placed_on(&second)), (8, 0));
    // Answers that were on their way: of other weights and a full engine, failures, a refusal.
    first_part(&mut scheduler, early[0].ticket, 7, 3_000);
    let ends = [
        EndReason::Completed,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::WeightMismatch(Some(7)),
        EndReason::WeightMismatch(None),
        EndReason::Replaced,
        EndReason::Unreachable,
    ];
    for (placed, how) in early.iter().zip(ends) {
        end(&mut scheduler, placed.ticket, how, ms(3_001));
    }
    assert_eq!(scheduler.unverified_engines(), [], "the later start runs what it is listed with");
    let next = submit(&mut scheduler, 20, 3_002);
    assert_eq!((&next.target, next.weight_version), (&second, Some(1)));
    assert_eq!(next.trace.running, 0);
    assert_eq!((scheduler.placed_on(&first), scheduler.placed_on(&second)), (0, 1));
}

#[test]
fn a_report_on_an_earlier_start_says_nothing_about_the_later_one() {
    let (first, second) = starts();
    let mut scheduler = in_first_start();
    let one = submit(&mut scheduler, 1, 10);
    end(&mut scheduler, one.ticket, EndReason::WeightMismatch(None), ms(20));
    assert_eq!(scheduler.unverified_engines(), [(first.clone(), address(1))]);
    list(&mut scheduler, &second);
    assert_eq!(scheduler.unverified_engines(), [], "the later start gave no reason for it");
    scheduler.resolve_weights(&first, Some(7));
    assert_eq!(submit(&mut scheduler, 2, 30).weight_version, Some(1));
}

#[test]
fn an_engine_that_changes_its_weights_is_kept_from_prompts_in_that_start_alone() {
    let (first, second) = starts();
    let mut scheduler = in_first_start();
    scheduler.observe_changing(&[first].into());
    assert!(scheduler.submit(1, ask_of(1, 1, 1), ms(10)).is_none(), "it waits");
    scheduler.withdraw(1);
    list(&mut scheduler, &second);
    assert_eq!(submit(&mut scheduler, 2, 20).target, second);
}

/// The entry of an engine can't be read for a while: no new work, and all is known when it is back.
#[test]
fn an_engine_whose_entry_is_missing_for_a_while_is_known_again() {
    let (first, _) = starts();
    let mut scheduler = in_first_start();
    let one = submit(&mut scheduler, 1, 10);
    let other = Listed { start: born("i-2", 1), ..target("i-2", "llm", address(2)) };
    scheduler.observe_roster(&roster([other.clone()]));
    let avoid = vec![other.start.clone()];
    let asked = PlacementRequest { avoid, ..ask_of(1, 1, 2) };
    let outcome = scheduler.submit(2, asked, ms(600)).expect("no engine is sound");
    assert!(outcome.is_err(), "none but one that must be avoided takes new work");
    assert_eq!(scheduler.placed_on(&first), 1);
    scheduler.observe_roster(&roster([listed(&first), other.clone()]));
    first_part(&mut scheduler, one.ticket, 1, 700);
    end(&mut scheduler, one.ticket, EndReason::Completed, ms(800));
    let again = PlacementRequest { avoid: vec![other.start], ..ask_of(1, 1, 3) };
    let again = placed(scheduler.submit(3, again, ms(2_000)));
    assert_eq!((again.target, again.trace.resident_tokens), (first, 650));
}

#[test]
fn entries_that_can_not_be_read_are_told_of_when_they_change_and_not_too_often() {
    let listing = |states: &[&str]| {
        let mut listing = Listing::default();
        listing.add(Ok(listed(&starts().0)));
        for state in states {
            let flaw = EntryError::Field((*state).to_string());
            listing.add(Err(UnreadableEntry { id: Some("i-7".to_string()), flaw }));
        }
        listing
    };
    let mut lines = UnreadableEntryLog::default();
    assert!(!lines.log_if_changed(&listing(&[]), ms(0)), "nothing to tell");
    assert!(lines.log_if_changed(&listing(&["a"]), ms(1)));
    assert!(!lines.log_if_changed(&listing(&["a"]), ms(60_000)), "the same as before");
    assert!(lines.log_if_changed(&listing(&["b"]), ms(60_500)));
    let written = (0..600).filter(|n| {
        let changing = n.to_string();
        lines.log_if_changed(&listing(&[&changing]), ms(61_000 + n * 500))
    });
    assert!(written.count() <= 60, "once in 5 s of 300");
}
