//! Placement by an entry alone.

use kumquatpost::fleet::placement::{Ask, Unplaced, choose};
use kumquatpost::fleet::{Fault, FleetView};
use kumquatpost::gateway::call::{Part, Prompt};

use crate::fixtures::{address, ms, roster, start, target};

fn view(engines: u16) -> FleetView {
    let mut view = FleetView::default();
    view.take(&roster((0..engines).map(|n| target(&format!("i-{n}"), "llm", address(n)))));
    view
}

fn prompt(context: u64, tokens: u64) -> Prompt {
    let part = |id: String, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_string(),
        prompt_tokens: tokens + 100,
        output_tokens: 40,
        parts: vec![part(format!("c{context}"), tokens), part("own".to_string(), 100)],
    }
}

fn ask<'a>(prompt: &'a Prompt, wall: &'a str, drawn: u64) -> Ask<'a> {
    Ask { service: "llm", prompt: Some(prompt), cache_wall: wall, tried: &[], drawn }
}

/// A returning context goes where it was, whichever entry it reaches, also after another engine
/// has come or gone: entries don't talk about it.
#[test]
fn a_context_keeps_its_home() {
    let (all, one_less) = (view(12), view(11));
    let mut moved = 0;
    for context in 0..500 {
        let prompt = prompt(context, 9_000);
        let home = |view: &FleetView, drawn| {
            choose(view, &ask(&prompt, "all", drawn), ms(0)).expect("an engine").target
        };
        assert_eq!(home(&all, 1), home(&all, 2));
        moved += usize::from(home(&all, 1) != home(&one_less, 1));
    }
    assert!((20..=80).contains(&moved), "only those of the engine that went: {moved}");
}

#[test]
fn contexts_spread_and_accounts_with_a_wall_share_no_home_by_design() {
    let view = view(10);
    let mut counts = std::collections::BTreeMap::new();
    for context in 0..1_000 {
        let prompt = prompt(context, 9_000);
        let choice = choose(&view, &ask(&prompt, "all", 0), ms(0)).expect("an engine");
        *counts.entry(choice.target).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
}

/// A hot context: its home fills up, and the next ones go elsewhere rather than wait.
#[test]
fn a_busy_home_is_left() {
    let mut view = view(4);
    let prompt = prompt(1, 2_000);
    let mut used = std::collections::BTreeSet::new();
    let mut dispatches = Vec::new();
    for drawn in 0..24 {
        let choice = choose(&view, &ask(&prompt, "all", drawn), ms(0)).expect("an engine");
        dispatches.push(view.begin(&choice.target, 2_100));
        used.insert(choice.target);
    }
    assert_eq!(used.len(), 4);
}

#[test]
fn engines_out_of_order_and_tried_ones_are_left_out() {
    let mut view = view(2);
    let prompt = prompt(1, 2_000);
    let id = |n: u64| start(&format!("i-{n}"));
    view.unreachable(&id(0), ms(0));
    for context in 0..20 {
        let prompt = self::prompt(context, 2_000);
        let choice = choose(&view, &ask(&prompt, "all", 0), ms(1)).expect("an engine");
        assert_eq!(choice.target, id(1));
    }
    for _ in 0..3 {
        view.failed(&id(1), Fault::Target, ms(1));
    }
    assert_eq!(choose(&view, &ask(&prompt, "all", 0), ms(2)), Err(Unplaced::NoneSound));
    assert!(choose(&view, &ask(&prompt, "all", 0), ms(600)).is_ok(), "one is tried again");
    let tried = [id(0), id(1)];
    let again = Ask { tried: &tried, ..ask(&prompt, "all", 0) };
    assert_eq!(choose(&view, &again, ms(600)), Err(Unplaced::NoneSound));
    let elsewhere = Ask { service: "nowhere", ..ask(&prompt, "all", 0) };
    assert_eq!(choose(&view, &elsewhere, ms(0)), Err(Unplaced::NoneListed));
}

/// Plain services: calls spread over their targets by what runs there.
#[test]
fn plain_calls_go_where_least_runs() {
    let mut view = FleetView::default();
    view.take(&roster((0..3).map(|n| target(&format!("i-{n}"), "app", address(n)))));
    let mut dispatches = Vec::new();
    for drawn in 0..30 {
        let ask = Ask { service: "app", prompt: None, cache_wall: "", tried: &[], drawn };
        let choice = choose(&view, &ask, ms(0)).expect("a target");
        dispatches.push(view.begin(&choice.target, 0));
    }
    assert!(view.live("app").all(|state| state.running == 10));
}
