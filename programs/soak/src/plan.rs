//! The fault plan of a run: which fault starts when and how long it lasts, drawn from the seed
//! alone.

use {
    crate::waves::draw::WaveFault,
    fastrand::Rng,
    std::{fmt, time::Duration},
};

/// Time from the start of the run to the first burst of faults, in milliseconds.
const FIRST_BURST: u64 = 500;
/// Number of faults in a burst.
const BURST_SIZE: std::ops::Range<u64> = 1..6;
/// The faults of a burst start within this time, in milliseconds.
const BURST_SPREAD: u64 = 2_500;
/// A pause without faults that is long enough for the checks that need one, in milliseconds: 5 s
/// before a cancellation and 3.9 s after it.
const FAULT_FREE_PAUSE: std::ops::Range<u64> = 9_500..11_500;
/// Salt of the random generator for faults of worker entries and capacity.
const ENTRY_SALT: u64 = 0x6f64_6400;
/// Salt of the random generator for restarts of workers under their former ids.
const RESTART_SALT: u64 = 0x6e61_6d65;
/// Lower bound of the `--reborn` interval, in milliseconds.
const MIN_RESTART_INTERVAL: u64 = 1_000;
/// Salt of the random generator for hall closures.
const HALL_SALT: u64 = 0x6861_6c6c;
/// Number of data halls; workers are assigned to them in turn.
pub const HALLS: usize = 3;
/// Length of a hall closure, in milliseconds: usually longer than the 5 s after which no task may
/// start in the hall.
const CLOSURE_LENGTH: std::ops::Range<u64> = 500..14_000;
/// Time from the start of one hall closure to the next, in milliseconds.
const CLOSURE_INTERVAL: std::ops::Range<u64> = 1_000..16_000;
/// Maximum time between two faults of worker entries or capacity, in milliseconds.
const ENTRY_INTERVAL: u64 = 5_000;
/// The lease of an owner, in milliseconds.
const OWNER_LEASE: u64 = 2_000;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A box is suspended by SIGSTOP and resumed at the end.
    Pause(usize),
    /// All boxes are suspended by SIGSTOP and resumed at the end.
    PauseAll,
    /// A box is killed, and restarted at the end.
    Kill(usize),
    /// All boxes are killed, and restarted at the end.
    KillAll,
    /// A box is sent SIGTERM, and restarted at the end once it has exited.
    Term(usize),
    /// All boxes are sent SIGTERM, and restarted at the end once they have exited.
    TermAll,
    /// The open connections between a box and the store stop carrying data.
    StoreSilent(usize),
    /// The open connections between a box and the store lose one direction: true for what the box
    /// sends, false for what it receives.
    StoreOneWay(usize, bool),
    /// The open connections between a box and the store are reset.
    StoreReset(usize),
    /// Data between a box and the store is delayed by this many milliseconds.
    StoreSlow(usize, u64),
    /// One box cannot connect to the store.
    StoreAway(usize),
    /// The store responds with 503.
    Busy,
    /// The store closes the connection of every call.
    Reset,
    /// The store applies this many writes and loses the responses.
    Lost(u32),
    /// The store applies this many writes only at the end of the fault.
    Late(u32),
    /// Watches of the store deliver no events.
    Deaf,
    /// The store compacts its history.
    Compact,
    /// The open connections to a worker stop carrying data.
    WorkerSilent(usize),
    /// The open connections to a worker lose one direction: true for requests, false for responses.
    WorkerOneWay(usize, bool),
    /// The open connections to a worker are reset.
    WorkerReset(usize),
    /// Data to and from a worker is delayed by this many milliseconds.
    WorkerSlow(usize, u64),
    /// A worker crashes and restarts; the entry of the former incarnation stays until the end.
    Crash(usize),
    /// A worker crashes and restarts under its former id; its entry is updated at once, or at the
    /// end if the flag is true.
    Reborn(usize, bool),
    /// A worker loses power and comes back at the end: under its former id if the flag is true.
    PowerOff(usize, bool),
    /// A worker loses power and stays down; its entry is removed at the end.
    Gone(usize),
    /// A worker does not respond to this many calls, and executes them at the end.
    CallsLate(usize, u32),
    /// A worker refuses starts.
    Unwell(usize),
    /// A worker closes the connection of every call.
    WorkerAway(usize),
    /// A worker executes this many starts and loses the responses.
    StartsLost(usize, u32),
    /// A worker is missing from the listing.
    Unlisted(usize),
    /// The capacity of a worker drops to this many cores.
    Shrunk(usize, u64),
    /// The entry of a worker is replaced by an invalid value.
    Garbled(usize),
    /// An entry that is not a worker of the service is listed beside the workers.
    Foreign(usize),
    /// The operators close a data hall.
    Shut(usize),
    /// The operators write a new version of the configuration.
    Version,
    /// An older version of the configuration is shown for a while.
    OldVersion,
    /// Concerns maintenance waves.
    Wave(WaveFault),
}

impl Fault {
    /// True when the fault affects this box, including its connection to the store.
    pub fn affects_box(self, number: usize) -> bool {
        match self {
            Fault::Pause(at)
            | Fault::Kill(at)
            | Fault::Term(at)
            | Fault::StoreSilent(at)
            | Fault::StoreOneWay(at, _)
            | Fault::StoreReset(at)
            | Fault::StoreSlow(at, _)
            | Fault::StoreAway(at) => at == number,
            Fault::PauseAll
            | Fault::KillAll
            | Fault::TermAll
            | Fault::Busy
            | Fault::Reset
            | Fault::Lost(_)
            | Fault::Late(_)
            | Fault::Deaf
            | Fault::Compact => true,
            _ => false,
        }
    }

    /// True for changes that operators make during normal operation.
    pub fn is_config_change(self) -> bool {
        matches!(
            self,
            Fault::Version
                | Fault::OldVersion
                | Fault::Shut(_)
                | Fault::Wave(WaveFault::Request(_))
        )
    }

    /// True when the fault keeps the box from being restarted while it lasts.
    pub fn keeps_down(self, number: usize) -> bool {
        match self {
            Fault::Kill(at) | Fault::Term(at) => at == number,
            Fault::KillAll | Fault::TermAll => true,
            _ => false,
        }
    }
}

/// A fault with its start and duration, both in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Time since the start of the run.
    pub at: u64,
    /// How long the fault lasts.
    pub duration: u64,
    /// A fault.
    pub fault: Fault,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Event {
            at,
            duration,
            fault,
        } = self;
        write!(f, "{at:>7} ms for {duration:>5} ms: {fault:?}")
    }
}

/// Draws the plan of a run, ordered by start.
///
/// `restart_interval` is the maximum time between two restarts of workers under their former ids,
/// in milliseconds; `None` for no such restarts.
pub fn draw(
    seed: u64,
    time: Duration,
    boxes: usize,
    workers: usize,
    restart_interval: Option<u64>,
) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed);
    let end = time.as_millis() as u64;
    let mut plan = Vec::new();
    let mut start = FIRST_BURST;
    while start < end {
        let mut last = start;
        for _ in 0..rng.u64(BURST_SIZE) {
            let (fault, duration) = fault(&mut rng, boxes, workers);
            let at = start + rng.u64(0..BURST_SPREAD);
            let duration = duration.min(end.saturating_sub(at));
            if duration > 0 {
                plan.push(Event {
                    at,
                    duration,
                    fault,
                });
                last = last.max(at + duration);
            }
        }
        start = last + draw_pause(&mut rng);
    }
    let mut at = rng.u64(500..2_500);
    while at + 1_000 < end {
        let (fault, duration) = match rng.u64(0..5) {
            0 => (Fault::OldVersion, 400),
            _ => (Fault::Version, 1),
        };
        plan.push(Event {
            at,
            duration,
            fault,
        });
        at += rng.u64(800..5_000);
    }
    plan.extend(entry_faults(seed, end, workers));
    if let Some(interval) = restart_interval {
        plan.extend(restarts(seed, end, workers, interval));
    }
    plan.extend(closures(seed, end));
    plan.sort_by_key(|event| event.at);
    plan
}

/// Draws faults of worker entries and capacity. They use a random generator of their own, so that
/// the rest of a known seed's plan does not depend on them.
fn entry_faults(seed: u64, end: u64, workers: usize) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed ^ ENTRY_SALT);
    let mut plan = Vec::new();
    let mut at = rng.u64(500..ENTRY_INTERVAL);
    while at + 1_000 < end {
        let worker = rng.usize(0..workers);
        let fault = match rng.u64(0..4) {
            0 | 1 => Fault::Shrunk(worker, rng.u64(0..4)),
            2 => Fault::Garbled(worker),
            _ => Fault::Foreign(rng.usize(0..4)),
        };
        let duration = rng.u64(300..6_000).min(end - at);
        plan.push(Event {
            at,
            duration,
            fault,
        });
        at += rng.u64(500..ENTRY_INTERVAL);
    }
    plan
}

/// Draws restarts of workers under their former ids, some of them at the same time, and calls that
/// are executed late; with a random generator of its own.
fn restarts(seed: u64, end: u64, workers: usize, interval: u64) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed ^ RESTART_SALT);
    let mut plan = Vec::new();
    let interval = interval.max(MIN_RESTART_INTERVAL);
    let mut at = rng.u64(500..interval);
    while at + 1_000 < end {
        let first = rng.usize(0..workers);
        let count = rng.usize(1..=2);
        for worker in first..workers.min(first + count) {
            let fault = match rng.u64(0..4) {
                0 => Fault::CallsLate(worker, rng.u32(1..4)),
                _ => Fault::Reborn(worker, rng.bool()),
            };
            let duration = rng.u64(50..2_500).min(end - at);
            plan.push(Event {
                at,
                duration,
                fault,
            });
        }
        at += rng.u64(300..interval);
    }
    plan
}

/// Draws hall closures, which may overlap; with a random generator of its own.
fn closures(seed: u64, end: u64) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed ^ HALL_SALT);
    let mut plan = Vec::new();
    let mut at = rng.u64(CLOSURE_INTERVAL);
    while at < end {
        let fault = Fault::Shut(rng.usize(0..HALLS));
        let duration = rng.u64(CLOSURE_LENGTH).min(end - at);
        plan.push(Event {
            at,
            duration,
            fault,
        });
        at += rng.u64(CLOSURE_INTERVAL);
    }
    plan
}

/// Draws the time until the next burst, in milliseconds.
fn draw_pause(rng: &mut Rng) -> u64 {
    match rng.u64(0..10) {
        0..3 => rng.u64(100..1_000),
        3..6 => rng.u64(1_000..4_000),
        _ => rng.u64(FAULT_FREE_PAUSE),
    }
}

fn fault(rng: &mut Rng, boxes: usize, workers: usize) -> (Fault, u64) {
    let (number, worker, is_request) = (rng.usize(0..boxes), rng.usize(0..workers), rng.bool());
    match rng.u64(0..36) {
        0..3 => (Fault::Pause(number), rng.u64(500..4_000)),
        3 => (
            Fault::Pause(number),
            rng.u64(OWNER_LEASE - 150..OWNER_LEASE + 250),
        ),
        4 => (Fault::PauseAll, rng.u64(500..3_000)),
        5..9 => (Fault::Kill(number), rng.u64(50..3_000)),
        9 => (Fault::KillAll, rng.u64(50..2_500)),
        10..12 => (Fault::Term(number), rng.u64(200..4_000)),
        12 => (Fault::TermAll, rng.u64(200..3_000)),
        13 => (Fault::StoreSilent(number), 1),
        14 => (Fault::StoreOneWay(number, is_request), 1),
        15 => (Fault::StoreReset(number), 1),
        16 => (
            Fault::StoreSlow(number, rng.u64(10..300)),
            rng.u64(500..4_000),
        ),
        17..19 => (Fault::StoreAway(number), rng.u64(300..5_000)),
        19 => (Fault::Busy, rng.u64(100..3_500)),
        20 => (Fault::Reset, rng.u64(100..3_500)),
        21 => (Fault::Lost(rng.u32(1..8)), rng.u64(500..2_000)),
        22 => (Fault::Late(rng.u32(1..6)), rng.u64(200..2_500)),
        23 => (Fault::Deaf, rng.u64(500..4_000)),
        24 => (Fault::Compact, 1),
        25 => (Fault::WorkerSilent(worker), 1),
        26 => (Fault::WorkerOneWay(worker, is_request), 1),
        27 => (Fault::WorkerReset(worker), 1),
        28 => (
            Fault::WorkerSlow(worker, rng.u64(10..300)),
            rng.u64(500..4_000),
        ),
        29..31 => (Fault::Crash(worker), rng.u64(500..5_000)),
        31 => (Fault::Unwell(worker), rng.u64(300..3_000)),
        32 => (Fault::WorkerAway(worker), rng.u64(300..7_000)),
        33 | 34 => (
            Fault::StartsLost(worker, rng.u32(1..5)),
            rng.u64(500..2_500),
        ),
        _ => (Fault::Unlisted(worker), rng.u64(300..4_000)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RUN_TIME: Duration = Duration::from_secs(60);

    fn sample_plan(seed: u64) -> Vec<Event> {
        draw(seed, RUN_TIME, 3, 6, Some(4_000))
    }

    /// Guards known seeds: the option `--reborn` adds events but changes no other event of the
    /// plan.
    #[test]
    fn draw_restarts_change_no_other_event() {
        let is_other =
            |event: &&Event| !matches!(event.fault, Fault::Reborn(..) | Fault::CallsLate(..));
        let with = sample_plan(7);
        let with: Vec<&Event> = with.iter().filter(is_other).collect();
        let without = draw(7, RUN_TIME, 3, 6, None);
        assert_eq!(with, without.iter().collect::<Vec<_>>());
    }

    #[test]
    fn draw_is_deterministic() {
        assert_eq!(sample_plan(7), sample_plan(7));
        assert_ne!(sample_plan(7), sample_plan(8));
    }

    #[test]
    fn draw_stays_within_time() {
        for seed in 0..50 {
            let plan = sample_plan(seed);
            assert!(plan.is_sorted_by_key(|event| event.at));
            assert!(plan.iter().all(|event| event.at + event.duration <= 60_000));
        }
    }

    /// Every kind of fault occurs.
    #[test]
    fn draw_covers_kinds() {
        let mut kinds = std::collections::HashSet::new();
        for seed in 0..50 {
            for event in sample_plan(seed) {
                kinds.insert(std::mem::discriminant(&event.fault));
            }
        }
        assert_eq!(kinds.len(), 34);
    }
}
