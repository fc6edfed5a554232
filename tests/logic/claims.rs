//! Claims: a request marked not repeatable runs at most once.

use kumquatpost::claims::{ClaimKey, ClaimResult, ClaimToken, Claims, Outcome};

const RETENTION_MS: u64 = 1_000;

fn key(account: &str, id: &str) -> ClaimKey {
    ClaimKey { account: account.into(), request_id: id.into() }
}

fn token(node: u64, count: u64) -> ClaimToken {
    ClaimToken { node, boot: 1, count }
}

fn outcome() -> Outcome {
    Outcome { status: 200, content_type: "text/plain".into(), body: Some(b"done".to_vec()) }
}

/// What happens to a claim, in order.
#[derive(Clone, Copy)]
enum Do {
    Claim(u64, [u8; 16], u64),
    Release(u64),
    Record(u64),
}

const A: [u8; 16] = [1; 16];
const B: [u8; 16] = [2; 16];

#[test]
fn at_most_one_claimer_may_run_a_request() {
    use ClaimResult::{Granted, Held, IdReused, Ran, Withdrawn};
    let held = |node| Held(token(node, 0));
    let cases: Vec<(&str, Vec<Do>, ClaimResult)> = vec![
        ("the first", vec![Do::Claim(1, A, 0)], Granted),
        ("resent by the same claimer", vec![Do::Claim(1, A, 0), Do::Claim(1, A, 1)], Granted),
        ("a second one", vec![Do::Claim(1, A, 0), Do::Claim(2, A, 1)], held(1)),
        ("other content", vec![Do::Claim(1, A, 0), Do::Claim(2, B, 1)], IdReused),
        ("after a release", vec![Do::Claim(1, A, 0), Do::Release(1), Do::Claim(2, A, 1)], Granted),
        (
            "other content after a release",
            vec![Do::Claim(1, A, 0), Do::Release(1), Do::Claim(2, B, 1)],
            Granted,
        ),
        (
            "a release by somebody else",
            vec![Do::Claim(1, A, 0), Do::Release(3), Do::Claim(2, A, 1)],
            held(1),
        ),
        (
            "a claim that comes after its release",
            vec![Do::Release(1), Do::Claim(1, A, 1)],
            Withdrawn,
        ),
        (
            "after the outcome",
            vec![Do::Claim(1, A, 0), Do::Record(1), Do::Claim(2, A, 1)],
            Ran(outcome()),
        ),
        (
            "a release after the outcome",
            vec![Do::Claim(1, A, 0), Do::Record(1), Do::Release(1), Do::Claim(2, A, 1)],
            Ran(outcome()),
        ),
        (
            "an outcome after the release",
            vec![Do::Claim(1, A, 0), Do::Release(1), Do::Record(1), Do::Claim(2, A, 1)],
            Granted,
        ),
        (
            "within the retention time",
            vec![Do::Claim(1, A, 0), Do::Claim(2, A, RETENTION_MS)],
            held(1),
        ),
        ("a clock that was set back", vec![Do::Claim(1, A, 500), Do::Claim(2, A, 0)], held(1)),
    ];
    for (what, steps, expected) in cases {
        let mut claims = Claims::new(RETENTION_MS);
        let key = key("anna", "order-1");
        let mut last = None;
        for step in steps {
            match step {
                Do::Claim(node, digest, at_ms) => {
                    last = Some(claims.claim(key.clone(), digest, token(node, 0), at_ms));
                }
                Do::Release(node) => {
                    claims.release(&key, token(node, 0));
                }
                Do::Record(node) => {
                    claims.record(&key, token(node, 0), outcome());
                }
            }
        }
        assert_eq!(last, Some(expected), "{what}");
    }
}

#[test]
fn accounts_do_not_share_ids() {
    let mut claims = Claims::new(RETENTION_MS);
    assert_eq!(claims.claim(key("anna", "1"), A, token(1, 0), 0), ClaimResult::Granted);
    assert_eq!(claims.claim(key("bibek", "1"), B, token(2, 0), 0), ClaimResult::Granted);
}

#[test]
fn old_claims_are_forgotten_and_take_no_room() {
    let mut claims = Claims::new(RETENTION_MS);
    for number in 0..100 {
        claims.claim(key("anna", &number.to_string()), A, token(1, number), number * 100);
    }
    assert_eq!(claims.len(), 11, "those of the last second");
}
