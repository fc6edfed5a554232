//! Statuses of targets: which of them prove that a request has not run, and what callers are told.

use crate::gateway::{PROMPT, entry_with_two_targets, ok_response, run_local};
use crate::stand_in::{AfterAnswer, Script, header};

fn answer(status: &str, proof: &str) -> Script {
    let answer = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {{id}}\r\nX-Response-Stamp: s\r\n{proof}\
         Retry-After: 0.1\r\nContent-Length: 0\r\n\r\n"
    );
    vec![(answer, AfterAnswer::KeepOpen)]
}

fn success() -> Script {
    vec![(ok_response("second"), AfterAnswer::KeepOpen)]
}

/// Guards against callers that repeat a request which has run: they take these statuses for a promise
/// that it has not, but a target proves that only by a header.
#[test]
fn a_status_that_promises_not_run_is_not_relayed_without_proof() {
    for status in ["408 Late", "429 Too Many", "503 Failed"] {
        for (path, service) in [("/once/", "app"), ("/stream/", "llm")] {
            run_local(async move {
                let (entry, _first, second) =
                    entry_with_two_targets(service, answer(status, ""), success()).await;
                let prompt = if service == "llm" { PROMPT } else { "" };
                let got = entry.call_with(path, "r1", prompt).await;
                assert_eq!(got.status, 502, "{status} {path}: {}", got.text);
                assert_eq!(header(&got.text, "retry-after"), None, "{status} {path}");
                assert_eq!(header(&got.text, "x-response-stamp"), None, "{status} {path}");
                assert_eq!(second.request_count(), 0, "{status} {path}: run only once");
            });
        }
    }
}

/// Guards against a fix of the above that also gives up requests which may be repeated.
#[test]
fn a_repeatable_request_refused_without_proof_is_served_by_another_target() {
    for status in ["408 Late", "429 Too Many", "503 Failed"] {
        run_local(async move {
            let (entry, _first, second) =
                entry_with_two_targets("app", answer(status, ""), success()).await;
            let got = entry.call("/safe/", "r1").await;
            assert_eq!(got.status, 200, "{status}: {}", got.text);
            assert_eq!(second.request_count(), 1, "{status}");
        });
    }
}

/// Guards against requests that run twice: a target that answers so has begun to run them.
#[test]
fn failures_of_a_target_count_as_run() {
    for (status, code) in [("500 Broken", 500), ("504 Late", 504)] {
        run_local(async move {
            let (entry, _first, second) =
                entry_with_two_targets("app", answer(status, ""), success()).await;
            let got = entry.call("/once/", "r1").await;
            assert_eq!(got.status, code, "{}", got.text);
            assert_eq!(header(&got.text, "x-response-stamp").as_deref(), Some("s"));
            assert_eq!(second.request_count(), 0, "{status}");
        });
    }
}

/// Guards against the promise of a second target that speaks for the first one as well.
#[test]
fn a_request_that_failed_at_one_target_is_not_promised_not_run_by_the_next() {
    // An answer that promises nothing is relayed, as no better one follows.
    for (status, code) in [("500 Broken", 500), ("504 Late", 504), ("503 Failed", 502)] {
        run_local(async move {
            let proven = answer("503 Full", "X-Not-Run: 1\r\n");
            let (entry, _first, second) =
                entry_with_two_targets("app", answer(status, ""), proven).await;
            let got = entry.call("/safe/", "r1").await;
            assert_eq!(second.request_count(), 1, "{status}");
            assert_eq!(got.status, code, "{status}: {}", got.text);
        });
    }
}
