//! Authentication between nodes: forged, reordered and replayed messages are rejected.

use kumquatpost::peer::PeerKey;
use kumquatpost::peer::auth::{CODE_BYTES, DatagramOpener, DatagramSealer, NotAuthentic};

fn key(material: &str) -> PeerKey {
    PeerKey::from_material(material.as_bytes())
}

#[test]
fn frames_are_accepted_only_in_order() {
    let nonces = ([1; 16], [2; 16]);
    let session = |material: &str| key(material).session(&nonces.0, &nonces.1, (1, 2));
    let (mut sender, _) = session("k");
    let codes: Vec<[u8; CODE_BYTES]> = (0..3).map(|n: u8| sender.seal(&[n; 5])).collect();
    type Case = (&'static str, fn(&[[u8; CODE_BYTES]]) -> ([u8; 5], [u8; CODE_BYTES]));
    let second_frame_cases: [Case; 4] = [
        ("replayed", |codes| ([0; 5], codes[0])),
        ("skipped", |codes| ([2; 5], codes[2])),
        ("changed", |codes| ([9; 5], codes[1])),
        ("wrong code", |_| ([1; 5], [0; CODE_BYTES])),
    ];
    for (case_name, case) in second_frame_cases {
        let (mut receiver, _) = session("k");
        assert_eq!(receiver.open(&[0; 5], &codes[0]), Ok(()));
        let (body, code) = case(&codes);
        assert_eq!(receiver.open(&body, &code), Err(NotAuthentic), "{case_name}");
        assert_eq!(
            receiver.open(&[1; 5], &codes[1]),
            Ok(()),
            "{case_name}: the expected frame must still be accepted"
        );
    }
    let (mut other_key, mut other_direction) = (session("x").0, session("k").1);
    assert_eq!(other_key.open(&[0; 5], &codes[0]), Err(NotAuthentic));
    assert_eq!(other_direction.open(&[0; 5], &codes[0]), Err(NotAuthentic));
    let mut other_session = key("k").session(&nonces.0, &[3; 16], (1, 2)).0;
    assert_eq!(other_session.open(&[0; 5], &codes[0]), Err(NotAuthentic));
    let mut other_node = key("k").session(&nonces.0, &nonces.1, (3, 2)).0;
    assert_eq!(other_node.open(&[0; 5], &codes[0]), Err(NotAuthentic));
}

#[test]
fn a_datagram_is_accepted_once_and_only_by_its_receiver() {
    let mut sealer = DatagramSealer::new(key("k"), 1, 100);
    let datagrams: Vec<Vec<u8>> = (0..100).map(|n: u8| sealer.seal(2, &[n])).collect();
    let mut opener = DatagramOpener::new(key("k"), 2);
    // Datagrams may be reordered within the window; each is accepted once.
    for number in [0, 3, 1, 2, 99, 98] {
        assert_eq!(opener.open(&datagrams[number]), Ok((1, &[number as u8][..])));
    }
    for number in [0, 1, 2, 3, 98, 99] {
        assert_eq!(opener.open(&datagrams[number]), Err(NotAuthentic), "{number} again");
    }
    assert_eq!(opener.open(&datagrams[10]), Err(NotAuthentic), "older than the window");
    let mut changed = datagrams[97].clone();
    changed[32] ^= 1;
    assert_eq!(opener.open(&changed), Err(NotAuthentic));
    assert_eq!(opener.open(&datagrams[97][..20]), Err(NotAuthentic));
    assert!(DatagramOpener::new(key("k"), 3).open(&datagrams[0]).is_err(), "for another node");
    assert!(DatagramOpener::new(key("x"), 2).open(&datagrams[0]).is_err(), "another key");
    // After a restart of the sender, datagrams from before it are rejected.
    let mut restarted = DatagramSealer::new(key("k"), 1, 101);
    assert!(opener.open(&restarted.seal(2, b"new")).is_ok());
    assert_eq!(opener.open(&datagrams[97]), Err(NotAuthentic));
}
