//! The boxes that offer themselves as relays and are not needed.

use {
    crate::settings::{IDLE_MAX_INTERVAL_MS, IDLE_MIN_INTERVAL, IDLE_REQUEST_RATE},
    std::{collections::HashSet, sync::Arc},
};

/// Boxes are counted anew this often, in milliseconds.
const COUNT_FOR: u64 = 2 * IDLE_MAX_INTERVAL_MS;

/// How many boxes there are.
#[derive(Default)]
pub struct IdleOffers {
    /// Those heard since `since`.
    names: HashSet<Arc<str>>,
    since: u64,
    /// Those of the last full count.
    counted: usize,
}

impl IdleOffers {
    /// How long a box waits before it offers itself again, in milliseconds: the more boxes the longer, so that offers take a
    /// bounded part of the owner's processor. While workers wait for a relay, boxes offer themselves as often as they may.
    pub fn pause(&mut self, name: &str, is_complete: bool, now: u64) -> u64 {
        if now >= self.since + COUNT_FOR {
            self.counted = self.names.len();
            self.names.clear();
            self.since = now;
        }
        if !self.names.contains(name) {
            self.names.insert(name.into());
        }
        let least = IDLE_MIN_INTERVAL.as_millis() as u64;
        if !is_complete {
            return least;
        }
        let boxes = self.counted.max(self.names.len()) as u64;
        (boxes * 1_000 / IDLE_REQUEST_RATE).clamp(least, IDLE_MAX_INTERVAL_MS)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    /// 1,174 boxes made 2,935 offers a second.
    #[test_case(6, 15; "few")]
    #[test_case(587, 1_468; "a fleet")]
    #[test_case(1_174, 1_500; "twice that")]
    #[test_case(2_348, 1_500; "four times")]
    fn pause_offers_a_second(boxes: u64, offers: u64) {
        let mut idle = IdleOffers::default();
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
        assert!(made <= offers * 10 + boxes, "{made}");
    }

    #[test]
    fn pause_while_workers_wait() {
        let mut idle = IdleOffers::default();
        for number in 0..587 {
            idle.pause(&format!("b{number}"), true, 0);
        }
        assert_eq!(
            idle.pause("b1", false, 1),
            IDLE_MIN_INTERVAL.as_millis() as u64
        );
    }
}
