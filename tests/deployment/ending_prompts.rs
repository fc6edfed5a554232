//! Quarantine of prompts that crash engines ("queries of death"), with entries and replicas as processes
//! and stand-in engines.
//!
//! A caller that resends such a prompt with new ids at different entries must not crash engine after engine.

use std::time::{Duration, Instant};

use crate::gateway::TEST_TIMEOUT;
use crate::restarts::{StreamResponse, TestDeployment, send_prompt_with_body};

const ENTRIES: usize = 4;
const ENGINES: [&str; 6] = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
/// The body under which a stand-in engine exits.
const CRASHING_PROMPT: &str = "ends its target";
/// The delay between an answer and the next request of the caller.
const RESEND_DELAY: Duration = Duration::from_millis(120);

/// The time in which a quarantine reaches all connected hosts.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A caller that sends the same prompt repeatedly, to the entries in turn.
struct Repeater {
    kind: &'static str,
    count: usize,
    answers: Vec<StreamResponse>,
}

impl Repeater {
    fn new(kind: &'static str) -> Repeater {
        Repeater { kind, count: 0, answers: Vec::new() }
    }

    async fn send_for(&mut self, site: &TestDeployment, duration: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            self.count += 1;
            let id = format!("{}-ending-{}", self.kind, self.count);
            let entry = site.system.caller_address(self.count % ENTRIES);
            let body = CRASHING_PROMPT.to_string();
            let got =
                send_prompt_with_body(site.client.clone(), entry, self.kind, &id, 5, body).await;
            self.answers.push(got);
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }
}

/// Checks that engines hardly get the prompt any more after its quarantine has had time to propagate.
fn assert_crashing_prompt_is_quarantined(site: &TestDeployment, when: &str) {
    let platform = site.platform.lock();
    let ending = platform
        .observations
        .crashing_requests
        .get(CRASHING_PROMPT)
        .expect("it has reached engines");
    assert_eq!(ending.reached_too_often(PROPAGATION_TIMEOUT, |_| true), None, "{when}");
}

/// Checks that another prompt is answered once the system serves again, and is never quarantined.
async fn assert_other_prompt_is_answered(site: &TestDeployment, number: usize) {
    let started_at = Instant::now();
    for again in 0.. {
        let (client, entry) = (site.client.clone(), site.system.caller_address(number % ENTRIES));
        let (id, body) = (format!("stream-{number}-{again}"), format!("question {number}"));
        let got = send_prompt_with_body(client, entry, "stream", &id, 5, body).await;
        assert!(!got.body.contains("targets have ended"), "prompt {number} is quarantined");
        if got.status == 200 && got.is_whole {
            return;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "prompt {number} gets {}: {}",
            got.status,
            got.body
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn check_quarantine_of_crashing_prompt(kind: &'static str, network: u8) {
    let mut site = TestDeployment::start_with_entries(ENTRIES, &ENGINES, Vec::new(), network).await;
    assert_other_prompt_is_answered(&site, 0).await;
    let mut caller = Repeater::new(kind);
    caller.send_for(&site, Duration::from_secs(6)).await;
    assert_crashing_prompt_is_quarantined(&site, "before any restart");

    let replicas = site.system.replicas();
    for replica in replicas.clone().take(2) {
        site.system.kill(replica);
        caller.send_for(&site, Duration::from_secs(1)).await;
        site.system.restart(replica, true);
        caller.send_for(&site, Duration::from_secs(1)).await;
    }
    assert_crashing_prompt_is_quarantined(&site, "two replicas have restarted with empty disks");

    replicas.clone().for_each(|replica| site.system.kill(replica));
    replicas.clone().for_each(|replica| site.system.restart(replica, false));
    caller.send_for(&site, Duration::from_secs(3)).await;
    assert_crashing_prompt_is_quarantined(&site, "all replicas have restarted");

    (0..ENTRIES).for_each(|entry| site.system.kill(entry));
    (0..ENTRIES).for_each(|entry| site.system.restart(entry, false));
    caller.send_for(&site, Duration::from_secs(3)).await;
    assert_crashing_prompt_is_quarantined(&site, "all entries have restarted");

    (0..ENTRIES).chain(replicas.clone()).for_each(|n| site.system.kill(n));
    (0..ENTRIES).chain(replicas).for_each(|n| site.system.restart(n, false));
    caller.send_for(&site, Duration::from_secs(4)).await;
    assert_crashing_prompt_is_quarantined(&site, "all processes have restarted");

    let last = caller.answers.last().expect("the caller got answers");
    assert_eq!(last.status, 503, "refused as not run: {}", last.body);
    for number in 1_000..1_020 {
        assert_other_prompt_is_answered(&site, number).await;
    }
    assert_eq!(site.platform.lock().observations.violations, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashes_engines_is_quarantined_at_all_entries_and_across_restarts() {
    check_quarantine_of_crashing_prompt("stream", 241).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_prompt_that_crashes_engines_is_quarantined_as_well() {
    check_quarantine_of_crashing_prompt("resumable", 242).await;
}
