//! Orders on their way to a worker, which go out one after the other.

use {crate::settings::START_WAIT, cell::Order};

/// An order that waits for those before it.
#[derive(Debug)]
pub struct Queued {
    /// The order.
    pub order: Order,
    /// When it was decided, on the clock of this box.
    since: u64,
}

impl Queued {
    /// An order that was decided so many milliseconds ago.
    pub fn new(order: Order, age: u64, now: u64) -> Self {
        Queued {
            order,
            since: now.saturating_sub(age),
        }
    }

    /// True for an order to start that has waited for too long to be sent.
    pub fn is_stale(&self, now: u64) -> bool {
        let is_start = matches!(self.order, Order::Start(_));
        is_start && now.saturating_sub(self.since) > START_WAIT
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::time,
        cell::{Key, Start},
        job::{Address, Id},
        kernel::clock,
        std::time::Duration,
        test_case::test_case,
    };

    const ADDRESS: Address = Address {
        time: 0,
        step: 0,
        index: 0,
    };

    fn key() -> Key {
        Key {
            job: Id::new("00000000000000a1").unwrap(),
            place: 0,
        }
    }

    fn start() -> Order {
        Order::Start(Start {
            key: key(),
            address: ADDRESS,
            run: 1,
            text: "text".into(),
            saved: None,
            deadline: 1_500,
            ticket: None,
        })
    }

    fn stop() -> Order {
        Order::Stop {
            key: key(),
            address: ADDRESS,
            run: 1,
        }
    }

    /// Seen on days with orders that have no answer: a start that waited 1.3 s behind two of them was sent
    /// 1.2 s after its task had ended elsewhere. A stop may be as late as it likes.
    #[test_case(start(), 0, START_WAIT, false; "start in time")]
    #[test_case(start(), 0, START_WAIT + 1, true; "start too late")]
    #[test_case(start(), 400, START_WAIT - 400, false; "start in time after a relay's exchange")]
    #[test_case(start(), 400, START_WAIT - 399, true; "start too late after a relay's exchange")]
    #[test_case(stop(), 0, 60_000, false; "stop")]
    fn is_stale_by_wait(order: Order, age: u64, wait: u64, is_stale: bool) {
        let now = 100_000;
        assert_eq!(Queued::new(order, age, now).is_stale(now + wait), is_stale);
    }

    /// A start that was decided before the machine was suspended: by the steady clock no time has passed.
    #[test]
    fn is_stale_after_suspension() {
        let queued = Queued::new(start(), 0, time::now());
        clock::suspend(Duration::from_secs(2));
        assert!(queued.is_stale(time::now()));
    }
}
