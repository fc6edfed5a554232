//! What entries that connect to a replica are told of the quarantine.

use std::time::Duration;

use kumquatpost::clock::BootTime;
use kumquatpost::control::frames::{self, Update};
use kumquatpost::control::hold_news::HoldNews;
use kumquatpost::ids::TargetStart;
use kumquatpost::quarantine::broken_runs::BrokenRun;
use kumquatpost::quarantine::{Fingerprint, Quarantine};

use crate::fixtures::ms;

const START: BootTime = Duration::from_secs(6_000);
const HOUR: Duration = Duration::from_secs(3_600);

/// Guards against entries that hold a prompt part anew because they connect long after its last end: they
/// were told its age at the time of the last change.
#[tokio::test]
async fn an_entry_that_connects_late_is_told_how_long_ago_targets_ended() {
    let part = Fingerprint::of_part("m", "part");
    let run = BrokenRun { fingerprint: part, sent_at: START - ms(50), broke_at: START };
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        let target = TargetStart { id: format!("i-{number}"), born_ms: None };
        let _ = quarantine.record_target_end(&[run], &target, START);
    }
    let mut news = HoldNews::default();
    assert!(news.advance(&quarantine, START));
    for later in [Duration::ZERO, HOUR] {
        let mut told = 0;
        let frame = news.frame_after(&mut told, &quarantine, START + later).expect("a frame");
        let Ok(Update::Quarantine(reports)) = frames::read(&mut &frame[..]).await else {
            panic!("reports are sent");
        };
        for end in reports.iter().flat_map(|report| &report.ends) {
            assert!(end.age >= later, "{:?} after {later:?}", end.age);
        }
        assert_eq!(news.frame_after(&mut told, &quarantine, START + later), None, "told once");
    }
}
