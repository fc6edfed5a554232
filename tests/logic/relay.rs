//! Relaying an answer: only its own chunks, in order, to the end mark, never two mixed.

use kumquatpost::entry::relay::{Fault, Relay};
use kumquatpost::upstream::chat::{ApiFormat, Chunk, Usage};

fn text(id: &str, text: &str) -> String {
    Chunk { id: id.into(), text: text.into(), ..Chunk::default() }.to_json(ApiFormat::Chat, "m", 0)
}

fn last(id: &str, text: &str) -> String {
    let finish = Some("stop".into());
    Chunk { id: id.into(), text: text.into(), finish, usage: None }.to_json(ApiFormat::Chat, "m", 0)
}

fn usage(id: &str) -> String {
    let usage = Some(Usage::default());
    Chunk { id: id.into(), usage, ..Chunk::default() }.to_json(ApiFormat::Chat, "m", 0)
}

const DONE: &str = "[DONE]";

/// Feeds events; returns the text that went to the caller, and the first fault.
fn feed(relay: &mut Relay, events: &[String]) -> (String, Option<Fault>) {
    let mut sent = String::new();
    for event in events {
        match relay.take(event) {
            Ok(new) => sent.push_str(&new.unwrap_or_default()),
            Err(fault) => return (sent, Some(fault)),
        }
    }
    (sent, None)
}

#[test]
fn streams_are_whole_or_given_up() {
    let crossed = |id: &str| Some(Fault::Crossed { id: id.into() });
    type Case = (&'static str, Vec<String>, &'static str, Option<Fault>, bool);
    let cases: Vec<Case> = vec![
        (
            "whole",
            vec![text("r.1", "a "), last("r.1", "b"), usage("r.1"), DONE.into()],
            "a b",
            None,
            true,
        ),
        ("broken off", vec![text("r.1", "a ")], "a ", None, false),
        (
            "no end mark",
            vec![text("r.1", "a "), last("r.1", "b"), usage("r.1")],
            "a b",
            None,
            false,
        ),
        (
            "end mark too early",
            vec![text("r.1", "a "), DONE.into()],
            "a ",
            Some(Fault::OutOfOrder),
            false,
        ),
        (
            "another request's",
            vec![text("r.1", "a "), text("s.1", "x")],
            "a ",
            crossed("s.1"),
            false,
        ),
        ("an earlier attempt's", vec![text("r.0", "a ")], "", crossed("r.0"), false),
        (
            "more after its end",
            vec![last("r.1", "a"), text("r.1", "b")],
            "a",
            Some(Fault::OutOfOrder),
            false,
        ),
        (
            "more after the end mark",
            vec![last("r.1", "a"), DONE.into(), text("r.1", "b")],
            "a",
            Some(Fault::OutOfOrder),
            true,
        ),
    ];
    for (what, events, sent, fault, whole) in cases {
        let mut relay = Relay::default();
        relay.restart("r.1".into());
        assert_eq!(feed(&mut relay, &events), (sent.to_string(), fault), "{what}");
        assert_eq!(relay.is_whole(), whole, "{what}");
    }
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    assert!(matches!(relay.take("{"), Err(Fault::Unreadable { .. })));
    assert!(matches!(relay.take(r#"{"error": {"message": "x"}}"#), Err(Fault::Unreadable { .. })));
}

#[test]
fn a_restarted_answer_goes_on_only_where_it_repeats_what_was_sent() {
    let cases: [(&str, &[&str], &str, bool); 5] = [
        ("equal pieces", &["one ", "two ", "three"], "three", true),
        ("other pieces", &["o", "ne two th", "ree"], "three", true),
        ("in one piece", &["one two three"], "three", true),
        ("another text", &["one ", "TWO ", "three"], "", false),
        ("another text at its end", &["one two"], "", true),
    ];
    for (what, pieces, expected, repeats) in cases {
        let mut relay = Relay::default();
        relay.restart("r.1".into());
        feed(&mut relay, &[text("r.1", "one "), text("r.1", "two ")]);
        assert_eq!(relay.chunks(), 2);
        relay.restart("r.2".into());
        let events: Vec<String> = pieces.iter().map(|piece| text("r.2", piece)).collect();
        let (sent, fault) = feed(&mut relay, &events);
        assert_eq!(sent, expected, "{what}");
        assert_eq!(fault.is_none(), repeats, "{what}");
        assert!(fault.is_none() || fault == Some(Fault::Diverged), "{what}");
    }
}

#[test]
fn a_restarted_answer_that_ends_before_what_was_sent_is_not_whole() {
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    feed(&mut relay, &[text("r.1", "one "), text("r.1", "two ")]);
    relay.restart("r.2".into());
    let (sent, fault) = feed(&mut relay, &[last("r.2", "one "), DONE.into()]);
    assert_eq!((sent.as_str(), fault), ("", Some(Fault::OutOfOrder)));
    assert!(!relay.is_whole());
}

#[test]
fn a_resumed_stream_goes_on_where_it_broke() {
    let mut relay = Relay::default();
    relay.restart("r.1".into());
    feed(&mut relay, &[text("r.1", "one "), text("r.1", "two ")]);
    let rest = [last("r.1", "three"), usage("r.1"), DONE.into()];
    assert_eq!(feed(&mut relay, &rest), ("three".into(), None));
    assert!(relay.is_whole());
    assert_eq!(relay.text(), "one two three");
}
