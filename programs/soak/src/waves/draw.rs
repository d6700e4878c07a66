//! Draws the operators' maintenance waves and the faults that hit them, from the seed alone.

use {
    crate::plan::{Event, Fault},
    fastrand::Rng,
    std::time::Duration,
};

/// Salt of the random generator.
const SALT: u64 = 0x7761_7665;
/// With fewer workers the tasks that run until they are cancelled might find no room beside a wave.
pub const MIN_WORKERS: usize = 6;
/// One of this many workers may be down for maintenance at the same time.
const WORKERS_PER_DOWN: usize = 3;
/// Number of machines of a wave, at least.
const MIN_MACHINES: usize = 2;
/// Number of machines of a wave, at most: this, or half of all if they are more.
const MAX_MACHINES: usize = 4;
/// Time of the first request, in milliseconds.
const FIRST_REQUEST: std::ops::Range<u64> = 200..1_500;
/// Time from one request to the next, in milliseconds.
const REQUEST_INTERVAL: std::ops::Range<u64> = 1_000..6_000;
/// Time from the request of a wave to the first fault that hits it, in milliseconds: orders begin
/// up to 2 s and a drain after the request.
const FIRST_FAULT: std::ops::Range<u64> = 0..3_000;
/// Time from one of these faults to the next, in milliseconds.
const FAULT_INTERVAL: std::ops::Range<u64> = 500..4_000;
/// Number of these faults for each wave.
const FAULTS: std::ops::Range<usize> = 2..6;
/// How long orders are answered late or copied late, in milliseconds: some longer than the 1.5 s
/// for which a box waits.
const ORDER_DELAY: std::ops::Range<u64> = 100..2_500;
/// How long after its arrival an order is carried out and answered, in milliseconds.
const BEGIN_DELAY: std::ops::Range<u64> = 200..3_000;
/// How long the service has one of these faults, in milliseconds.
const SERVICE_FAULT: std::ops::Range<u64> = 1_000..6_000;
/// How long a box is frozen, in milliseconds: mostly longer than the lease of an owner (2 s) and a
/// takeover.
const FREEZE: std::ops::Range<u64> = 1_500..5_000;
/// How long a killed or terminated box stays down, in milliseconds.
const DOWNTIME: std::ops::Range<u64> = 50..3_000;

/// A wave that the operators request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The number of the wave.
    pub number: u64,
    /// The indices of its machines, in the order of the request.
    pub machines: Vec<usize>,
    /// How many of them may be down for maintenance at once.
    pub limit: usize,
}

impl Request {
    /// The smallest number of steps in which all machines can get their maintenance.
    pub fn rounds(&self) -> usize {
        self.machines.len().div_ceil(self.limit)
    }
}

/// What happens to a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hit {
    /// It is suspended by SIGSTOP and resumed later.
    Freeze,
    /// It is killed and restarted later.
    Kill,
    /// It is sent SIGTERM, and restarted later once it has exited.
    Term,
}

/// An event that concerns maintenance waves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveFault {
    /// The operators request the wave with this index.
    Request(usize),
    /// Orders are carried out and answered this many milliseconds after their arrival.
    BeginsLate(u64),
    /// This many orders are neither carried out nor answered.
    OrdersLost(u32),
    /// This many orders are carried out, and answered this many milliseconds late.
    AnswersLate(u32, u64),
    /// This many orders are delivered once more after this many milliseconds.
    OrdersDoubled(u32, u64),
    /// The owner of the cell is hit.
    HitOwner(Hit),
    /// The box that sends the next order is hit right after it.
    HitAfterOrder(Hit),
}

/// The maintenance waves of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WavePlan {
    /// The waves.
    pub requests: Vec<Request>,
    /// Their requests and the faults that hit them, ordered by start.
    pub events: Vec<Event>,
}

/// How many machines may be down for maintenance at once, for all waves together.
pub fn max_down(workers: usize) -> usize {
    (workers / WORKERS_PER_DOWN).max(1)
}

/// Draws `count` waves for a run of this length.
pub fn draw(seed: u64, time: Duration, count: usize, workers: usize) -> WavePlan {
    let mut rng = Rng::with_seed(seed ^ SALT);
    let end = time.as_millis() as u64;
    let mut plan = WavePlan::default();
    let mut at = rng.u64(FIRST_REQUEST);
    for index in 0..count {
        plan.requests.push(request(&mut rng, index, workers));
        // A request beyond the end of the load would not be played.
        let start = at.min(end.saturating_sub(1));
        plan.events.push(Event {
            at: start,
            duration: 1,
            fault: Fault::Wave(WaveFault::Request(index)),
        });
        plan.events.extend(faults(&mut rng, start, end));
        at += rng.u64(REQUEST_INTERVAL);
    }
    plan.events.sort_by_key(|event| event.at);
    plan
}

fn request(rng: &mut Rng, index: usize, workers: usize) -> Request {
    let mut machines: Vec<usize> = (0..workers).collect();
    rng.shuffle(&mut machines);
    machines.truncate(rng.usize(MIN_MACHINES..=MAX_MACHINES.max(workers / 2)));
    Request {
        number: index as u64 + 1,
        machines,
        limit: rng.usize(1..=max_down(workers)),
    }
}

/// Draws the faults that hit a wave requested at `start`.
fn faults(rng: &mut Rng, start: u64, end: u64) -> Vec<Event> {
    let mut found = Vec::new();
    let mut at = start + rng.u64(FIRST_FAULT);
    for _ in 0..rng.usize(FAULTS) {
        let (fault, duration) = fault(rng);
        let duration = duration.min(end.saturating_sub(at));
        if duration > 0 {
            found.push(Event {
                at,
                duration,
                fault: Fault::Wave(fault),
            });
        }
        at += rng.u64(FAULT_INTERVAL);
    }
    found
}

fn fault(rng: &mut Rng) -> (WaveFault, u64) {
    let (orders, delay) = (rng.u32(1..3), rng.u64(ORDER_DELAY));
    let hit = rng.choice([Hit::Freeze, Hit::Kill, Hit::Term]);
    let hit = hit.unwrap_or(Hit::Kill);
    let hit_time = match hit {
        Hit::Freeze => rng.u64(FREEZE),
        Hit::Kill | Hit::Term => rng.u64(DOWNTIME),
    };
    match rng.u64(0..10) {
        0 => (
            WaveFault::BeginsLate(rng.u64(BEGIN_DELAY)),
            rng.u64(SERVICE_FAULT),
        ),
        1 => (WaveFault::OrdersLost(orders), rng.u64(SERVICE_FAULT)),
        2 => (
            WaveFault::AnswersLate(orders, delay),
            rng.u64(SERVICE_FAULT),
        ),
        3 => (
            WaveFault::OrdersDoubled(orders, delay),
            rng.u64(SERVICE_FAULT),
        ),
        4 | 5 => (WaveFault::HitOwner(hit), hit_time),
        _ => (WaveFault::HitAfterOrder(hit), hit_time),
    }
}
