//! Limits the rate of requests from boxes that are not needed as relays.

use {
    crate::settings::{IDLE_MAX_INTERVAL_MS, IDLE_MIN_INTERVAL, IDLE_REQUEST_RATE},
    std::{collections::HashSet, sync::Arc},
};

/// The time over which boxes are counted, in milliseconds.
const COUNT_WINDOW: u64 = 2 * IDLE_MAX_INTERVAL_MS;

/// Counts the idle boxes that send requests.
#[derive(Default)]
pub struct IdleRequests {
    /// Boxes that sent a request since `since`.
    names: HashSet<Arc<str>>,
    since: u64,
    /// The number of boxes in the last full window.
    counted: usize,
}

impl IdleRequests {
    /// The time until the next request of a box, in milliseconds. It grows with the number of boxes,
    /// so that requests take a bounded share of the owner's processor time. It is the shortest
    /// allowed unless `all_assigned`, that is while workers wait for a relay.
    pub fn pause(&mut self, name: &str, all_assigned: bool, now: u64) -> u64 {
        if now >= self.since + COUNT_WINDOW {
            self.counted = self.names.len();
            self.names.clear();
            self.since = now;
        }
        if !self.names.contains(name) {
            self.names.insert(name.into());
        }
        let least = IDLE_MIN_INTERVAL.as_millis() as u64;
        if !all_assigned {
            return least;
        }
        let boxes = self.counted.max(self.names.len()) as u64;
        (boxes * 1_000 / IDLE_REQUEST_RATE).clamp(least, IDLE_MAX_INTERVAL_MS)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    /// The rate of requests is bounded: without a limit, 1,174 boxes sent 2,935 requests per second.
    #[test_case(6, 15; "few")]
    #[test_case(587, 1_468; "hundreds")]
    #[test_case(1_174, 1_500; "twice as many")]
    #[test_case(2_348, 1_500; "four times as many")]
    fn pause_bounds_request_rate(boxes: u64, requests: u64) {
        let mut idle = IdleRequests::default();
        let mut made = 0;
        let mut due: Vec<u64> = (0..boxes).collect();
        for now in 0..20_000 {
            for (number, due) in due.iter_mut().enumerate() {
                if *due <= now {
                    *due = now + idle.pause(&format!("b{number}"), true, now);
                    made += u64::from(now >= 10_000);
                }
            }
        }
        assert!(made <= requests * 10 + boxes, "{made}");
    }

    #[test]
    fn pause_shortest_while_workers_wait() {
        let mut idle = IdleRequests::default();
        for number in 0..587 {
            idle.pause(&format!("b{number}"), true, 0);
        }
        assert_eq!(
            idle.pause("b1", false, 1),
            IDLE_MIN_INTERVAL.as_millis() as u64
        );
    }
}
