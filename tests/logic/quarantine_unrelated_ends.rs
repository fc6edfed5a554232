//! Requests are rarely held when targets end for reasons that have nothing to do with them.

use std::time::Duration;

use kumquatpost::clock::BootTime;
use kumquatpost::quarantine::broken_runs::BrokenRun;
use kumquatpost::quarantine::{Fingerprint, Quarantine};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::quarantine::{MINUTE, ms, request, target};

/// Engines that end at random, independent of the requests; broken-off requests are retried.
struct UnreliableFleet {
    random: SmallRng,
    quarantine: Quarantine,
    /// When each engine ends next, and how often it has ended.
    engines: Vec<(BootTime, u64)>,
    mean_uptime: Duration,
    held_requests: u64,
    runs: u64,
}

impl UnreliableFleet {
    fn new(seed: u64, engines: usize, mean_uptime: Duration) -> UnreliableFleet {
        let mut random = SmallRng::seed_from_u64(seed);
        let first = |random: &mut SmallRng| 100 * MINUTE + mean_uptime.mul_f64(random.random());
        let engines = (0..engines).map(|_| (first(&mut random), 0)).collect();
        UnreliableFleet {
            random,
            quarantine: Quarantine::default(),
            engines,
            mean_uptime,
            held_requests: 0,
            runs: 0,
        }
    }

    /// Runs a request on a random engine. Returns when it ended, and whether it completed.
    fn run_once(
        &mut self,
        request_fingerprint: Fingerprint,
        now: BootTime,
        duration: Duration,
    ) -> (BootTime, bool) {
        let engine = self.random.random_range(0..self.engines.len());
        while self.engines[engine].0 < now {
            let (ended, count) = self.engines[engine];
            // Exponentially distributed, so that ends are independent.
            let next = -(1.0 - self.random.random::<f64>()).ln();
            self.engines[engine] = (ended + self.mean_uptime.mul_f64(next), count + 1);
        }
        let (ends_at, count) = self.engines[engine];
        if now + duration <= ends_at {
            self.quarantine.record_completion(request_fingerprint, now + duration);
            return (now + duration, true);
        }
        let start = target(engine as u64 * 1_000_000 + count);
        let run = BrokenRun { fingerprint: request_fingerprint, sent_at: now, broke_at: ends_at };
        let _ = self.quarantine.record_target_end(&[run], &start, ends_at);
        (ends_at, false)
    }

    /// Sends a request up to four times, as the caller and the entries together do.
    fn send_with_retries(
        &mut self,
        fingerprint: Fingerprint,
        mut now: BootTime,
        duration: Duration,
    ) {
        for _ in 0..4 {
            if self.quarantine.held_for(fingerprint, now).is_some() {
                self.held_requests += 1;
                return;
            }
            self.runs += 1;
            let (ended, completed) = self.run_once(fingerprint, now, duration);
            if completed {
                return;
            }
            now = ended + ms(20);
        }
    }
}

#[test]
fn prompts_are_rarely_held_when_engines_end_for_unrelated_reasons() {
    // Each of twelve engines ends every four seconds on average; a prompt runs for 1.5 s.
    let mut fleet = UnreliableFleet::new(7, 12, ms(4_000));
    for number in 0..20_000 {
        fleet.send_with_retries(
            request("alpha", number),
            100 * MINUTE + ms(10 * number),
            ms(1_500),
        );
    }
    // Only prompts whose first three runs broke off are held: fewer than one in a hundred.
    println!("held {} of 20,000 prompts, {} runs", fleet.held_requests, fleet.runs);
    assert!(fleet.held_requests < 200, "{} of 20,000 prompts", fleet.held_requests);
    // Each engine ends every ten minutes on average.
    let mut fleet = UnreliableFleet::new(8, 12, 10 * MINUTE);
    for number in 0..200_000 {
        fleet.send_with_retries(
            request("alpha", number),
            100 * MINUTE + ms(10 * number),
            ms(1_500),
        );
    }
    assert_eq!(fleet.held_requests, 0, "of 200,000 prompts");
}

#[test]
fn a_frequent_request_is_never_held_when_targets_end_for_unrelated_reasons() {
    // Twenty requests per second; each of three targets ends every two seconds on average.
    let mut fleet = UnreliableFleet::new(9, 3, ms(2_000));
    let fingerprint = request("alpha", 1);
    for number in 0..50_000 {
        fleet.send_with_retries(fingerprint, 100 * MINUTE + ms(50 * number), ms(15));
    }
    assert_eq!(fleet.held_requests, 0, "of 50,000 requests");
}
