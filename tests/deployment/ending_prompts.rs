//! Prompts under which engines end ("queries of death"): entries and replicas as processes before
//! stand-in engines.
//!
//! Seen: a prompt under which three engines had ended was sent to engines 14 times more, and 22 ended in all;
//! with each, the answers of up to 27 other prompts broke off. How it came about: its caller sent it again,
//! each time as an attempt with an id of its own and mostly at another entry. Each entry took it for a new
//! prompt and sent it to the soundest engine that was left.
//! What caused it: what an entry learnt of a request ended with that one attempt, and no process remembered that
//! engines had ended under what it asks. Proof: the tests here, which sent it 10 to 12 times more within seconds,
//! and three times in all since requests are known by what they ask.

use std::time::{Duration, Instant};

use crate::restarts::{Got, PATIENCE, Site, stream_with_body};

const ENTRIES: usize = 4;
const ENGINES: [&str; 6] = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
/// The prompt.
const ENDING: &str = "ends its target";
/// Its caller sends it again this long after each answer.
const AGAIN_AFTER: Duration = Duration::from_millis(120);

/// Until all hosts that are in touch know the prompt.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// A caller that sends one prompt again and again, at one entry after the other.
struct Repeater {
    kind: &'static str,
    count: usize,
    answers: Vec<Got>,
}

impl Repeater {
    fn new(kind: &'static str) -> Repeater {
        Repeater { kind, count: 0, answers: Vec::new() }
    }

    async fn repeat(&mut self, site: &Site, lasts: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < lasts {
            self.count += 1;
            let id = format!("{}-ending-{}", self.kind, self.count);
            let entry = site.system.callers(self.count % ENTRIES);
            let body = ENDING.to_string();
            let got = stream_with_body(site.client.clone(), entry, self.kind, &id, 5, body).await;
            self.answers.push(got);
            tokio::time::sleep(AGAIN_AFTER).await;
        }
    }
}

/// No engine gets the prompt once all have had time to know it for what it is, but for a few tries.
fn assert_known(site: &Site, when: &str) {
    let platform = site.platform.lock();
    let ending =
        platform.observations.crashing_requests.get(ENDING).expect("it has reached engines");
    assert_eq!(ending.reached_too_often(KNOWN_WITHIN, |_| true), None, "{when}");
}

/// Another prompt is answered, as soon as the system serves at all, and is never held.
async fn assert_serves_another(site: &Site, number: usize) {
    let begun = Instant::now();
    for again in 0.. {
        let (client, entry) = (site.client.clone(), site.system.callers(number % ENTRIES));
        let (id, body) = (format!("stream-{number}-{again}"), format!("question {number}"));
        let got = stream_with_body(client, entry, "stream", &id, 5, body).await;
        assert!(!got.body.contains("targets have ended"), "{number} is held");
        if got.status == 200 && got.is_whole {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "{number} gets {}: {}", got.status, got.body);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn is_kept_from_engines(kind: &'static str, network: u8) {
    let mut site = Site::start_with_entries(ENTRIES, &ENGINES, Vec::new(), network).await;
    assert_serves_another(&site, 0).await;
    let mut caller = Repeater::new(kind);
    caller.repeat(&site, Duration::from_secs(6)).await;
    assert_known(&site, "calm");

    let replicas = site.system.replicas();
    for replica in replicas.clone().take(2) {
        site.system.kill(replica);
        caller.repeat(&site, Duration::from_secs(1)).await;
        site.system.start_again(replica, true);
        caller.repeat(&site, Duration::from_secs(1)).await;
    }
    assert_known(&site, "replicas are lost, the leader perhaps among them");

    replicas.clone().for_each(|replica| site.system.kill(replica));
    replicas.clone().for_each(|replica| site.system.start_again(replica, false));
    caller.repeat(&site, Duration::from_secs(3)).await;
    assert_known(&site, "all replicas start again");

    (0..ENTRIES).for_each(|entry| site.system.kill(entry));
    (0..ENTRIES).for_each(|entry| site.system.start_again(entry, false));
    caller.repeat(&site, Duration::from_secs(3)).await;
    assert_known(&site, "all entries start again");

    (0..ENTRIES).chain(replicas.clone()).for_each(|n| site.system.kill(n));
    (0..ENTRIES).chain(replicas).for_each(|n| site.system.start_again(n, false));
    caller.repeat(&site, Duration::from_secs(4)).await;
    assert_known(&site, "all processes start again");

    let last = caller.answers.last().expect("there are some");
    assert_eq!(last.status, 503, "refused as not run: {}", last.body);
    for number in 1_000..1_020 {
        assert_serves_another(&site, number).await;
    }
    assert_eq!(site.platform.lock().observations.violations, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_under_which_engines_end_is_kept_from_them_at_all_entries_and_over_restarts() {
    is_kept_from_engines("stream", 241).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_prompt_under_which_engines_end_is_kept_from_them_as_well() {
    is_kept_from_engines("resumable", 242).await;
}
