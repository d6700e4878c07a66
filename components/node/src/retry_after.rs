//! The retry delay that is sent to refused callers (the `Retry-After` header).
//!
//! Callers time out a few seconds after their first attempt, so an early retry is best for them
//! while the boxes have capacity for all retries. Only when a box refused more callers within a
//! second than it can handle in one are the retries spread over the following seconds, with less
//! urgent queues later.

use {kernel::sync::lock, std::sync::Mutex};

/// The shortest delay, in seconds: the header has no fractions.
pub const MIN_RETRY_AFTER: u64 = 1;
/// The longest delay, in seconds: on known deployments callers time out after 3 s in total.
const MAX_RETRY_AFTER: u64 = 3;
/// Retries that a box can handle per second. It writes groups of ten jobs in about 10 ms each, and
/// shares 400 writes per second with up to nine other boxes.
const RETRIES_PER_SECOND: u64 = 200;

/// Computes retry delays from the rate of refusals.
#[derive(Debug, Default)]
pub struct RetryAfter {
    /// The current second on the clock of the box, and the number of refusals in it.
    refused: Mutex<(u64, u64)>,
}

impl RetryAfter {
    /// Counts a refusal at the time `now`, in milliseconds. Returns the retry delay in seconds for
    /// a caller whose queue has this priority; 0 is the most urgent.
    pub fn record_refusal(&self, now: u64, priority: u32) -> u64 {
        let second = now / 1_000;
        let mut refused = lock(&self.refused);
        if refused.0 != second {
            *refused = (second, 0);
        }
        refused.1 += 1;
        let later = refused.1 / RETRIES_PER_SECOND;
        let extra = later + u64::from(later > 0 && priority > 0);
        (MIN_RETRY_AFTER + extra).min(MAX_RETRY_AFTER)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(0, 0, 1; "no earlier refusals")]
    #[test_case(100, 2, 1; "few refusals")]
    #[test_case(250, 0, 2; "more than one second of retries")]
    #[test_case(250, 2, 3; "more than one second of retries, less urgent")]
    #[test_case(10_000, 0, 3; "capped at the longest delay")]
    fn record_refusal_delay(before: u64, priority: u32, expected: u64) {
        let retry_after = RetryAfter::default();
        for _ in 0..before {
            retry_after.record_refusal(500, 0);
        }
        assert_eq!(retry_after.record_refusal(999, priority), expected);
        assert_eq!(retry_after.record_refusal(1_000, priority), 1);
    }
}
