//! Authentication between nodes: forged, reordered and replayed messages are rejected.

use kumquatpost::peer::PeerKey;
use kumquatpost::peer::auth::{AuthError, DatagramSigner, DatagramVerifier, TAG_BYTES};

fn key(material: &str) -> PeerKey {
    PeerKey::from_material(material.as_bytes())
}

#[test]
fn frames_are_accepted_only_in_order() {
    let nonces = ([1; 16], [2; 16]);
    let session = |material: &str| key(material).session_keys(&nonces.0, &nonces.1, (1, 2));
    let (mut sender, _) = session("k");
    let codes: Vec<[u8; TAG_BYTES]> = (0..3).map(|n: u8| sender.sign(&[n; 5])).collect();
    type Case = (&'static str, fn(&[[u8; TAG_BYTES]]) -> ([u8; 5], [u8; TAG_BYTES]));
    let second_frame_cases: [Case; 4] = [
        ("replayed", |codes| ([0; 5], codes[0])),
        ("skipped", |codes| ([2; 5], codes[2])),
        ("changed", |codes| ([9; 5], codes[1])),
        ("wrong code", |_| ([1; 5], [0; TAG_BYTES])),
    ];
    for (case_name, case) in second_frame_cases {
        let (mut receiver, _) = session("k");
        assert_eq!(receiver.verify(&[0; 5], &codes[0]), Ok(()));
        let (body, code) = case(&codes);
        assert_eq!(receiver.verify(&body, &code), Err(AuthError), "{case_name}");
        assert_eq!(
            receiver.verify(&[1; 5], &codes[1]),
            Ok(()),
            "{case_name}: the expected frame must still be accepted"
        );
    }
    let (mut other_key, mut other_direction) = (session("x").0, session("k").1);
    assert_eq!(other_key.verify(&[0; 5], &codes[0]), Err(AuthError));
    assert_eq!(other_direction.verify(&[0; 5], &codes[0]), Err(AuthError));
    let mut other_session = key("k").session_keys(&nonces.0, &[3; 16], (1, 2)).0;
    assert_eq!(other_session.verify(&[0; 5], &codes[0]), Err(AuthError));
    let mut other_node = key("k").session_keys(&nonces.0, &nonces.1, (3, 2)).0;
    assert_eq!(other_node.verify(&[0; 5], &codes[0]), Err(AuthError));
}

#[test]
fn a_datagram_is_accepted_once_and_only_by_its_receiver() {
    let mut signer = DatagramSigner::new(key("k"), 1, 100);
    let datagrams: Vec<Vec<u8>> = (0..100).map(|n: u8| signer.sign(2, &[n])).collect();
    let mut verifier = DatagramVerifier::new(key("k"), 2);
    // Datagrams may be reordered within the window; each is accepted once.
    for number in [0, 3, 1, 2, 99, 98] {
        assert_eq!(verifier.verify(&datagrams[number]), Ok((1, &[number as u8][..])));
    }
    for number in [0, 1, 2, 3, 98, 99] {
        assert_eq!(verifier.verify(&datagrams[number]), Err(AuthError), "{number} again");
    }
    assert_eq!(verifier.verify(&datagrams[10]), Err(AuthError), "older than the window");
    let mut changed = datagrams[97].clone();
    changed[32] ^= 1;
    assert_eq!(verifier.verify(&changed), Err(AuthError));
    assert_eq!(verifier.verify(&datagrams[97][..20]), Err(AuthError));
    assert!(DatagramVerifier::new(key("k"), 3).verify(&datagrams[0]).is_err(), "for another node");
    assert!(DatagramVerifier::new(key("x"), 2).verify(&datagrams[0]).is_err(), "another key");
    // After a restart of the sender, datagrams from before it are rejected.
    let mut restarted = DatagramSigner::new(key("k"), 1, 101);
    assert!(verifier.verify(&restarted.sign(2, b"new")).is_ok());
    assert_eq!(verifier.verify(&datagrams[97]), Err(AuthError));
}
