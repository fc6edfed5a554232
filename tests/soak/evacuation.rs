//! Evacuates failure domains and restores them, and checks that acknowledged orders are kept.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::Harness;
use crate::operator::call;
use crate::system::REPLICAS;

/// Number of failure domains with targets.
const DOMAINS: usize = 3;
/// How long an evacuation lasts at least.
const MIN_EVACUATION: Duration = Duration::from_secs(6);
/// Rounds over all replicas until an order counts as unanswered.
const MAX_ROUNDS: usize = 10;

/// The evacuations that the operator has ordered. At most one domain is evacuated at a time, so
/// that each service keeps targets.
#[derive(Default)]
pub struct Evacuations {
    current: Option<(String, Instant)>,
    /// Whether the last order was acknowledged.
    is_settled: bool,
}

impl Evacuations {
    /// Orders the next evacuation, or withdraws the current one once it has lasted.
    pub async fn next(&mut self, harness: &Harness, random: &mut SmallRng) {
        match self.current.clone() {
            None => {
                let domain = format!("hall-{}", random.random_range(0..DOMAINS));
                self.current = Some((domain.clone(), Instant::now()));
                self.is_settled = order(harness, "POST", &domain).await;
                if self.is_settled {
                    let mut platform = harness.platform.lock();
                    platform.observations.evacuated.insert(domain, Instant::now());
                }
            }
            Some((domain, since)) if since.elapsed() >= MIN_EVACUATION => {
                self.restore(harness, &domain).await;
            }
            Some(_) => {}
        }
    }

    async fn restore(&mut self, harness: &Harness, domain: &str) {
        harness.platform.lock().observations.evacuated.remove(domain);
        self.is_settled = order(harness, "DELETE", domain).await;
        if self.is_settled {
            self.current = None;
        }
    }

    /// Checks that the replicas still know the last acknowledged order, and withdraws it.
    pub async fn check_and_restore(&mut self, harness: &Harness) {
        if self.is_settled {
            let current: Vec<&String> = self.current.iter().map(|(domain, _)| domain).collect();
            for _ in 0..MAX_ROUNDS {
                let Some(read) = read(harness).await else { continue };
                if read["evacuated"] != json!(current) {
                    harness.record_violation(format!(
                        "evacuations are {read} after {current:?} was acknowledged"
                    ));
                }
                break;
            }
        }
        if let Some((domain, _)) = self.current.clone() {
            self.restore(harness, &domain).await;
        }
    }
}

/// Sends an order to the replicas in turn. Returns whether one has acknowledged it.
async fn order(harness: &Harness, method: &str, domain: &str) -> bool {
    let path = format!("/evacuate/{domain}");
    for attempt in 0..MAX_ROUNDS * REPLICAS {
        match call(harness, attempt % REPLICAS, method, &path, None).await {
            Some((200, _)) => return true,
            Some((status @ 400..=499, text)) => {
                harness.record_violation(format!("{method} {path} was rejected: {status} {text}"));
                return false;
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    false
}

async fn read(harness: &Harness) -> Option<Value> {
    for replica in 0..REPLICAS {
        if let Some((200, text)) = call(harness, replica, "GET", "/evacuate", None).await {
            return serde_json::from_str(&text).ok();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    None
}
