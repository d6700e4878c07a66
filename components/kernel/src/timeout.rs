//! Time-outs of HTTP calls: in total, for the first attempt, and between pieces of a response.

use std::time::{Duration, Instant};

/// Added to the time-out of a call that transfers large data. The largest values of stores have 1
/// MiB, which is 1.4 MB as text, and the slowest links of boxes have 2 Mbit/s, which transfer that
/// in 5.6 s; the remainder is for other calls on the same link.
pub const BULK_ALLOWANCE: Duration = Duration::from_millis(8_000);
/// Bytes per millisecond on the slowest link: 2 Mbit/s.
const MIN_BYTES_PER_MS: u64 = 250;

/// The time-outs of a call.
#[derive(Debug, Clone, Copy)]
pub struct Timeout {
    /// For the whole call; for a streaming call, until the response begins.
    total: Duration,
    /// Time-out of the first attempt. After it, or if the connection is lost, the call is retried
    /// on a new connection within the remaining time.
    first_attempt: Option<Duration>,
    /// The first attempt goes on while the second one is made.
    is_hedged: bool,
    /// See [`Timeout::prompt`].
    is_prompt: bool,
    /// Limits once the response has started.
    stream: Option<Stream>,
}

/// Limits of a response that has started to arrive.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// Longest pause between two pieces of the response.
    pause: Duration,
    /// Added to the total time.
    allowance: Duration,
}

impl Timeout {
    /// The time-out of a call with a single attempt.
    pub const fn single(total: Duration) -> Self {
        Timeout {
            total,
            first_attempt: None,
            is_hedged: false,
            is_prompt: false,
            stream: None,
        }
    }

    /// The time-outs of an idempotent call that may be made twice: without a response after
    /// `first_attempt`, or after a lost connection, it is retried on a new connection.
    pub const fn with_retry(total: Duration, first_attempt: Duration) -> Self {
        Timeout {
            total,
            first_attempt: Some(first_attempt),
            is_hedged: false,
            is_prompt: false,
            stream: None,
        }
    }

    /// Makes the second attempt beside the first one instead of cancelling that: the first response
    /// counts. A receiver that responds slowly is then not taken for one that does not respond,
    /// and a silent connection is detected as soon as without.
    #[must_use]
    pub const fn hedged(self) -> Self {
        Timeout {
            is_hedged: true,
            ..self
        }
    }

    /// True for a call whose body or response may be large, so that its duration depends on the
    /// link.
    pub fn is_bulk(&self) -> bool {
        self.stream
            .is_some_and(|stream| !stream.allowance.is_zero())
    }

    /// Makes the second attempt early also if the receiver is slow, for a call whose effect is needed
    /// in time.
    #[must_use]
    pub const fn prompt(self) -> Self {
        Timeout {
            is_prompt: true,
            ..self
        }
    }

    /// Extends the time-outs for a receiver that usually responds after `latency`, so that a slow
    /// one is not called twice, unless the call is [prompt](Timeout::prompt).
    #[must_use]
    pub fn with_latency(self, latency: Duration) -> Self {
        let delay = match self.is_prompt {
            true => Duration::ZERO,
            false => latency * 3 / 2,
        };
        Timeout {
            total: self.total + latency,
            first_attempt: self
                .first_attempt
                .map(|first_attempt| first_attempt.max(delay)),
            ..self
        }
    }

    /// Extends the call while its response arrives, by up to [`BULK_ALLOWANCE`] beyond its total
    /// time, as long as no pause exceeds the time that the first attempt waits for the beginning.
    /// Each attempt also gets the time that its body needs on the slowest link.
    ///
    /// The duration of a response depends on its size and on the link. A call that is cancelled
    /// during the response and retried may never complete. An unresponsive receiver takes no longer
    /// to detect than without streaming, except for the time to send a large body.
    #[must_use]
    pub const fn streaming(self) -> Self {
        let pause = match self.first_attempt {
            Some(first_attempt) => first_attempt,
            None => self.total,
        };
        self.streaming_within(pause, BULK_ALLOWANCE)
    }

    /// Like [`Timeout::streaming`], with the given limits.
    #[must_use]
    pub const fn streaming_within(self, pause: Duration, allowance: Duration) -> Self {
        Timeout {
            stream: Some(Stream { pause, allowance }),
            ..self
        }
    }

    /// All time-outs multiplied by a factor.
    pub(crate) fn scaled(self, factor: u32) -> Self {
        Timeout {
            total: self.total * factor,
            first_attempt: self
                .first_attempt
                .map(|first_attempt| first_attempt * factor),
            is_hedged: self.is_hedged,
            is_prompt: self.is_prompt,
            stream: self.stream.map(|stream| Stream {
                pause: stream.pause * factor,
                allowance: stream.allowance * factor,
            }),
        }
    }

    /// True for a call that may be retried.
    pub(crate) const fn has_retry(&self) -> bool {
        self.first_attempt.is_some()
    }

    /// The time-out of the first attempt, with a request body of `body` bytes.
    pub(crate) fn first(&self, body: usize) -> AttemptTimeout {
        // An unresponsive connection should be detected early, but a body in transfer must not be
        // sent again: that doubles the load of a link that is already too slow.
        let head = self.first_attempt.unwrap_or(self.total) + self.sending_time(body);
        self.attempt(head, Duration::ZERO)
    }

    /// When the second attempt of a hedged call with a request body of `body` bytes is made; `None`
    /// if the call is not hedged.
    pub(crate) fn hedge_delay(&self, body: usize) -> Option<Duration> {
        let first_attempt = self.first_attempt.filter(|_| self.is_hedged)?;
        Some(first_attempt + self.sending_time(body))
    }

    /// The time-out of the first attempt of a hedged call.
    pub(crate) fn hedged_first(&self, body: usize) -> AttemptTimeout {
        self.attempt(self.total + self.sending_time(body), Duration::ZERO)
    }

    /// The time-out of the second attempt, after the first has taken `spent`.
    pub(crate) fn second(&self, body: usize, spent: Duration) -> AttemptTimeout {
        // Sending the body and receiving a response do not count as waiting for the beginning of
        // the response.
        let waited = self
            .first_attempt
            .map_or(spent, |first_attempt| spent.min(first_attempt));
        let head = self.total.saturating_sub(waited) + self.sending_time(body);
        self.attempt(head, spent)
    }

    /// The time to send a body over the slowest link; zero if the call is not streaming.
    fn sending_time(&self, body: usize) -> Duration {
        match self.stream {
            Some(_) => Duration::from_millis(body as u64 / MIN_BYTES_PER_MS),
            None => Duration::ZERO,
        }
    }

    /// The time-out of an attempt whose response must begin within `head`.
    fn attempt(&self, head: Duration, spent: Duration) -> AttemptTimeout {
        let allowance = self
            .stream
            .map_or(Duration::ZERO, |stream| stream.allowance);
        let left = (self.total + allowance).saturating_sub(spent);
        let head = head.min(left);
        AttemptTimeout {
            head,
            pause: self.stream.map(|stream| stream.pause),
            end: self.stream.map_or(head, |_| left),
        }
    }
}

impl From<Duration> for Timeout {
    fn from(total: Duration) -> Self {
        Timeout::single(total)
    }
}

/// Time-outs of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptTimeout {
    /// Until the response begins, including connecting and sending.
    head: Duration,
    /// Longest pause after that; `None` if only the total time is limited.
    pause: Option<Duration>,
    /// For the whole attempt.
    pub end: Duration,
}

impl AttemptTimeout {
    /// Time-out for connecting.
    pub fn connect(&self) -> Duration {
        self.head.min(self.end)
    }

    /// When an attempt started at `started` times out, unless it ends or receives more data before.
    /// `received` is the time of the last data.
    pub fn deadline(&self, started: Instant, received: Option<Instant>) -> Instant {
        let end = started + self.end;
        let Some(pause) = self.pause else {
            return end;
        };
        let idle_limit = received.map_or(started + self.head, |received| received + pause);
        idle_limit.min(end)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    const fn ms(number: u64) -> Duration {
        Duration::from_millis(number)
    }

    const SINGLE: Timeout = Timeout::single(ms(900));
    const WITH_RETRY: Timeout = Timeout::with_retry(ms(900), ms(400));
    const STREAMING: Timeout = WITH_RETRY.streaming_within(ms(300), ms(8_000));

    /// Until the response begins, and in total, in milliseconds.
    fn parts(attempt: AttemptTimeout) -> (u64, u64) {
        (
            attempt.head.as_millis() as u64,
            attempt.end.as_millis() as u64,
        )
    }

    const BODY: usize = 500_000;

    #[test_case(SINGLE, 0, (900, 900); "single")]
    #[test_case(SINGLE, BODY, (900, 900); "single, with a body")]
    #[test_case(WITH_RETRY, 0, (400, 400); "with retry")]
    #[test_case(SINGLE.streaming_within(ms(300), ms(8_000)), 0, (900, 8_900); "single and streaming")]
    #[test_case(SINGLE.streaming_within(ms(300), ms(8_000)), BODY, (2_900, 8_900); "single and streaming, with a body")]
    #[test_case(STREAMING, 0, (400, 8_900); "with retry and streaming")]
    #[test_case(STREAMING, BODY, (2_400, 8_900); "with retry and streaming, with a body")]
    #[test_case(WITH_RETRY.streaming_within(ms(300), ms(0)), 0, (400, 900); "streaming within the total")]
    fn first_attempt(time: Timeout, body: usize, expected: (u64, u64)) {
        assert_eq!(parts(time.first(body)), expected);
    }

    #[test_case(WITH_RETRY, 0, 400, (500, 500); "after a time-out")]
    #[test_case(WITH_RETRY, BODY, 400, (500, 500); "after a time-out, with a body")]
    #[test_case(WITH_RETRY, 0, 5, (895, 895); "after a lost connection")]
    #[test_case(WITH_RETRY, 0, 950, (0, 0); "too late")]
    #[test_case(STREAMING, 0, 400, (500, 8_500); "streaming, after a time-out")]
    #[test_case(STREAMING, BODY, 400, (2_500, 8_500); "streaming, after a time-out, with a body")]
    #[test_case(STREAMING, 0, 3_000, (500, 5_900); "streaming, after a time-out within the response")]
    #[test_case(STREAMING, 0, 8_700, (200, 200); "streaming, with little time left")]
    #[test_case(STREAMING, 0, 9_000, (0, 0); "streaming, too late")]
    fn second_attempt(time: Timeout, body: usize, spent: u64, expected: (u64, u64)) {
        assert_eq!(parts(time.second(body, ms(spent))), expected);
    }

    #[test_case(WITH_RETRY.hedged(), 0, Some(400), (900, 900); "without a body")]
    #[test_case(STREAMING.hedged(), BODY, Some(2_400), (2_900, 8_900); "streaming, with a body")]
    #[test_case(WITH_RETRY.hedged().with_latency(ms(4)), 0, Some(400), (904, 904); "fast receiver")]
    #[test_case(WITH_RETRY.hedged().with_latency(ms(600)), 0, Some(900), (1_500, 1_500); "slow receiver")]
    #[test_case(WITH_RETRY.hedged().prompt().with_latency(ms(600)), 0, Some(400), (1_500, 1_500); "slow receiver, early second attempt")]
    #[test_case(WITH_RETRY, 0, None, (900, 900); "not hedged")]
    #[test_case(SINGLE.hedged(), 0, None, (900, 900); "single")]
    fn hedged_first_attempt(time: Timeout, body: usize, delay: Option<u64>, expected: (u64, u64)) {
        assert_eq!(time.hedge_delay(body), delay.map(ms));
        assert_eq!(parts(time.hedged_first(body)), expected);
    }

    #[test]
    fn deadline_moves_with_bytes() {
        let started = Instant::now();
        let attempt = STREAMING.first(0);
        assert_eq!(attempt.deadline(started, None), started + ms(400));
        let deadline = |at| attempt.deadline(started, Some(started + ms(at)));
        assert_eq!(deadline(390), started + ms(690));
        assert_eq!(deadline(8_800), started + ms(8_900));
        let not_streaming = WITH_RETRY.first(0);
        assert_eq!(
            not_streaming.deadline(started, Some(started + ms(390))),
            started + ms(400)
        );
    }
}
