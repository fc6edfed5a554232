//! Claims: a request that is not repeatable runs at most once.

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

/// An operation on a claim by a node; `Claim` also has the digest and the time in milliseconds.
#[derive(Clone, Copy)]
enum Step {
    Claim(u64, [u8; 16], u64),
    Release(u64),
    Record(u64),
}

const DIGEST_A: [u8; 16] = [1; 16];
const DIGEST_B: [u8; 16] = [2; 16];

#[test]
fn at_most_one_claimant_may_run_a_request() {
    use ClaimResult::{Granted, Held, IdReused, Ran, Withdrawn};
    let held = |node| Held(token(node, 0));
    let cases: Vec<(&str, Vec<Step>, ClaimResult)> = vec![
        ("the first claim", vec![Step::Claim(1, DIGEST_A, 0)], Granted),
        (
            "resent by the same claimant",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Claim(1, DIGEST_A, 1)],
            Granted,
        ),
        (
            "a second claimant",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Claim(2, DIGEST_A, 1)],
            held(1),
        ),
        ("other content", vec![Step::Claim(1, DIGEST_A, 0), Step::Claim(2, DIGEST_B, 1)], IdReused),
        (
            "after a release",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Release(1), Step::Claim(2, DIGEST_A, 1)],
            Granted,
        ),
        (
            "other content after a release",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Release(1), Step::Claim(2, DIGEST_B, 1)],
            Granted,
        ),
        (
            "a release by another node",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Release(3), Step::Claim(2, DIGEST_A, 1)],
            held(1),
        ),
        (
            "a claim that comes after its release",
            vec![Step::Release(1), Step::Claim(1, DIGEST_A, 1)],
            Withdrawn,
        ),
        (
            "after the outcome",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Record(1), Step::Claim(2, DIGEST_A, 1)],
            Ran(outcome()),
        ),
        (
            "a release after the outcome",
            vec![
                Step::Claim(1, DIGEST_A, 0),
                Step::Record(1),
                Step::Release(1),
                Step::Claim(2, DIGEST_A, 1),
            ],
            Ran(outcome()),
        ),
        (
            "an outcome after the release",
            vec![
                Step::Claim(1, DIGEST_A, 0),
                Step::Release(1),
                Step::Record(1),
                Step::Claim(2, DIGEST_A, 1),
            ],
            Granted,
        ),
        (
            "within the retention time",
            vec![Step::Claim(1, DIGEST_A, 0), Step::Claim(2, DIGEST_A, RETENTION_MS)],
            held(1),
        ),
        (
            "a clock that was set back",
            vec![Step::Claim(1, DIGEST_A, 500), Step::Claim(2, DIGEST_A, 0)],
            held(1),
        ),
    ];
    for (case_name, steps, expected) in cases {
        let mut claims = Claims::new(RETENTION_MS);
        let key = key("anna", "order-1");
        let mut last = None;
        for step in steps {
            match step {
                Step::Claim(node, digest, at_ms) => {
                    last = Some(claims.claim(key.clone(), digest, token(node, 0), at_ms));
                }
                Step::Release(node) => {
                    claims.release(&key, token(node, 0));
                }
                Step::Record(node) => {
                    claims.record(&key, token(node, 0), outcome());
                }
            }
        }
        assert_eq!(last, Some(expected), "{case_name}");
    }
}

#[test]
fn accounts_have_separate_request_ids() {
    let mut claims = Claims::new(RETENTION_MS);
    assert_eq!(claims.claim(key("anna", "1"), DIGEST_A, token(1, 0), 0), ClaimResult::Granted);
    assert_eq!(claims.claim(key("bibek", "1"), DIGEST_B, token(2, 0), 0), ClaimResult::Granted);
}

#[test]
fn expired_claims_are_removed() {
    let mut claims = Claims::new(RETENTION_MS);
    for number in 0..100 {
        claims.claim(key("anna", &number.to_string()), DIGEST_A, token(1, number), number * 100);
    }
    assert_eq!(claims.len(), 11, "only those within the retention time");
}
