//! Hedged calls: a call without a response is repeated on another connection while the first one is
//! still waited for, and the first usable response counts.

use {
    crate::runtime,
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{ops::ControlFlow, time::Duration},
};

/// When the attempts of a call are made.
#[derive(Debug, Clone, Copy)]
pub struct Hedge {
    /// Time from the first attempt to the second.
    pub first: Duration,
    /// Time between later attempts.
    pub interval: Duration,
    /// Maximum number of attempts.
    pub attempts: u32,
}

/// The attempts of a call when one of them has ended.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Attempts made so far.
    pub made: u32,
    /// Attempts that are still in progress.
    pub open: usize,
}

impl Hedge {
    /// Makes attempts until `judge` returns `Break` for the result of one, and returns what that
    /// has. `Continue` is followed by the next attempt at once; if none is left, returns what the
    /// last one of these has. Each attempt gets its number, counted from 0; those still in progress
    /// at the end are dropped.
    pub async fn run<R, T, F>(
        self,
        attempt: impl Fn(u32) -> F,
        mut judge: impl FnMut(R, Progress) -> ControlFlow<T, T>,
    ) -> T
    where
        F: Future<Output = R>,
    {
        let mut open = FuturesUnordered::new();
        open.push(attempt(0));
        let mut made = 1;
        loop {
            let time = if made == 1 { self.first } else { self.interval };
            let ended = tokio::select! {
                biased;
                ended = open.next() => ended,
                () = runtime::sleep(time), if made < self.attempts => None,
            };
            let progress = Progress {
                made,
                open: open.len(),
            };
            let last = match ended.map(|result| judge(result, progress)) {
                Some(ControlFlow::Break(result)) => return result,
                Some(ControlFlow::Continue(result)) => Some(result),
                None => None,
            };
            if made < self.attempts {
                open.push(attempt(made));
                made += 1;
                continue;
            }
            if let Some(result) = last
                && open.is_empty()
            {
                return result;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        std::{cell::Cell, future},
        test_case::test_case,
        tokio::sync::Notify,
    };

    const HEDGE: Hedge = Hedge {
        first: Duration::from_millis(20),
        interval: Duration::from_millis(10),
        attempts: 4,
    };

    /// Runs a call whose attempts before `answered` get no response.
    fn run(answered: u32) -> (Result<u32, u32>, u32) {
        let made = Cell::new(0);
        let attempt = |number| {
            made.set(made.get() + 1);
            async move {
                if number < answered {
                    runtime::sleep(Duration::from_millis(200)).await;
                    return Err(number);
                }
                Ok(number)
            }
        };
        let result = runtime::block_on(HEDGE.run(attempt, judge));
        (result.unwrap(), made.get())
    }

    fn judge(
        result: Result<u32, u32>,
        _: Progress,
    ) -> ControlFlow<Result<u32, u32>, Result<u32, u32>> {
        match result {
            Ok(_) => ControlFlow::Break(result),
            Err(_) => ControlFlow::Continue(result),
        }
    }

    #[test_case(0, Ok(0), 1; "first attempt")]
    #[test_case(2, Ok(2), 3; "third attempt")]
    #[test_case(9, Err(3), 4; "none")]
    fn run_until_answered(answered: u32, expected: Result<u32, u32>, made: u32) {
        assert_eq!(run(answered), (expected, made));
    }

    /// A response to an earlier attempt counts although later attempts have been made.
    #[test]
    fn run_takes_late_response() {
        let attempt = |number| async move {
            if number > 0 {
                future::pending::<()>().await;
            }
            runtime::sleep(Duration::from_millis(100)).await;
            Ok(number)
        };
        let result = runtime::block_on(HEDGE.run(attempt, judge));
        assert_eq!(result.unwrap(), Ok(0));
    }

    /// A failed attempt is repeated without a pause, as often as allowed.
    #[test]
    fn run_repeats_failed_attempt() {
        let hedge = Hedge {
            first: Duration::from_secs(3_600),
            interval: Duration::from_secs(3_600),
            ..HEDGE
        };
        let made = Cell::new(0);
        let attempt = |number| {
            made.set(made.get() + 1);
            future::ready(Err(number))
        };
        let result = runtime::block_on(hedge.run(attempt, judge));
        assert_eq!((result.unwrap(), made.get()), (Err(3), 4));
    }

    /// The result of an attempt is judged by the attempts beside it.
    #[test]
    fn run_counts_attempts() {
        let third = Notify::new();
        let attempt = |number| {
            let third = &third;
            async move {
                match number {
                    0 => third.notified().await,
                    _ => {
                        if number == 2 {
                            third.notify_one();
                        }
                        future::pending().await
                    }
                }
            }
        };
        let judge = |(), progress: Progress| ControlFlow::<_, Progress>::Break(progress);
        let progress = runtime::block_on(HEDGE.run(attempt, judge)).unwrap();
        assert_eq!(progress.open as u32, progress.made - 1);
        assert!(progress.made > 2);
    }
}
