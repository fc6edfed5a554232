//! An entry in front of scripted targets that are all silent at once.

use std::time::Duration;

use kumquatpost::deployment::Deployment;

use crate::fixtures::target;
use crate::gateway::{
    Entry, PROMPT, entry_with_two_targets, event_stream, eventually, ok_response,
    prefer_other_targets, run_local, start_entry,
};
use crate::silent_targets::{
    NOT_RUN, SILENCE, assert_whole_stream, configure, short_gaps, silent_before_the_head,
    silent_between_events, whole_stream,
};
use crate::stand_in::{AfterAnswer, Script, StandIn};

const FIRST_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const LAST_EVENT: &str = "id: 3\ndata: c\n\n";
/// Longer than the other silences, so that a target that is silent for this long has shown nothing when
/// the others go on.
const LONGEST_SILENCE: Duration = Duration::from_secs(3);
const SERVER_ERROR: &str = "HTTP/1.1 500 Failed\r\nX-Request-Id: {id}\r\nX-Response-Stamp: s\r\n\
                            Content-Length: 6\r\n\r\nfailed";

fn full() -> Script {
    vec![(NOT_RUN.to_string(), AfterAnswer::KeepOpen); 9]
}

/// A target that is silent before it refuses the request.
fn silent_and_full() -> Script {
    silent_before_the_head(NOT_RUN.to_string())
}

/// A target that sends the head of a stream and falls silent before the first event.
fn silent_after_the_head() -> Script {
    vec![
        (event_stream(&[], false), AfterAnswer::ContinueAfter(LONGEST_SILENCE)),
        (String::new(), AfterAnswer::Close),
    ]
}

async fn entry_before(service: &str, first: Script, second: Script) -> (Entry, StandIn, StandIn) {
    let (entry, first, second) = entry_with_two_targets(service, first, second).await;
    configure(&entry, Deployment { version: 2, ..short_gaps() });
    (entry, first, second)
}

// Guards against a stream that is cut off because its silent target was given up for one that was silent
// as well and did not run the rest.
#[test]
fn a_stream_is_whole_if_the_target_that_was_to_take_it_over_is_silent_too() {
    for (name, second) in [("refuses", silent_and_full()), ("only a head", silent_after_the_head())]
    {
        run_local(async move {
            let (entry, first, second) = entry_before("llm", silent_between_events(), second).await;
            let got = entry.call_with("/resumable/", "r1", PROMPT).await;
            assert_whole_stream(name, &got);
            assert_eq!((first.request_count(), first.interrupted.get()), (1, 0), "{name}");
            assert_eq!(second.request_count(), 1, "{name}");
        });
    }
}

// Guards against the same where a third target is left, which does not run the rest either.
#[test]
fn a_stream_is_whole_if_another_target_is_silent_and_a_third_one_is_full() {
    run_local(async {
        let first = StandIn::start(silent_between_events()).await;
        let second = StandIn::start(silent_and_full()).await;
        let third = StandIn::start(full()).await;
        let listed = [(&first, "i-1"), (&second, "i-2"), (&third, "i-3")];
        let listed = listed.map(|(engine, id)| {
            let mut listed = target(id, "llm", engine.address);
            listed.slots = 48;
            listed
        });
        let mut deployment = short_gaps();
        deployment.routes.iter_mut().for_each(|route| route.attempts = 3);
        let entry = start_entry(deployment, listed.to_vec()).await;
        prefer_other_targets(&entry, "i-2");
        prefer_other_targets(&entry, "i-3");
        let got = entry.call_with("/resumable/", "r1", PROMPT).await;
        assert_whole_stream("three targets", &got);
        assert_eq!((first.request_count(), first.interrupted.get()), (1, 0));
    });
}

// Guards against a request that is answered with 502 because its silent target was given up for one that
// was silent as well and did not run it.
#[test]
fn a_request_is_answered_if_the_target_that_was_to_replace_its_own_is_silent_too() {
    let (stream, plain) = (whole_stream(), ok_response("done"));
    for (path, service, answer, other) in [
        ("/resumable/", "llm", stream.clone(), silent_and_full()),
        ("/resumable/", "llm", stream, silent_after_the_head()),
        ("/safe/", "app", plain, silent_and_full()),
    ] {
        run_local(async move {
            let (entry, first, _second) =
                entry_before(service, silent_before_the_head(answer), other).await;
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_eq!(got.status, 200, "{path}: {}", got.text);
            assert!(got.text.ends_with("done") || got.text.ends_with("0\r\n\r\n"), "{}", got.text);
            assert_eq!((first.request_count(), first.interrupted.get()), (1, 0), "{path}");
        });
    }
}

// Guards against a request that gets the server error of another target although its own, silent one answers
// it.
#[test]
fn a_request_is_answered_by_its_silent_target_if_the_other_one_fails() {
    let (stream, plain) = (whole_stream(), ok_response("done"));
    for (path, service, answer) in [("/resumable/", "llm", stream), ("/safe/", "app", plain)] {
        run_local(async move {
            let failing = vec![(SERVER_ERROR.to_string(), AfterAnswer::KeepOpen); 9];
            let (entry, first, second) =
                entry_before(service, silent_before_the_head(answer), failing).await;
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_eq!(got.status, 200, "{path}: {}", got.text);
            assert_eq!((first.request_count(), first.interrupted.get()), (1, 0), "{path}");
            assert_eq!(second.request_count(), 1, "{path}");
        });
    }
}

// Guards against a failure of the entry's own in place of the server error that a target gave, if the silent
// target breaks off.
#[test]
fn a_request_gets_the_answer_of_another_target_if_its_silent_one_breaks_off() {
    run_local(async {
        let failing = vec![(SERVER_ERROR.to_string(), AfterAnswer::KeepOpen); 9];
        let breaking = vec![
            (String::new(), AfterAnswer::ContinueAfter(SILENCE)),
            (String::new(), AfterAnswer::Close),
        ];
        let (entry, _first, second) = entry_before("app", breaking, failing).await;
        let got = entry.call("/safe/", "r1").await;
        assert!(got.status == 500 && got.text.ends_with("failed"), "{}", got.text);
        assert_eq!(second.request_count(), 1);
    });
}

// Guards against a stream that stays at targets that are silent for good although a third one would go on
// with it.
#[test]
fn a_stream_goes_on_at_a_third_target_if_two_are_silent_for_good() {
    let hang = (event_stream(&[FIRST_EVENTS], false), AfterAnswer::Hang);
    let late = (String::new(), AfterAnswer::Hang);
    for (name, first, second) in [
        ("between events", hang, (event_stream(&[], false), AfterAnswer::Hang)),
        ("before the head", late.clone(), late),
    ] {
        run_local(async move {
            let rest = match name {
                "between events" => event_stream(&[LAST_EVENT], true),
                _ => whole_stream(),
            };
            let engines =
                StandIn::start_group(3, vec![first, second, (rest, AfterAnswer::KeepOpen)]).await;
            let listed = engines.iter().enumerate();
            let listed = listed.map(|(n, engine)| target(&format!("i-{n}"), "llm", engine.address));
            let mut deployment = short_gaps();
            deployment.routes.iter_mut().for_each(|route| route.attempts = 3);
            let entry = start_entry(deployment, listed.collect()).await;
            let got = entry.call_with("/resumable/", "r1", PROMPT).await;
            assert_whole_stream(name, &got);
            let interrupted = || engines.iter().map(|engine| engine.interrupted.get()).sum::<u32>();
            eventually(|| interrupted() == 2).await;
        });
    }
}
