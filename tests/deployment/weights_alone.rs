//! Named weights where an entry places a prompt without the scheduler, over loopback.
//!
//! Guards against prompts that begin on older weights more than 6 s after newer ones were named.

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
use crate::stand_in::{AfterAnswer, StandIn, header};

/// A time since the naming after which the named weights must be in use.
const PAST_BOUND: Duration = Duration::from_millis(11_930);

fn observe_named_weights(entry: &Entry, version: u64, age: Duration) {
    let named = BTreeMap::from([("m".to_string(), vec![NamedWeights { version, age }])]);
    entry.gateway.observe(Update::Weights(named)).expect("a valid update");
}

fn engine(id: &str, stand_in: &StandIn, weights: u64) -> Listed {
    let mut engine = target(id, "llm", stand_in.address);
    engine.weights.insert("m".to_string(), weights);
    engine
}

/// Answers with a stream of one event.
fn one_event_stream(text: &str) -> (String, AfterAnswer) {
    (event_stream(&[&format!("id: 1\ndata: {text}\n\n")], true), AfterAnswer::KeepOpen)
}

fn weight_mismatch(extra_headers: &str) -> (String, AfterAnswer) {
    let refusal = format!(
        "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {{id}}\r\nX-Not-Run: 1\r\n{extra_headers}\
         Content-Length: 0\r\n\r\n"
    );
    (refusal, AfterAnswer::KeepOpen)
}

fn expect_version_header(stand_in: &StandIn, request: usize) -> Option<String> {
    header(&stand_in.requests.borrow()[request], "x-expect-version")
}

#[test]
fn an_entry_without_scheduler_refuses_old_weights_past_the_bound() {
    run_local(async {
        let old = StandIn::start(vec![one_event_stream("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        observe_named_weights(&entry, 2, PAST_BOUND);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(got.status, 503, "{}", got.text);
        assert!(header(&got.text, "retry-after").is_some(), "{}", got.text);
        assert_eq!(old.request_count(), 0, "a refused prompt must not reach the engine");
    });
}

/// Guards against trusting the roster, which may be out of date: the engine checks the version itself.
#[test]
fn a_prompt_placed_without_scheduler_sends_the_expected_weight_version() {
    run_local(async {
        let first = vec![weight_mismatch("X-Weight-Versions: 1\r\n")];
        let others = vec![one_event_stream("a"), one_event_stream("b")];
        let (entry, one, two) = entry_with_two_targets("llm", first, others).await;
        entry.observe_targets(2, vec![engine("i-1", &one, 2), engine("i-2", &two, 2)]);
        observe_named_weights(&entry, 2, PAST_BOUND);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(expect_version_header(&one, 0).as_deref(), Some("2"));
        assert!(got.text.contains("data: a\n\n"), "{}", got.text);
        assert_eq!(expect_version_header(&two, 0).as_deref(), Some("2"));
        let got = entry.call_with("/stream/", "r2", PROMPT).await;
        assert!(got.text.contains("data: b\n\n"), "{}", got.text);
        assert_eq!(
            (one.request_count(), two.request_count()),
            (1, 2),
            "the entry must remember the version that an engine reported"
        );
    });
}

#[test]
fn old_weights_are_allowed_within_the_bound_and_sent_as_expected_version() {
    run_local(async {
        let old = StandIn::start(vec![one_event_stream("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        observe_named_weights(&entry, 2, ms(1_000));
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(got.status, 200, "{}", got.text);
        assert_eq!(expect_version_header(&old, 0).as_deref(), Some("1"));
    });
}

/// Guards against a replica that learned of the naming late or has restarted, and so reports a lower age.
#[test]
fn the_earliest_of_several_naming_times_applies() {
    run_local(async {
        let old = StandIn::start(vec![one_event_stream("a")]).await;
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        observe_named_weights(&entry, 2, PAST_BOUND);
        observe_named_weights(&entry, 2, ms(0));
        observe_named_weights(&entry, 1, ms(0));
        assert_eq!(entry.call_with("/stream/", "r1", PROMPT).await.status, 503);
        assert_eq!(old.request_count(), 0);
    });
}

/// Guards against an engine whose bound starts anew with every further naming.
#[test]
fn the_bound_counts_from_the_first_weights_that_an_engine_lacks() {
    run_local(async {
        let (old, newer) =
            (StandIn::start(vec![]).await, StandIn::start(vec![one_event_stream("a")]).await);
        let entry =
            start_entry(deployment_with_long_timeouts(), vec![engine("i-1", &old, 1)]).await;
        observe_named_weights(&entry, 2, PAST_BOUND);
        observe_named_weights(&entry, 3, ms(1_000));
        assert_eq!(entry.call_with("/stream/", "r1", PROMPT).await.status, 503);
        entry.observe_targets(2, vec![engine("i-1", &old, 1), engine("i-2", &newer, 2)]);
        assert_eq!(entry.call_with("/stream/", "r2", PROMPT).await.status, 200);
        assert_eq!((old.request_count(), newer.request_count()), (0, 1));
    });
}
