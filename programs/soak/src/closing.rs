//! The end of a run: last jobs, with or without a final loss of power of all boxes and workers right
//! after a job was accepted, and jobs in the calm that follows.

use {
    crate::{
        callers::Caller,
        fault::Player,
        plan::{Event, Fault},
        settle,
        world::World,
    },
    anyhow::Result,
    fastrand::Rng,
    kernel::{sync::lock, task::Signal},
    std::{
        str::FromStr,
        thread,
        time::{Duration, Instant},
    },
};

/// Salt of the random generators.
const SALT: u64 = 0x706f_7765;
/// Number of jobs that are submitted before the power is lost.
const JOBS: std::ops::Range<u64> = 3..7;
/// The pause between two of them, in milliseconds.
const PAUSE: std::ops::Range<u64> = 0..300;
/// Time from the last acceptance to the loss of power, in milliseconds; often none.
const DELAY: std::ops::Range<u64> = 1..1_000;
/// How long a box stays down, in milliseconds.
const BOX_DOWNTIME: std::ops::Range<u64> = 200..3_000;
/// How long a worker stays down, in milliseconds.
const WORKER_DOWNTIME: std::ops::Range<u64> = 200..5_000;
/// With one seed in this many some workers stay down, and one of this many workers at most.
const GONE_ONE_IN: usize = 3;
/// The duration of the load in the calm.
const CALM_TIME: Duration = Duration::from_secs(12);
/// It goes on for longer, up to this time, until the check of jobs that stand still has applied at
/// `MIN_MOMENTS` moments.
const MAX_CALM_TIME: Duration = Duration::from_secs(30);
const MIN_MOMENTS: usize = 50;
/// The same where time bounds are not checked.
const UNTIMED_CALM_TIME: Duration = Duration::from_secs(2);
/// The pause between two jobs in the calm, in milliseconds.
const CALM_PAUSE: std::ops::Range<u64> = 200..900;
/// With half of the seeds this one of the jobs in the calm crashes workers. More would keep so many
/// workers down that there is no room.
const CRASHING_JOB: usize = 4;

/// How a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// Without a further fault.
    Calm,
    /// All boxes and workers lose power.
    PowerLoss,
}

impl FromStr for Closing {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "calm" => Ok(Closing::Calm),
            "power-loss" => Ok(Closing::PowerLoss),
            _ => Err("expected calm or power-loss".to_owned()),
        }
    }
}

/// Draws the final faults. Their time 0 is the acceptance of the last job.
pub fn draw(closing: Option<Closing>, seed: u64, boxes: usize, workers: usize) -> Vec<Event> {
    if closing != Some(Closing::PowerLoss) {
        return Vec::new();
    }
    let mut rng = Rng::with_seed(seed ^ SALT);
    let at = match rng.u64(0..3) {
        0 => rng.u64(DELAY),
        _ => 0,
    };
    // Whether workers keep their names is a property of the platform, not of one worker.
    let keeps_name = rng.bool();
    let off = (0..workers).map(|number| Event {
        at,
        duration: rng.u64(WORKER_DOWNTIME),
        fault: Fault::PowerOff(number, keeps_name),
    });
    let mut plan: Vec<Event> = off.collect();
    plan.extend((0..boxes).map(|number| Event {
        at,
        duration: rng.u64(BOX_DOWNTIME),
        fault: Fault::Kill(number),
    }));
    if rng.usize(0..GONE_ONE_IN) == 0 {
        for event in &mut plan[..workers / GONE_ONE_IN] {
            let Fault::PowerOff(number, _) = event.fault else {
                continue;
            };
            if rng.bool() {
                event.fault = Fault::Gone(number);
            }
        }
    }
    plan
}

/// Submits the last jobs, then applies the final faults until they are over. The player goes on
/// restarting boxes when it is run again.
///
/// # Errors
///
/// A box cannot be started.
pub fn run<'a>(world: &'a World, seed: u64, plan: &'a [Event]) -> Result<Player<'a>> {
    let mut rng = Rng::with_seed(seed ^ SALT);
    let mut caller = Caller::for_closing(world, seed, 0);
    for _ in 0..rng.u64(JOBS) {
        thread::sleep(Duration::from_millis(rng.u64(PAUSE)));
        caller.submit_closing(settle::timeout(world), false);
    }
    let mut player = Player::new(world, plan);
    let over = Signal::new();
    over.stop();
    player.run(Instant::now(), &over)?;
    Ok(player)
}

/// Submits jobs in the calm after the last fault, few enough to leave most cores free.
pub fn run_calm(world: &World, seed: u64) {
    let mut rng = Rng::with_seed(seed ^ !SALT);
    let mut caller = Caller::for_closing(world, seed, 1);
    let is_over = |time: Duration| {
        let is_judged = || lock(&world.idle).moments >= MIN_MOMENTS || time >= MAX_CALM_TIME;
        match world.timed {
            true => time >= CALM_TIME && is_judged(),
            false => time >= UNTIMED_CALM_TIME,
        }
    };
    let has_crashes = rng.bool();
    let started = Instant::now();
    for number in 0.. {
        if is_over(started.elapsed()) {
            break;
        }
        caller.submit_closing(
            settle::timeout(world),
            has_crashes && number == CRASHING_JOB,
        );
        thread::sleep(Duration::from_millis(rng.u64(CALM_PAUSE)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draw_hits_all_at_once() {
        let closing = Some(Closing::PowerLoss);
        let mut names = std::collections::HashSet::new();
        let mut gone = 0;
        for seed in 0..50 {
            let plan = draw(closing, seed, 3, 6);
            assert_eq!(plan.len(), 9);
            assert!(plan.iter().all(|event| event.at == plan[0].at));
            assert_eq!(plan, draw(closing, seed, 3, 6));
            for event in plan {
                match event.fault {
                    Fault::PowerOff(_, keeps_name) => drop(names.insert(keeps_name)),
                    Fault::Gone(_) => gone += 1,
                    _ => {}
                }
            }
        }
        assert_eq!(names.len(), 2);
        assert!((1..50).contains(&gone));
    }
}
