//! Named weights where an entry places a prompt without the scheduler, over loopback.
//!
//! What was seen: 11.9 s after newer weights of a model had been named, a prompt began on the older
//! ones at an engine that still ran them, in seconds without any fault at the replicas. The bound is
//! 6 s.
//! How it came about: the scheduler's answer was late, so the entry decided alone, as it also does
//! while it knows no scheduler.
//! What caused it: entries were not told which weights were named, and sent such prompts without the
//! version that the engine must run.
//! What proved it: an entry alone before one engine with the older weights, below.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatpost::control::frames::Update;
use kumquatpost::fleet::Listed;
use kumquatpost::scheduler::weights::NamedWeights;

use crate::fixtures::{ms, target};
use crate::gateway::{
    Entry, PROMPT, deployment_with_long_timeouts, entry_with_two_targets, event_stream, run_local,
    start_entry,
};
use crate::stand_in::{StandIn, Then, header};

/// How long after the naming the prompt began on older weights.
const SEEN_AFTER: Duration = Duration::from_millis(11_930);

fn hears_named(entry: &Entry, version: u64, age: Duration) {
    let named = BTreeMap::from([("m".to_string(), vec![NamedWeights { version, age }])]);
    entry.gateway.observe(Update::Weights(named)).expect("it is whole");
}

fn engine(id: &str, stand_in: &StandIn, weights: u64) -> Listed {
    let mut engine = target(id, "llm", stand_in.address);
    engine.weights.insert("m".to_string(), weights);
    engine
}

/// A stream of one event.
fn streams(text: &str) -> (String, Then) {
    (event_stream(&[&format!("id: 1\ndata: {text}\n\n")], true), Then::KeepOpen)
}

fn refuses_weights(extra: &str) -> (String, Then) {
    let refusal = format!(
        "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {{id}}\r\nX-Not-Run: 1\r\n{extra}\
         Content-Length: 0\r\n\r\n"
    );
    (refusal, Then::KeepOpen)
}

fn expected_weights(stand_in: &StandIn, request: usize) -> Option<String> {
    header(&stand_in.requests.borrow()[request], "x-expect-version")
}

#[test]
fn an_entry_alone_begins_no_prompt_on_old_weights_once_newer_ones_must_be_in_force() {
    run_local(async {
        let old = StandIn::start(vec![streams("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        hears_named(&entry, 2, SEEN_AFTER);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(got.status, 503, "{}", got.text);
        assert!(header(&got.text, "retry-after").is_some(), "{}", got.text);
        assert_eq!(old.seen(), 0, "what is refused has not run");
    });
}

/// The list may be late, and an engine that starts again has the weights that it had before: only the
/// engine knows what it runs.
#[test]
fn a_prompt_that_an_entry_places_alone_names_the_weights_that_it_was_placed_for() {
    run_local(async {
        let first = vec![refuses_weights("X-Weight-Versions: 1\r\n")];
        let others = vec![streams("a"), streams("b")];
        let (entry, one, two) = entry_with_two_targets("llm", first, others).await;
        entry.observe_targets(2, vec![engine("i-1", &one, 2), engine("i-2", &two, 2)]);
        hears_named(&entry, 2, SEEN_AFTER);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(expected_weights(&one, 0).as_deref(), Some("2"));
        assert!(got.text.contains("data: a\n\n"), "{}", got.text);
        assert_eq!(expected_weights(&two, 0).as_deref(), Some("2"));
        let got = entry.call_with("/stream/", "r2", PROMPT).await;
        assert!(got.text.contains("data: b\n\n"), "{}", got.text);
        assert_eq!((one.seen(), two.seen()), (1, 2), "what it said of itself is kept in mind");
    });
}

#[test]
fn a_prompt_may_begin_on_old_weights_within_the_bound_and_names_them() {
    run_local(async {
        let old = StandIn::start(vec![streams("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        hears_named(&entry, 2, ms(1_000));
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(got.status, 200, "{}", got.text);
        assert_eq!(expected_weights(&old, 0).as_deref(), Some("1"));
    });
}

/// One replica has heard of the naming late, or has started again since.
#[test]
fn of_several_times_of_a_naming_the_earliest_holds() {
    run_local(async {
        let old = StandIn::start(vec![streams("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        hears_named(&entry, 2, SEEN_AFTER);
        hears_named(&entry, 2, ms(0));
        hears_named(&entry, 1, ms(0));
        assert_eq!(entry.call_with("/stream/", "r1", PROMPT).await.status, 503);
        assert_eq!(old.seen(), 0);
    });
}

/// An engine that still runs weights 1 has missed weights 2, which were named long ago.
#[test]
fn an_entry_alone_counts_from_the_first_weights_that_an_engine_has_missed() {
    run_local(async {
        let (old, newer) = (StandIn::start(vec![]).await, StandIn::start(vec![streams("a")]).await);
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        hears_named(&entry, 2, SEEN_AFTER);
        hears_named(&entry, 3, ms(1_000));
        assert_eq!(entry.call_with("/stream/", "r1", PROMPT).await.status, 503);
        entry.observe_targets(2, vec![engine("i-1", &old, 1), engine("i-2", &newer, 2)]);
        assert_eq!(entry.call_with("/stream/", "r2", PROMPT).await.status, 200);
        assert_eq!((old.seen(), newer.seen()), (0, 1));
    });
}
