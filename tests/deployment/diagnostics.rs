//! Logs and metrics for the diagnosis of failed requests.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

use kumquatpost::fleet::placement::SelectionError;
use kumquatpost::gateway::log_limiter::RequestLogLimiter;
use kumquatpost::gateway::request_record::Outcome;
use kumquatpost::gateway::subscription_log::SubscriptionLog;
use kumquatpost::gateway::target_selection::NoTarget;
use kumquatpost::queries::request::{LogLine, related_lines};
use kumquatpost::telemetry::deployment_metrics::EntryMetrics;
use kumquatpost::telemetry::logs::{joined, or_dash};
use kumquatpost::telemetry::non_blocking_appender::NonBlockingAppender;
use log4rs::append::Append;

use crate::fixtures::ms;

/// An output that blocks until it is released. Sends everything written to `ended` when it is dropped.
struct BlockedWriter {
    released: Receiver<()>,
    written: Vec<u8>,
    ended: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Fails once the sender is dropped, which unblocks all writes.
        let _ = self.released.recv();
        self.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for BlockedWriter {
    fn drop(&mut self) {
        let _ = self.ended.send(std::mem::take(&mut self.written));
    }
}

#[test]
fn a_blocked_output_does_not_block_logging_and_each_line_is_written_or_counted() {
    const LINES: u64 = 20_000;
    let ((release, released), (ended, written)) = (channel(), channel());
    let appender =
        NonBlockingAppender::new("{m}{n}", BlockedWriter { released, written: Vec::new(), ended });
    let started_at = Instant::now();
    // The length of a typical request line, so that a chunk holds about a hundred lines.
    let text = format!("event=request {:>200}", "");
    for _ in 0..LINES {
        let args = format_args!("{text}");
        let record = log::Record::builder().args(args).build();
        appender.append(&record).expect("a full buffer is no error");
    }
    appender.flush();
    assert!(started_at.elapsed() < ms(5_000), "{:?}", started_at.elapsed());
    let not_reported = appender.dropped();
    drop(release);
    drop(appender);
    let written = String::from_utf8(written.recv().expect("the writer ends")).expect("text");
    let lines = written.lines().filter(|line| line.starts_with("event=request")).count() as u64;
    // The writer thread moves the dropped count into report lines at its own pace.
    let reports = written.lines().filter_map(|line| line.split_once("log_lines_dropped count="));
    let reported: u64 = reports.map(|(_, count)| count.parse::<u64>().expect("a number")).sum();
    assert!(LINES - lines > 10_000, "{lines} lines were written");
    assert!(lines + reported + not_reported >= LINES, "{lines} {reported} {not_reported}");
}

#[test]
fn request_log_lines_are_rate_limited_with_a_higher_limit_for_failures() {
    let limiter = RequestLogLimiter::default();
    let written = |is_success, second: u64| {
        let ids = (0..10_000).map(|n| format!("r{n}"));
        ids.filter(|id| limiter.should_log(id, is_success, ms(second * 1_000))).count()
    };
    let successes = written(true, 1);
    assert!((500..1_000).contains(&successes), "{successes}");
    assert_eq!(written(false, 1), 2_000);
    assert_eq!(written(true, 2), successes, "the sample has the same ids each time");
}

// Guards against a response that the entry cut short and nobody can find, beside many lines of others.
#[test]
fn cut_responses_are_logged_before_all_others_and_bounded() {
    const OTHERS: usize = 10_000;
    let limiter = RequestLogLimiter::default();
    let others = |second: u64| {
        let log = |n| limiter.should_log(&format!("r{n}"), n % 2 == 0, ms(second * 1_000));
        (0..OTHERS).filter(|n| log(*n)).count()
    };
    let cuts = |second: u64, count: usize| {
        (0..count).filter(|_| limiter.should_log_cut(ms(second * 1_000 + 1))).count()
    };
    assert!(others(1) > 2_000);
    assert_eq!(cuts(1, 4_000), 4_000, "others have used up their limits");
    assert_eq!(cuts(2, 100_000), 4_000, "the volume is bounded");
    assert_eq!(others(2), 0, "no other line is written while cut responses are dropped");
    assert!(others(3) > 2_000, "each second begins anew");
}

// Guards against a line each 50 ms and replica while a system starts.
#[test]
fn a_loss_that_lasts_is_logged_once_and_then_seldom_with_a_count() {
    const REFUSED: &str = "connection refused";
    let (first, second) = ([10, 0, 0, 1].into(), [10, 0, 0, 2].into());
    let mut log = SubscriptionLog::default();
    assert_eq!(log.confirmed(first, ms(0)), None, "the first subscription follows no loss");
    let mut lines = Vec::new();
    for at_ms in (50..25_000).step_by(50) {
        lines.extend(log.lost(first, REFUSED, ms(at_ms)).map(|losses| (at_ms, losses)));
    }
    assert_eq!(lines, [(50, 1), (10_050, 200), (20_050, 200)]);
    assert_eq!(log.lost(second, REFUSED, ms(60)), Some(1), "replicas are counted apart");
    assert_eq!(log.lost(first, "reset", ms(25_000)), Some(99), "the reason has changed");
    let returned = log.confirmed(first, ms(25_100)).expect("a loss was logged");
    assert_eq!((returned.lost_for, returned.unlogged_losses), (ms(25_050), 0));
    assert_eq!(log.confirmed(first, ms(25_150)), None, "it is told once");
    assert_eq!(log.lost(first, "reset", ms(29_000)), Some(1), "it is lost again");
    log.retain(&[second].into());
    assert_eq!(log.confirmed(first, ms(30_000)), None, "it is no longer known");
}

// Guards against a flood of lines by a replica that is lost and regained all the time, or for reasons that alternate.
#[test]
fn losses_that_alternate_are_logged_in_bounded_numbers_and_all_are_counted() {
    let replica = [10, 0, 0, 1].into();
    for returns in [false, true] {
        let mut log = SubscriptionLog::default();
        let (mut lines, mut counted) = (0, 0);
        for at_ms in (0..20_000).step_by(50) {
            let reason = if at_ms % 100 == 0 { "refused" } else { "silent" };
            let logged = log.lost(replica, reason, ms(at_ms));
            let returned = if returns { log.confirmed(replica, ms(at_ms + 25)) } else { None };
            lines += usize::from(logged.is_some()) + usize::from(returned.is_some());
            counted += logged.unwrap_or(0) + returned.map_or(0, |ended| ended.unlogged_losses);
        }
        assert!(lines <= 20, "{lines} lines, returns: {returns}");
        assert!(counted > 400 - 2_000 / 50 - 1, "{counted} losses, returns: {returns}");
    }
}

// Guards against log lines with the debug forms of our types, which neither a reader nor a filter expects.
#[test]
fn endings_and_reasons_are_logged_as_plain_pairs() {
    let after = std::time::Duration::from_nanos(558_935_547);
    for (shown, expected) in [
        (Outcome::Relayed(200).to_string(), "relayed status=200"),
        (Outcome::Refused(503, "busy").to_string(), "refused status=503 reason=busy"),
        (Outcome::CallerLeft.to_string(), "caller_left"),
        (Outcome::BrokenOff.to_string(), "broken_off"),
        (NoTarget::Busy(after).to_string(), "busy retry_after_ms=558"),
        (NoTarget::Limited(after).to_string(), "limited retry_after_ms=558"),
        (NoTarget::Selection(SelectionError::Cold).to_string(), "cold by=entry"),
        (or_dash(Some(3)), "3"),
        (or_dash(None::<u64>), "-"),
        (joined(["a", "b"]), "a,b"),
        (joined([""; 0]), "-"),
    ] {
        assert_eq!(shown, expected);
    }
}

const LOGS: [(&str, &str); 7] = [
    ("entry-1", "ts=2026-01-01T10:00:00.000Z level=INFO event=deployment_in_force version=4"),
    ("entry-1", "ts=2026-01-01T10:00:01.500Z level=INFO event=subscription_lost replica=10.0.0.1"),
    (
        "entry-1",
        "ts=2026-01-01T10:00:02.000Z level=INFO event=request id=r1 route=a took_ms=900 ended=refused status=502 reason=broken at_ms=1 target=i-7 at_ms=899 failed=i-7 reason=\"reset\"",
    ),
    (
        "entry-1",
        "ts=2026-01-01T10:00:02.000Z level=INFO event=request id=r2 route=a took_ms=9 ended=relayed status=200 at_ms=1 target=i-8",
    ),
    (
        "replica-1",
        "ts=2026-01-01T10:00:01.800Z level=INFO event=weights_ordered engine=i-7 version=2",
    ),
    (
        "replica-1",
        "ts=2026-01-01T10:00:01.900Z level=INFO event=weights_ordered engine=i-9 version=2",
    ),
    (
        "replica-1",
        "ts=2026-01-01T10:00:09.000Z level=INFO event=weights_ordered engine=i-7 version=3",
    ),
];

#[test]
fn a_request_id_finds_all_related_lines() {
    let lines: Vec<LogLine> =
        LOGS.iter().filter_map(|(process, text)| LogLine::parse(process, text)).collect();
    assert_eq!(lines.len(), LOGS.len());
    let related: Vec<String> = related_lines(&lines, "r1");
    let events: Vec<&str> =
        related.iter().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    assert_eq!(events, ["subscription_lost", "weights_ordered", "request"]);
    assert!(related[1].starts_with("replica-1 ") && related[1].contains("engine=i-7"));
    assert_eq!(related_lines(&lines, "r3"), Vec::<String>::new());
    assert_eq!(LogLine::parse("x", "no time here"), None);
}

#[test]
fn requests_are_counted_by_route_and_reason() {
    let metrics = EntryMetrics::new().expect("instruments");
    metrics.record_request("r-1", "refused", "busy");
    metrics.record_request("r-1", "refused", "busy");
    let text = metrics.text();
    let line = text.lines().find(|line| line.starts_with("kumquatpost_requests_total{"));
    let line = line.expect("a counter");
    assert!(line.contains("reason=\"busy\"") && line.ends_with(" 2"), "{line}");
}
