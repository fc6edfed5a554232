//! Relaying an answer: only chunks of the current attempt, in order, up to the end mark.

use kumquatpost::http_api::relay::{Relay, StreamError};
use kumquatpost::upstream::chat::{ApiFormat, Chunk, Usage};

fn text_event(id: &str, text: &str) -> String {
    Chunk { id: id.into(), text: text.into(), ..Chunk::default() }.to_json(ApiFormat::Chat, "m", 0)
}

fn final_event(id: &str, text: &str) -> String {
    let finish = Some("stop".into());
    Chunk { id: id.into(), text: text.into(), finish, usage: None }.to_json(ApiFormat::Chat, "m", 0)
}

fn usage_event(id: &str) -> String {
    let usage = Some(Usage::default());
    Chunk { id: id.into(), usage, ..Chunk::default() }.to_json(ApiFormat::Chat, "m", 0)
}

const DONE: &str = "[DONE]";

/// Feeds events until the first fault; returns the text sent to the caller, and the fault.
fn feed(relay: &mut Relay, events: &[String]) -> (String, Option<StreamError>) {
    let mut sent = String::new();
    for event in events {
        match relay.process_event(event) {
            Ok(new) => sent.push_str(&new.unwrap_or_default()),
            Err(fault) => return (sent, Some(fault)),
        }
    }
    (sent, None)
}

#[test]
fn incomplete_or_interleaved_streams_are_detected() {
    let wrong_id = |id: &str| Some(StreamError::UnexpectedId { id: id.into() });
    type Case = (&'static str, Vec<String>, &'static str, Option<StreamError>, bool);
    let cases: Vec<Case> = vec![
        (
            "whole",
            vec![text_event("r.1", "a "), final_event("r.1", "b"), usage_event("r.1"), DONE.into()],
            "a b",
            None,
            true,
        ),
        ("broken off", vec![text_event("r.1", "a ")], "a ", None, false),
        (
            "no end mark",
            vec![text_event("r.1", "a "), final_event("r.1", "b"), usage_event("r.1")],
            "a b",
            None,
            false,
        ),
        (
            "end mark too early",
            vec![text_event("r.1", "a "), DONE.into()],
            "a ",
            Some(StreamError::OutOfOrder),
            false,
        ),
        (
            "another request's",
            vec![text_event("r.1", "a "), text_event("s.1", "x")],
            "a ",
            wrong_id("s.1"),
            false,
        ),
        ("an earlier attempt's", vec![text_event("r.0", "a ")], "", wrong_id("r.0"), false),
        (
            "more after its end",
            vec![final_event("r.1", "a"), text_event("r.1", "b")],
            "a",
            Some(StreamError::OutOfOrder),
            false,
        ),
        (
            "more after the end mark",
            vec![final_event("r.1", "a"), DONE.into(), text_event("r.1", "b")],
            "a",
            Some(StreamError::OutOfOrder),
            true,
        ),
    ];
    for (case_name, events, sent, fault, whole) in cases {
        let mut relay = Relay::default();
        relay.restart("r.1".into());
        assert_eq!(feed(&mut relay, &events), (sent.to_string(), fault), "{case_name}");
        assert_eq!(relay.is_complete(), whole, "{case_name}");
    }
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    assert!(matches!(relay.process_event("{"), Err(StreamError::Malformed { .. })));
    assert!(matches!(
        relay.process_event(r#"{"error": {"message": "x"}}"#),
        Err(StreamError::Malformed { .. })
    ));
}

#[test]
fn a_restarted_answer_continues_only_if_it_repeats_what_was_sent() {
    let cases: [(&str, &[&str], &str, bool); 5] = [
        ("equal pieces", &["one ", "two ", "three"], "three", true),
        ("other pieces", &["o", "ne two th", "ree"], "three", true),
        ("in one piece", &["one two three"], "three", true),
        ("another text", &["one ", "TWO ", "three"], "", false),
        ("another text at its end", &["one two"], "", true),
    ];
    for (case_name, chunks, expected, repeats) in cases {
        let mut relay = Relay::default();
        relay.restart("r.1".into());
        feed(&mut relay, &[text_event("r.1", "one "), text_event("r.1", "two ")]);
        assert_eq!(relay.text_chunks(), 2);
        relay.restart("r.2".into());
        let events: Vec<String> = chunks.iter().map(|chunk| text_event("r.2", chunk)).collect();
        let (sent, fault) = feed(&mut relay, &events);
        assert_eq!(sent, expected, "{case_name}");
        assert_eq!(fault.is_none(), repeats, "{case_name}");
        assert!(fault.is_none() || fault == Some(StreamError::Diverged), "{case_name}");
    }
}

#[test]
fn a_restarted_answer_that_is_shorter_than_what_was_sent_is_not_whole() {
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    feed(&mut relay, &[text_event("r.1", "one "), text_event("r.1", "two ")]);
    relay.restart("r.2".into());
    let (sent, fault) = feed(&mut relay, &[final_event("r.2", "one "), DONE.into()]);
    assert_eq!((sent.as_str(), fault), ("", Some(StreamError::OutOfOrder)));
    assert!(!relay.is_complete());
}

#[test]
fn a_resumed_stream_continues_where_it_broke_off() {
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    feed(&mut relay, &[text_event("r.1", "one "), text_event("r.1", "two ")]);
    let rest = [final_event("r.1", "three"), usage_event("r.1"), DONE.into()];
    assert_eq!(feed(&mut relay, &rest), ("three".into(), None));
    assert!(relay.is_complete());
    assert_eq!(relay.sent_text(), "one two three");
}
