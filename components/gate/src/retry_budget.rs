//! Retry budget: limits retries to a fraction of the requests.

/// Retries that each request adds to the budget.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Maximum number of retries in the budget.
const MAX_TOKENS: f64 = 50.0;

/// Token bucket that is filled by requests and drained by retries.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens: MAX_TOKENS / 5.0,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry. Returns false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn try_take_allows_a_tenth() {
        let mut budget = RetryBudget::default();
        while budget.try_take() {}
        let retries = (0..1000).filter(|_| {
            budget.deposit();
            budget.try_take()
        });
        assert!((99..=100).contains(&retries.count()));
    }
}
