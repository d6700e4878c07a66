//! What a box is told at its start.

use {
    cell::Timing,
    kernel::client::Time,
    std::{sync::Arc, time::Duration},
};

/// Settings of a box.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the box.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its share of a core, in thousandths.
    pub share: u32,
    /// What its link carries each way, in bytes a millisecond.
    pub link: u64,
    /// The most workers that it talks to alone when it owns the cell; with more, relays talk to all.
    pub own_workers: usize,
    /// The address and port that other boxes reach it by.
    pub address: Arc<str>,
    /// Bounds of the deployment.
    pub timing: Timing,
    /// How long a worker may be given tasks after it has said that it leaves.
    pub drain: Duration,
    /// How long the record of a job that has ended is kept.
    pub retention: Duration,
}

impl Settings {
    /// The most workers that a box with this share of a core, in thousandths, and this link talks to.
    pub const fn max_workers(share: u32, link: u64) -> usize {
        let by_share = WORKERS_PER_CORE * share as u64 / 1_000;
        let by_link = link * 2 / 3 / WORKER_LINK_RATE;
        if by_share < by_link {
            by_share as usize
        } else {
            by_link as usize
        }
    }

    /// The most time between two listings of the workers.
    pub fn max_list_interval(&self) -> Duration {
        (self.drain * LIST_DRAIN_TENTHS / 10).max(LIST_INTERVAL)
    }

    /// True for a link on which bytes cost more than the processor's time to pack them.
    pub const fn has_narrow_link(&self) -> bool {
        self.link < NARROW_LINK
    }

    /// The most workers that this box talks to alone while it owns the cell.
    pub fn direct_workers(&self) -> usize {
        let by_link = (self.link / 2 / WORKER_LINK_RATE) as usize;
        self.own_workers.min(by_link)
    }
}

/// Workers that a box talks to for each core that it has.
const WORKERS_PER_CORE: u64 = 180;
/// Links that carry less than this, in bytes a millisecond, are narrow: 10 Mbit/s.
const NARROW_LINK: u64 = 1_250;
/// What the talk with one worker takes of a link at its most, in bytes a millisecond. Two thirds of a relay's link are
/// for it, and half of an owner's.
const WORKER_LINK_RATE: u64 = 8;
/// How long a lease of the store lives; the shortest that it grants is 1 s. A box that is stopped
/// for a moment (a quota of processor time, a pause) must not lose its cell.
pub const OWNER_LEASE: Duration = Duration::from_millis(2_000);
/// How often a lease is renewed: three renewals may be lost.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// The least time between two groups of records. Ends are to be noted within 100 ms; each group
/// costs a call.
pub const GROUP_INTERVAL: Duration = Duration::from_millis(20);
/// The most entries that the records of a group take: the store takes 32, and the condition, the head, the
/// owner and the fleet take four.
pub const GROUP_ENTRIES: usize = 28;
/// The records that fill a group when all are of jobs that have ended, which take two entries each.
pub const GROUP_RECORDS: usize = GROUP_ENTRIES / 2;
/// The least time between two passes of placement, so that many reports share one pass.
pub const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// How often leases of workers are checked and due times opened.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two listings of the workers while owning: a worker that leaves must get no task 2 s
/// later.
pub const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// The time between two listings in terms of how long the last one took: they take an eleventh of the time, and
/// of the link.
pub const LIST_PAUSE_FACTOR: u32 = 10;
/// The most time between them, as the part in ten of how long a worker that leaves takes new tasks: with the time of
/// the listing and of a start on its way, it must not be over.
const LIST_DRAIN_TENTHS: u32 = 4;
/// Between two looks at whether what was learned is due to be written, which it is every 4 s.
pub const INTERFERENCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time between two such writes in terms of how long the last one took: they take a twentieth of a narrow link.
pub const INTERFERENCE_PAUSE_FACTOR: u32 = 20;
/// Between two reads of which data halls are shut, and after one that failed half of it. A watch would need reads besides,
/// since it may hear nothing.
pub const HALLS_INTERVAL: Duration = Duration::from_millis(500);
/// How often the owner looks for a wave of upkeep while there is none; waves last tens of seconds.
pub const WAVE_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a watch of the configuration waits, after which one on a silent connection is found out.
pub const CONFIG_WATCH_TIME: Duration = Duration::from_millis(1_400);
/// The least time between two reads of the configuration besides watching it: a watch may hear nothing.
pub const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(1_400);
/// The time between two of these reads in terms of how long the last one took: they take an eleventh of
/// the time, and of the link.
pub const CONFIG_PAUSE_FACTOR: u64 = 10;
/// The most time between two of these reads.
pub const MAX_CONFIG_INTERVAL: Duration = Duration::from_millis(5_000);
/// From this size on, in bytes, versions that follow each other are not watched one by one: on the slowest
/// links, of 2 Mbit/s, such a value takes a third of a second.
pub const LARGE_CONFIG: usize = 64 * 1024;
/// How long a watch of the owner waits; then its key is read. A watch whose connection has gone silent
/// is found out after this time, and until then the death of the owner is not seen.
pub const OWNER_WATCH_TIME: Duration = Duration::from_millis(2_500);
/// How long a watch of the intake waits: one that has gone silent holds what callers sent back for no longer.
pub const INTAKE_WATCH_TIME: Duration = Duration::from_millis(600);
/// The pause while the owner's key is missing though its owner lives and is about to write it again.
pub const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The pause after a call of the store that failed.
pub const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The most time between two probes of a store that does not answer.
pub const MAX_PROBE_PAUSE: Duration = Duration::from_millis(500);
/// How long a task waits for another one to be answered by the store, in milliseconds.
pub const RECOVERY_WAIT_MS: u64 = 2_000;
/// How long an order to start may wait behind others, in milliseconds. Its task may end elsewhere meanwhile, and
/// must not start more than a second after that is written down; its second try leaves 0.25 s later.
pub const MAX_START_WAIT_MS: u64 = 600;
/// The pause after a poll of a worker that failed.
pub const POLL_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The time for one call to another box.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// The time for one that may be made twice.
pub const PEER_RETRY: Time = Time::twice(PEER_TIMEOUT, Duration::from_millis(200));
/// Between two tries to tell the owner of a cancellation.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the owner is told of a cancellation that it does not confirm, in milliseconds: a dead one is
/// replaced within 4 s, and its successor reads the cancellation from the store.
pub const NOTIFY_TIMEOUT_MS: u64 = 10_000;
/// An owner that has had no answer of the store for this long is cut off from it.
pub const STORE_UNREACHABLE: Duration = Duration::from_millis(1_500);
/// While a probe of a failing store has taken this long, in milliseconds, callers are refused without
/// waiting for it.
pub const SLOW_PROBE_MS: u64 = 100;
/// The least time between two exchanges of a relay with the owner: a task is started and its end known that
/// much later.
pub const RELAY_MIN_INTERVAL: Duration = Duration::from_millis(25);
/// The most time between two exchanges, in milliseconds.
pub const RELAY_MAX_INTERVAL_MS: u64 = 100;
/// Between two offers of a box that is not needed as a relay, at the least.
pub const IDLE_MIN_INTERVAL: Duration = Duration::from_millis(400);
/// Offers of such boxes that an owner takes in a second; with more boxes they come less often each.
pub const IDLE_REQUEST_RATE: u64 = 1_500;
/// The most time between two of these offers, in milliseconds.
pub const IDLE_MAX_INTERVAL_MS: u64 = 2_000;
/// How much later than it was to come a heartbeat of the owner may come.
pub const HEARTBEAT_SLACK: Duration = Duration::from_millis(600);
/// An owner whose lease was last renewed longer ago is not sure enough for others: two renewals have failed.
pub const MAX_LEASE_AGE: Duration = Duration::from_millis(1_100);
/// Between two probes of the store by a box that has no other reason to call it.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The least time between two reads of the owner's key by a relay whose owner does not answer, in milliseconds; at most
/// twice as long.
pub const RELAY_OWNER_READ_MS: u64 = 100;
/// The same for other boxes.
pub const IDLE_OWNER_READ_MS: u64 = 1_000;
/// How much may be on its way at once, in milliseconds of the link that carries it. What waits longer
/// delays leases, stops and the answers of the store on the same link; less would leave the link idle between
/// two exchanges.
pub const MAX_IN_FLIGHT_MS: u64 = 250;
/// The time for one exchange of a relay. It may be made twice: the owner takes each offer once. Offers and
/// duties are sent again unchanged, and after trouble or in a burst they are large.
pub const RELAY_TIMEOUT: Time =
    Time::twice(Duration::from_millis(800), Duration::from_millis(400)).flowing();
/// Boxes with less than this share of a core, in thousandths, leave the cell to stronger ones.
pub const LOW_SHARE: u32 = 200;
/// How long they wait for these.
pub const LOW_SHARE_DELAY: Duration = Duration::from_millis(900);
