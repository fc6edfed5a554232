//! A retry budget, so that failures don't multiply the load.

/// Retries allowed per first attempt, on average.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Largest number of unused retries that can accumulate.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// A token bucket of retries that is filled by first attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if it is empty.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
