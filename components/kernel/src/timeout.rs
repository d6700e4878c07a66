//! The time that a call has: in all, and without hearing anything.

use std::time::{Duration, Instant};

/// Added to the time of a call that moves much. The largest values that stores take have 1 MiB, which is
/// 1.4 MB as text, and the slowest boxes have a link of 2 Mbit/s, which brings that in 5.6 s; the rest is
/// for other calls on the same link.
pub const BULK_ALLOWANCE: Duration = Duration::from_millis(8_000);
/// Bytes that the slowest link takes in a millisecond: 2 Mbit/s.
const SLOWEST: u64 = 250;

/// The time that a call has.
#[derive(Debug, Clone, Copy)]
pub struct Timeout {
    /// For all of it; for one that flows, until its answer begins.
    whole: Duration,
    /// Without an answer within this time, or when the connection breaks, the call is made again on a
    /// new connection in the time that is left.
    patience: Option<Duration>,
    /// How it goes on once its answer comes.
    flow: Option<Flow>,
}

/// The time for an answer that has begun to come.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// The longest pause between two of its pieces.
    pause: Duration,
    /// Added to the whole time.
    bulk: Duration,
}

impl Timeout {
    /// The time for a call that is made once.
    pub const fn single(whole: Duration) -> Self {
        Timeout {
            whole,
            patience: None,
            flow: None,
        }
    }

    /// The time for a call that may be made twice; without an answer after `patience`, or on a
    /// broken connection, it is made again on a new one.
    pub const fn with_retry(whole: Duration, patience: Duration) -> Self {
        Timeout {
            whole,
            patience: Some(patience),
            flow: None,
        }
    }

    /// Lets the call go on while its answer comes, for up to [`BULK`] beyond its whole time, with no pause
    /// longer than its first attempt waits for the beginning. Each attempt also has the time that its body
    /// needs on the slowest link.
    ///
    /// How long an answer takes depends on its size and on the link. A call that is given up in the
    /// middle of it, and begun anew, may never end. A receiver that says nothing costs no more than
    /// without this, but for the time of a large body.
    #[must_use]
    pub const fn streaming(self) -> Self {
        let pause = match self.patience {
            Some(patience) => patience,
            None => self.whole,
        };
        self.streaming_within(pause, BULK_ALLOWANCE)
    }

    /// Like [`Time::flowing`], with bounds of its own.
    #[must_use]
    pub const fn streaming_within(self, pause: Duration, bulk: Duration) -> Self {
        Timeout {
            flow: Some(Flow { pause, bulk }),
            ..self
        }
    }

    /// Every part of it, so many times as long.
    pub(crate) fn stretched(self, by: u32) -> Self {
        Timeout {
            whole: self.whole * by,
            patience: self.patience.map(|patience| patience * by),
            flow: self.flow.map(|flow| Flow {
                pause: flow.pause * by,
                bulk: flow.bulk * by,
            }),
        }
    }

    /// True for a call that may be made twice.
    pub(crate) const fn is_twice(&self) -> bool {
        self.patience.is_some()
    }

    /// The time for the first attempt, with a body of so many bytes.
    pub(crate) fn first(&self, body: usize) -> Span {
        // A silent connection is to be found out soon; but a body that is on its way must not be sent anew: that
        // doubles the load of a link that is too slow already.
        let head = self.patience.unwrap_or(self.whole) + self.sending(body);
        self.span(head, Duration::ZERO)
    }

    /// The time for the second one, when the first has taken so long.
    pub(crate) fn second(&self, body: usize, spent: Duration) -> Span {
        // While the body left or an answer came, the time until it begins was not used up.
        let waited = self.patience.map_or(spent, |patience| spent.min(patience));
        let head = self.whole.saturating_sub(waited) + self.sending(body);
        self.span(head, spent)
    }

    /// The time that a body needs on its way.
    fn sending(&self, body: usize) -> Duration {
        match self.flow {
            Some(_) => Duration::from_millis(body as u64 / SLOWEST),
            None => Duration::ZERO,
        }
    }

    /// The time for an attempt whose answer must begin within `head`.
    fn span(&self, head: Duration, spent: Duration) -> Span {
        let bulk = self.flow.map_or(Duration::ZERO, |flow| flow.bulk);
        let left = (self.whole + bulk).saturating_sub(spent);
        let head = head.min(left);
        Span {
            head,
            pause: self.flow.map(|flow| flow.pause),
            end: self.flow.map_or(head, |_| left),
        }
    }
}

impl From<Duration> for Timeout {
    fn from(whole: Duration) -> Self {
        Timeout::single(whole)
    }
}

/// The time for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span {
    /// Until the answer begins: for connecting, sending and waiting together.
    head: Duration,
    /// The longest pause after that; `None` where only the end counts.
    pause: Option<Duration>,
    /// For all of it.
    pub end: Duration,
}

impl Span {
    /// The time for connecting.
    pub fn connect(&self) -> Duration {
        self.head.min(self.end)
    }

    /// By when an attempt that began at `begun` must have ended, or brought more bytes than those last `heard`.
    pub fn deadline(&self, begun: Instant, heard: Option<Instant>) -> Instant {
        let end = begun + self.end;
        let Some(pause) = self.pause else {
            return end;
        };
        let quiet = heard.map_or(begun + self.head, |heard| heard + pause);
        quiet.min(end)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    const fn ms(number: u64) -> Duration {
        Duration::from_millis(number)
    }

    const ONCE: Timeout = Timeout::single(ms(900));
    const TWICE: Timeout = Timeout::with_retry(ms(900), ms(400));
    const FLOWING: Timeout = TWICE.streaming_within(ms(300), ms(8_000));

    /// Until the answer begins, and in all.
    fn parts(span: Span) -> (u64, u64) {
        (span.head.as_millis() as u64, span.end.as_millis() as u64)
    }

    const BODY: usize = 500_000;

    #[test_case(ONCE, 0, (900, 900); "once")]
    #[test_case(ONCE, BODY, (900, 900); "once, with a body")]
    #[test_case(TWICE, 0, (400, 400); "twice")]
    #[test_case(ONCE.streaming_within(ms(300), ms(8_000)), 0, (900, 8_900); "once and flowing")]
    #[test_case(ONCE.streaming_within(ms(300), ms(8_000)), BODY, (2_900, 8_900); "once and flowing, with a body")]
    #[test_case(FLOWING, 0, (400, 8_900); "twice and flowing")]
    #[test_case(FLOWING, BODY, (2_400, 8_900); "twice and flowing, with a body")]
    #[test_case(TWICE.streaming_within(ms(300), ms(0)), 0, (400, 900); "flowing within the whole")]
    fn first_span(time: Timeout, body: usize, expected: (u64, u64)) {
        assert_eq!(parts(time.first(body)), expected);
    }

    #[test_case(TWICE, 0, 400, (500, 500); "after silence")]
    #[test_case(TWICE, BODY, 400, (500, 500); "after silence, with a body")]
    #[test_case(TWICE, 0, 5, (895, 895); "after a break")]
    #[test_case(TWICE, 0, 950, (0, 0); "too late")]
    #[test_case(FLOWING, 0, 400, (500, 8_500); "flowing, after silence")]
    #[test_case(FLOWING, BODY, 400, (2_500, 8_500); "flowing, after silence, with a body")]
    #[test_case(FLOWING, 0, 3_000, (500, 5_900); "flowing, after silence midway")]
    #[test_case(FLOWING, 0, 8_700, (200, 200); "flowing, with little left")]
    #[test_case(FLOWING, 0, 9_000, (0, 0); "flowing, too late")]
    fn second_span(time: Timeout, body: usize, spent: u64, expected: (u64, u64)) {
        assert_eq!(parts(time.second(body, ms(spent))), expected);
    }

    #[test]
    fn deadline_moves_with_bytes() {
        let begun = Instant::now();
        let span = FLOWING.first(0);
        assert_eq!(span.deadline(begun, None), begun + ms(400));
        let heard = |at| span.deadline(begun, Some(begun + ms(at)));
        assert_eq!(heard(390), begun + ms(690));
        assert_eq!(heard(8_800), begun + ms(8_900));
        let whole = TWICE.first(0);
        assert_eq!(
            whole.deadline(begun, Some(begun + ms(390))),
            begun + ms(400)
        );
    }
}
