//! When a refused caller is told to come back.
//!
//! Callers give up some seconds after their first try, so coming back soon is best for them as long
//! as the boxes can take all who do. Only when more were refused within a second than a box can take in
//! one are they spread over the next ones, the less urgent later.

use {kernel::sync::lock, std::sync::Mutex};

/// The least wait, in seconds: the header has no fractions.
pub const MIN_RETRY_AFTER: u64 = 1;
/// The longest wait, in seconds: callers wait for 3 s in all on the deployments seen.
const LATEST: u64 = 3;
/// Callers that a box takes back in one second. It writes ten jobs at a time in some 10 ms, and shares
/// 400 writes a second with up to nine others.
const A_SECOND: u64 = 200;

/// How many callers were refused lately.
#[derive(Debug, Default)]
pub struct RetryAfter {
    /// The second that is counted, since the box came up, and the callers refused in it.
    refused: Mutex<(u64, u64)>,
}

impl RetryAfter {
    /// Notes a refusal at this time in milliseconds. Returns the wait in seconds for a caller whose queue
    /// has this priority; 0 goes first.
    pub fn record_refusal(&self, now: u64, priority: u32) -> u64 {
        let second = now / 1_000;
        let mut refused = lock(&self.refused);
        if refused.0 != second {
            *refused = (second, 0);
        }
        refused.1 += 1;
        let later = refused.1 / A_SECOND;
        let place = later + u64::from(later > 0 && priority > 0);
        (MIN_RETRY_AFTER + place).min(LATEST)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(0, 0, 1; "nobody before")]
    #[test_case(100, 2, 1; "few before")]
    #[test_case(250, 0, 2; "more than a second's worth")]
    #[test_case(250, 2, 3; "more, and less urgent")]
    #[test_case(10_000, 0, 3; "no later than the last")]
    fn wait_after(before: u64, priority: u32, expected: u64) {
        let retry_after = RetryAfter::default();
        for _ in 0..before {
            retry_after.record_refusal(500, 0);
        }
        assert_eq!(retry_after.record_refusal(999, priority), expected);
        assert_eq!(retry_after.record_refusal(1_000, priority), 1);
    }
}
