//! A budget for retries, so that failures don't multiply the load.

/// Retries earned by each request that is sent for the first time.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries that a node may still make.
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
    /// Records a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
