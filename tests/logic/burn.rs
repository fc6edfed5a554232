//! Burn rates of service-level objectives: windows, budgets and verdicts.

use std::time::Duration;

use kumquatpost::queries::burn::{Report, alert_level};
use kumquatpost::telemetry::burn::{BurnCounter, FinishedRequest, SloCount};

const START: Duration = Duration::from_secs(1_000_000);

fn served(kind: &str, good: bool) -> FinishedRequest<'_> {
    FinishedRequest { kind, account: "anna", target: Some("engine-0"), good, objective_share: 0.95 }
}

#[test]
fn counts_expire_from_each_window_when_it_has_passed() {
    let mut burn = BurnCounter::default();
    for number in 0..100 {
        burn.record(served("diagnosis", number >= 10), START);
    }
    let cases = [
        (0, [10, 10, 10, 10]),
        (200, [10, 10, 10, 10]),
        (400, [0, 10, 10, 10]),
        (4_000, [0, 0, 10, 10]),
        (30_000, [0, 0, 0, 10]),
        (400_000, [0, 0, 0, 0]),
    ];
    for (after_s, bad) in cases {
        let counts = burn.counts(START + Duration::from_secs(after_s));
        let windows = counts.kinds["diagnosis"];
        assert_eq!(windows.map(|count| count.bad), bad, "after {after_s} s");
    }
    let rate = burn.counts(START).kinds["diagnosis"][0].burn_rate();
    assert!((rate - 2.0).abs() < 1e-9, "10 of 100 requests are bad, 5 are allowed: {rate}");
}

#[test]
fn a_verdict_needs_a_short_and_a_long_window() {
    let count = |rate: f64| SloCount { total: 1_000, bad: (rate * 50.0) as u64, allowed: 50.0 };
    let cases = [
        ([0.0, 0.0, 0.0, 0.0], "fine"),
        ([20.0, 1.0, 0.5, 0.1], "fine"),
        ([20.0, 20.0, 3.0, 0.5], "look at once"),
        ([0.0, 2.0, 2.0, 2.0], "look today"),
        ([0.0, 0.0, 0.0, 2.0], "fine"),
    ];
    for (rates, expected) in cases {
        assert_eq!(alert_level(&rates.map(count)), expected, "{rates:?}");
    }
}

#[test]
fn a_report_sums_nodes_and_lists_those_it_could_not_ask() {
    let mut burn = BurnCounter::default();
    burn.record(served("diagnosis", false), START);
    burn.record(served("counter", true), START);
    let mut report = Report::default();
    report.counts.add(burn.counts(START));
    report.counts.add(burn.counts(START));
    report.failed_nodes.push(("http://127.0.0.1:1".into(), "no answer".into()));
    insta::assert_snapshot!(report.text());
    assert!(report.svg().contains("diagnosis 5m"));
}

#[test]
fn the_number_of_series_is_bounded() {
    let mut burn = BurnCounter::default();
    for number in 0..10_000 {
        let account = format!("a{number}");
        burn.record(FinishedRequest { account: &account, ..served("k", true) }, START);
    }
    assert!(burn.counts(START).accounts.len() <= 4_097);
}
