//! What callers get while more work arrives than can be done: a queue of jobs and a capacity in
//! cores, played in time steps without workers or a network.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

mod play;

use {
    play::{Outcome, Play, Setting},
    test_case::test_case,
};

const SEEDS: std::ops::Range<u64> = 0..8;

/// Half of the capacity is in use; a burst of 2.6 times that load lasts for 6 s.
const USUAL: Setting = Setting {
    load: 1.0,
    burst: 2.6,
    admission: true,
    learning: true,
};
/// Three quarters of the capacity are in use, so that the burst leaves work for many seconds.
const HEAVY: Setting = Setting { load: 1.6, ..USUAL };
/// Nearly all of the capacity is in use, so that such work stays until the end of the day.
const FULL: Setting = Setting { load: 1.9, ..USUAL };

/// Returns the outcomes of all jobs of one day.
fn play(seed: u64, setting: Setting) -> Vec<Outcome> {
    Play::new(seed, setting).run()
}

/// Returns how many jobs ended within this multiple of their objective.
fn count_within(jobs: &[Outcome], multiple: u64) -> usize {
    let ended = jobs.iter().filter(|job| job.is_within(multiple));
    ended.count()
}

fn count_refused(jobs: &[Outcome]) -> usize {
    jobs.iter().filter(|job| job.end.is_none()).count()
}

#[test_case(0.5; "a quarter of the capacity")]
#[test_case(1.0; "half of the capacity")]
#[test_case(1.9; "nearly all capacity")]
fn steady_load_refuses_nobody(load: f64) {
    let steady = Setting {
        load,
        burst: 1.0,
        ..USUAL
    };
    for seed in SEEDS {
        let jobs = play(seed, steady);
        assert!(jobs.len() > 500);
        assert_eq!(count_refused(&jobs), 0, "seed {seed}");
        assert_eq!(count_within(&jobs, 1), jobs.len(), "seed {seed}");
    }
}

/// All jobs of the burst can end in time if those with an earlier objective go first, so that none
/// may be refused.
#[test]
fn burst_within_slack_refuses_nobody() {
    for seed in SEEDS {
        let jobs = play(seed, USUAL);
        assert_eq!(count_refused(&jobs), 0, "seed {seed}");
        assert_eq!(count_within(&jobs, 1), jobs.len(), "seed {seed}");
    }
}

/// A job that cannot end before its result loses all worth is refused at once: what was accepted
/// ends before that, but for at most `exceptions` jobs in a hundred. Without admission more results
/// are worthless, and fewer jobs end in time.
#[test_case(HEAVY, 0; "heavy load")]
#[test_case(FULL, 3; "full load")]
fn burst_beyond_slack_accepts_worthwhile_jobs(setting: Setting, exceptions: usize) {
    let without = Setting {
        admission: false,
        ..setting
    };
    for seed in SEEDS {
        let jobs = play(seed, setting);
        let accepted = jobs.len() - count_refused(&jobs);
        assert!(accepted < jobs.len(), "seed {seed}");
        let worthless = accepted - count_within(&jobs, 3);
        assert!(worthless * 100 <= accepted * exceptions, "seed {seed}");
        let all = play(seed, without);
        assert!(count_within(&jobs, 1) > count_within(&all, 1), "{seed}");
        assert!(all.len() - count_within(&all, 3) > worthless, "{seed}");
    }
}

/// The same jobs are played with learned lengths and with the callers' estimates, which are up to
/// nine tenths off.
#[test_case(USUAL; "usual load")]
#[test_case(HEAVY; "heavy load")]
#[test_case(FULL; "full load")]
fn learned_lengths_bring_more_jobs_in_time(setting: Setting) {
    let estimates = Setting {
        learning: false,
        ..setting
    };
    for seed in SEEDS {
        let learned = count_within(&play(seed, setting), 1);
        let estimated = count_within(&play(seed, estimates), 1);
        assert!(learned > estimated, "{seed}: {learned} {estimated}");
    }
}
