//! Rates that targets bear.

use serde::{Deserialize, Serialize};

/// The rate of requests that a target takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit {
    /// Finite and not negative.
    pub requests_per_s: f64,
}
