//! Splitting of a response stream into complete events.

use bytes::Bytes;
use kumquatpost::gateway::events::{EventDetector, EventSplitter, MAX_EVENT_BYTES, Oversized};
use proptest::prelude::*;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\nx-weight-versions: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn partial_events_are_held_back() {
    let mut splitter = EventSplitter::default();
    let cases = [
        ("id: 1\nda", "", None),
        ("ta: a\n\nid: 2\n", "id: 1\ndata: a\n\n", Some("1")),
        ("data: b\n", "", Some("1")),
        ("\n", "id: 2\ndata: b\n\n", Some("2")),
        ("id:3\n\nid:4\n\n", "id:3\n\nid:4\n\n", Some("4")),
        ("data: no id\n\n", "data: no id\n\n", Some("4")),
    ];
    for (pushed, expected, last) in cases {
        let whole = splitter.push(&Bytes::from_static(pushed.as_bytes())).expect("it is small");
        assert_eq!(whole, expected, "{pushed:?}");
        assert_eq!(splitter.last_id(), last, "{pushed:?}");
    }
    assert!(!splitter.has_partial());
}

#[test]
fn a_discarded_partial_event_is_not_relayed() {
    let mut splitter = EventSplitter::default();
    splitter.push(&Bytes::from_static(b"id: 1\n\nid: 2\nda")).expect("it is small");
    assert!(splitter.has_partial());
    splitter.discard_partial();
    let whole = splitter.push(&Bytes::from_static(b"id: 2\n\n")).expect("it is small");
    assert_eq!(whole, "id: 2\n\n");
}

#[test]
fn an_oversized_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let long = Bytes::from(vec![b'x'; MAX_EVENT_BYTES * 6 / 10]);
    assert_eq!(splitter.push(&long), Ok(Bytes::new()));
    assert_eq!(splitter.push(&long), Err(Oversized));
}

proptest! {
    #[test]
    fn all_bytes_pass_in_order_for_any_chunking(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for pair in cuts.windows(2) {
            let piece = Bytes::copy_from_slice(&STREAM.as_bytes()[pair[0]..pair[1]]);
            let whole = splitter.push(&piece).expect("it is small");
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend_from_slice(&whole);
        }
        prop_assert_eq!(passed, STREAM.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some("3"));
    }

    #[test]
    fn the_first_event_is_found_for_any_chunking(pieces in prop::collection::vec("[:a\n]{0,3}", 0..12)) {
        let mut detector = EventDetector::default();
        let mut read = String::new();
        for piece in pieces {
            read += &piece;
            let whole = read.rfind("\n\n").map_or("", |end| &read[..end]);
            let is_event = |line: &str| !line.is_empty() && !line.starts_with(':');
            let has_event = whole.split('\n').any(is_event);
            prop_assert_eq!(detector.has_event(read.as_bytes()), has_event, "{:?}", read);
            if has_event {
                break;
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..16)) {
        let mut splitter = EventSplitter::default();
        for piece in pieces {
            let _ = splitter.push(&Bytes::from(piece));
        }
    }
}
