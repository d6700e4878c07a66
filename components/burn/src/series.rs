//! Request counts of a service over time, in ring buffers of bounded size.

use {
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The length of a fine bucket, in seconds.
pub const FINE_SECONDS: u64 = 10;

/// The number of fine buckets that are kept: one hour plus a margin of 10 buckets.
const FINE_BUCKETS: u64 = 370;

/// The length of a coarse bucket, in seconds.
pub const COARSE_SECONDS: u64 = 300;

/// The number of coarse buckets that are kept: three days.
const COARSE_BUCKETS: u64 = 864;

/// Request counts of a service in a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Requests answered later than the latency target.
    pub slow: u64,
    /// Requests not answered.
    pub failed: u64,
}

impl Counts {
    /// Adds other counts to these.
    pub fn add(&mut self, other: Counts) {
        self.total += other.total;
        self.slow += other.slow;
        self.failed += other.failed;
    }

    /// Returns the number of requests that missed the objective.
    pub fn bad(&self) -> u64 {
        self.slow + self.failed
    }
}

/// A ring buffer of counts, each with the number of its interval since 1970.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Ring {
    buckets: VecDeque<(u64, Counts)>,
}

impl Ring {
    fn add(&mut self, number: u64, capacity: u64, counts: Counts) {
        match self.buckets.back_mut() {
            Some((last, bucket)) if *last >= number => bucket.add(counts),
            _ => self.buckets.push_back((number, counts)),
        }
        while self
            .buckets
            .front()
            .is_some_and(|(first, _)| first + capacity <= number)
        {
            self.buckets.pop_front();
        }
    }

    fn sum(&self, from: u64) -> Counts {
        let mut sum = Counts::default();
        for (number, bucket) in self.buckets.iter().rev() {
            if *number < from {
                break;
            }
            sum.add(*bucket);
        }
        sum
    }
}

/// Request counts of a service, in fine buckets for the last hour and coarse ones for three days.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    fine: Ring,
    coarse: Ring,
}

impl Series {
    /// Adds counts at time `now`, in seconds since 1970.
    pub fn add(&mut self, now: u64, counts: Counts) {
        self.fine.add(now / FINE_SECONDS, FINE_BUCKETS, counts);
        self.coarse
            .add(now / COARSE_SECONDS, COARSE_BUCKETS, counts);
    }

    /// Returns the counts of the last `seconds` before `now`, rounded to whole buckets.
    pub fn window(&self, now: u64, seconds: u64) -> Counts {
        let (ring, step) = if seconds <= 3600 {
            (&self.fine, FINE_SECONDS)
        } else {
            (&self.coarse, COARSE_SECONDS)
        };
        ring.sum((now / step + 1).saturating_sub(seconds.div_ceil(step)))
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(10, 1; "one bucket")]
    #[test_case(300, 30; "five minutes")]
    #[test_case(3600, 360; "an hour")]
    #[test_case(21_600, 2160; "six hours")]
    fn window_sums(seconds: u64, expected: u64) {
        let mut series = Series::default();
        // One request per ten seconds, for seven hours.
        for step in 0..2520 {
            series.add(
                step * 10,
                Counts {
                    total: 1,
                    slow: 0,
                    failed: 0,
                },
            );
        }
        assert_eq!(series.window(25_199, seconds).total, expected);
    }

    #[test]
    fn add_keeps_bound() {
        let mut series = Series::default();
        for step in 0..100_000 {
            series.add(
                step * 10,
                Counts {
                    total: 1,
                    slow: 1,
                    failed: 0,
                },
            );
        }
        assert!(series.fine.buckets.len() as u64 <= FINE_BUCKETS);
        assert!(series.coarse.buckets.len() as u64 <= COARSE_BUCKETS);
    }
}
