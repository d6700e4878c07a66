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

impl Hedge {
    /// Makes attempts until one returns `Break`, and returns its result. An attempt that returns
    /// `Continue` is followed by the next one at once. If no attempt is left, returns the result of
    /// the last one that has ended. Each attempt gets its number, counted from 0; those still in
    /// progress at the end are dropped.
    pub async fn run<T, F>(self, attempt: impl Fn(u32) -> F) -> T
    where
        F: Future<Output = ControlFlow<T, T>>,
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
            let last = match ended {
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
    };

    const HEDGE: Hedge = Hedge {
        first: Duration::from_millis(20),
        interval: Duration::from_millis(10),
        attempts: 4,
    };

    /// Runs a call whose attempts before `answered` get no response.
    fn run(answered: u32) -> (Result<u32, u32>, u32) {
        let made = Cell::new(0);
        let result = runtime::block_on(HEDGE.run(|number| {
            made.set(made.get() + 1);
            async move {
                if number < answered {
                    runtime::sleep(Duration::from_millis(200)).await;
                    return ControlFlow::Continue(Err(number));
                }
                ControlFlow::Break(Ok(number))
            }
        }));
        (result.unwrap(), made.get())
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
        let result = runtime::block_on(HEDGE.run(|number| async move {
            if number > 0 {
                future::pending::<()>().await;
            }
            runtime::sleep(Duration::from_millis(100)).await;
            ControlFlow::Break(number)
        }));
        assert_eq!(result.unwrap(), 0);
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
        let result = runtime::block_on(hedge.run(|number| {
            made.set(made.get() + 1);
            future::ready(ControlFlow::<u32, u32>::Continue(number))
        }));
        assert_eq!((result.unwrap(), made.get()), (3, 4));
    }
}
