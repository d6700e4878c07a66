//! The budget of budget: a share of the traffic.

/// RetryBudget that each request earns.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// RetryBudget that may be tokens up.
const MAX_TOKENS: f64 = 50.0;

/// How many budget may still be made.
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
    /// A request came.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry, if there is one.
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
        let taken = (0..1000).filter(|_| {
            budget.deposit();
            budget.try_take()
        });
        assert!((99..=100).contains(&taken.count()));
    }
}
