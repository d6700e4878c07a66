//! Settings that a box is started with, and the time-outs, intervals and limits that all boxes
//! share.

use {
    cell::Timing,
    kernel::client::Timeout,
    std::{str::FromStr, sync::Arc, time::Duration},
};

/// Settings of a box.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the box.
    pub name: Arc<str>,
    /// The data hall of the box.
    pub hall: Arc<str>,
    /// Its processor share, in thousandths of a core.
    pub share: u32,
    /// Bandwidth of its link in each direction, in bytes per millisecond.
    pub link: u64,
    /// Maximum number of workers that it connects to directly as the owner. In a larger cell,
    /// relays connect to the workers.
    pub own_workers: usize,
    /// Address and port where other boxes reach it.
    pub address: Arc<str>,
    /// Time limits of the deployment for leases and stops of workers.
    pub timing: Timing,
    /// How long a worker still accepts new tasks after it has announced that it leaves.
    pub drain: Duration,
    /// How long the record of an ended job is kept.
    pub retention: Duration,
    /// What a new owner may start before all workers have answered it.
    pub takeover: Takeover,
    /// Jobs that would end too late are refused.
    pub admission: bool,
}

/// What a new owner may start before all workers have answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takeover {
    /// All tasks that surely run nowhere else.
    Gradual,
    /// Nothing. Boxes write no fences into accepted jobs.
    Complete,
}

impl FromStr for Takeover {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "gradual" => Ok(Takeover::Gradual),
            "complete" => Ok(Takeover::Complete),
            _ => Err(()),
        }
    }
}

impl Settings {
    /// Maximum number of workers that a box can connect to, given its processor share in
    /// thousandths of a core and its link in bytes per millisecond.
    pub const fn max_workers(share: u32, link: u64) -> usize {
        let by_share = WORKERS_PER_CORE * share as u64 / 1_000;
        let by_link = link * 2 / 3 / WORKER_LINK_RATE;
        if by_share < by_link {
            by_share as usize
        } else {
            by_link as usize
        }
    }

    /// Maximum time between two listings of the workers.
    pub fn max_list_interval(&self) -> Duration {
        (self.drain * LIST_DRAIN_TENTHS / 10).max(LIST_INTERVAL)
    }

    /// True for a link so slow that messages are worth the processor time to compress them.
    pub const fn has_narrow_link(&self) -> bool {
        self.link < NARROW_LINK
    }

    /// Maximum number of workers that this box connects to directly while it owns the cell.
    pub fn direct_workers(&self) -> usize {
        let by_link = (self.link / 2 / WORKER_LINK_RATE) as usize;
        self.own_workers.min(by_link)
    }
}

/// Workers that a box can connect to per core.
const WORKERS_PER_CORE: u64 = 180;
/// Links below this bandwidth, in bytes per millisecond, are narrow: 10 Mbit/s.
const NARROW_LINK: u64 = 1_250;
/// Peak bandwidth of the connection to one worker, in bytes per millisecond. Worker connections may
/// take two thirds of a relay's link, and half of an owner's.
const WORKER_LINK_RATE: u64 = 8;
/// Length of the owner's lease. The store grants no lease below 1 s. A box that is stopped briefly
/// (by its processor quota or a pause) must not lose its cell.
pub const OWNER_LEASE: Duration = Duration::from_millis(2_000);
/// Interval of lease renewals: three of them may fail before the lease expires.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum age of the last confirmation of the ownership at which orders are sent, on a clock that
/// advances during suspensions. Another box can claim the cell no sooner than [`OWNER_LEASE`] after
/// a confirmation by the store; the difference covers the time that an order takes to its receiver.
pub const MAX_CONFIRMATION_AGE: Duration = OWNER_LEASE.saturating_sub(RENEW_INTERVAL);
/// The same for polls that extend leases. The deadline that a poll asks for was set when the
/// ownership was confirmed, and does not move while the poll waits on a slow link.
pub const MAX_LEASE_CONFIRMATION_AGE: Duration = OWNER_LEASE.saturating_add(RENEW_INTERVAL);
/// Minimum time between two log entries about orders that were not sent for lack of a permit.
pub const REFUSAL_LOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two groups of records. The end of a task has to be stored within 100 ms,
/// and each group costs a call to the store.
pub const GROUP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of transaction entries for the records of a group. The store accepts 32 entries,
/// of which the condition, the head, the owner, the fleet and the seals take five.
pub const GROUP_ENTRIES: usize = 27;
/// Number of records that fills a group if all are of ended jobs, which take two entries each.
pub const GROUP_RECORDS: usize = GROUP_ENTRIES / 2;
/// Minimum time between two placement passes, so that many reports share one pass.
pub const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Interval at which the owner checks worker leases and opens the due time slots of jobs with a
/// timetable.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two listings of the workers by the owner. A worker that announces that it
/// leaves must get no more tasks after 2 s.
pub const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two listings as a multiple of the duration of the last one, so that listings take
/// an eleventh of the time and of the link.
pub const LIST_PAUSE_FACTOR: u32 = 10;
/// Maximum time between two listings, in tenths of the time for which a leaving worker accepts new
/// tasks. The interval, the listing and the delivery of a start must together fit into that time.
const LIST_DRAIN_TENTHS: u32 = 4;
/// Interval at which the owner checks whether the interference model has to be written, which is
/// every 4 s.
pub const INTERFERENCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two of these writes as a multiple of the duration of the last one, so that they
/// take a twentieth of a narrow link.
pub const INTERFERENCE_PAUSE_FACTOR: u32 = 20;
/// Interval between two reads of the closed data halls; half of it after a failed read. A watch
/// would not replace these reads, since its connection may fail silently.
pub const HALLS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the owner checks for maintenance waves while there is none. Waves take tens of
/// seconds.
pub const WAVE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Duration of one watch of the configuration. A watch whose connection has failed silently is
/// detected after this time.
pub const CONFIG_WATCH_TIME: Duration = Duration::from_millis(1_400);
/// Minimum time between two reads of the configuration. The reads back up the watch, whose
/// connection may fail silently.
pub const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(1_400);
/// Time between two of these reads as a multiple of the duration of the last one, so that they take
/// an eleventh of the time and of the link.
pub const CONFIG_PAUSE_FACTOR: u64 = 10;
/// Maximum time between two of these reads.
pub const MAX_CONFIG_INTERVAL: Duration = Duration::from_millis(5_000);
/// Size in bytes from which successive configuration versions are not watched one by one. On the
/// slowest links, 2 Mbit/s, the transfer of such a value takes a third of a second.
pub const LARGE_CONFIG: usize = 64 * 1024;
/// Duration of one watch of the owner's key, after which the key is read. A watch whose connection
/// has failed silently is detected after this time, and the death of the owner goes unnoticed until
/// then.
pub const OWNER_WATCH_TIME: Duration = Duration::from_millis(2_500);
/// Duration of one watch of the intake. It bounds the delay of callers' requests when the
/// connection of the watch has failed silently.
pub const INTAKE_WATCH_TIME: Duration = Duration::from_millis(600);
/// Minimum time between two checks of the intake for jobs that the watch has skipped.
pub const INTAKE_CHECK_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time between two of these checks as a multiple of the duration of the last one, so that they
/// take a twentieth of a narrow link.
pub const INTAKE_CHECK_PAUSE_FACTOR: u32 = 20;
/// Pause while the owner's key is missing although the owner is alive and about to write it again.
pub const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed call to the store.
pub const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time between two probes of an unreachable store.
pub const MAX_PROBE_PAUSE: Duration = Duration::from_millis(500);
/// How long a task waits for the store to answer a call of another task, in milliseconds.
pub const RECOVERY_WAIT_MS: u64 = 2_000;
/// How long a start order may wait in a queue, in milliseconds, which leaves time to repeat it.
pub const MAX_START_WAIT_MS: u64 = 600;
/// Maximum age of a start order that is sent or repeated, in milliseconds. Its task may end on
/// another worker meanwhile, and must not start more than a second after that end is stored.
pub const MAX_START_AGE_MS: u64 = 850;
/// How long an order to a worker may be without an answer before orders about other tasks are sent
/// beside it. A worker responds within some milliseconds, so that orders usually share a connection.
pub const ORDER_PATIENCE: Duration = Duration::from_millis(30);
/// Maximum number of orders to one worker without an answer. Each may use several connections, and a
/// worker accepts 64 from all boxes together.
pub const MAX_ORDERS_IN_FLIGHT: usize = 6;
/// Minimum time between a poll of a worker that fails and the next one.
pub const POLL_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time-out of a call to another box.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time-out of a call to another box that may be retried once.
pub const PEER_RETRY: Timeout = Timeout::with_retry(PEER_TIMEOUT, Duration::from_millis(200));
/// Interval between two attempts to notify the owner of a cancellation.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the owner is notified of a cancellation that it does not confirm, in milliseconds. A
/// dead owner is replaced within 4 s, and the new one reads the cancellation from the store.
pub const NOTIFY_TIMEOUT_MS: u64 = 10_000;
/// The store is unreachable once its calls fail and it has not answered for this long.
pub const STORE_UNREACHABLE: Duration = Duration::from_millis(1_500);
/// Once a probe of a failing store has taken this long, in milliseconds, callers are refused
/// without waiting for its end.
pub const SLOW_PROBE_MS: u64 = 100;
/// Minimum time between two exchanges of a relay with the owner. It delays the start of a task and
/// the report of its end.
pub const RELAY_MIN_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum time between two exchanges of a relay, in milliseconds.
pub const RELAY_MAX_INTERVAL_MS: u64 = 100;
/// Minimum time between two exchanges of a box that is not needed as a relay.
pub const IDLE_MIN_INTERVAL: Duration = Duration::from_millis(400);
/// Exchanges of such boxes that an owner handles per second. With more boxes, each exchanges less
/// often.
pub const IDLE_REQUEST_RATE: u64 = 1_500;
/// Maximum time between two exchanges of such a box, in milliseconds.
pub const IDLE_MAX_INTERVAL_MS: u64 = 2_000;
/// How late a heartbeat of the owner may arrive before the last one expires.
pub const HEARTBEAT_SLACK: Duration = Duration::from_millis(600);
/// Maximum age of the last lease renewal at which other boxes rely on a heartbeat. Beyond it two
/// renewals have failed.
pub const MAX_LEASE_AGE: Duration = Duration::from_millis(1_100);
/// Interval between two probes of the store by a box that makes no other calls to it.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two reads of the owner's key by a relay whose owner does not answer, in
/// milliseconds; the maximum is twice as long.
pub const RELAY_OWNER_READ_MS: u64 = 100;
/// The same time for boxes that are not relays.
pub const IDLE_OWNER_READ_MS: u64 = 1_000;
/// Maximum amount of data in flight on a link, in milliseconds of its bandwidth. More would delay
/// leases, stops and the answers of the store on the same link; less would leave the link idle
/// between two exchanges.
pub const MAX_IN_FLIGHT_MS: u64 = 250;
/// Time-out of one exchange of a relay. It may be retried, since the owner processes each request
/// once. Requests and responses are sent again unchanged, and are large after a failure or in a
/// burst.
pub const RELAY_TIMEOUT: Timeout =
    Timeout::with_retry(Duration::from_millis(800), Duration::from_millis(400)).streaming();
/// How long a relay whose box is stopping waits until the owner has given its workers to other
/// relays. A stopped box serves callers for 2.6 s.
pub const RELAY_LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Boxes below this processor share, in thousandths of a core, leave the cell to stronger boxes.
pub const LOW_SHARE: u32 = 200;
/// How long such a box delays its claim, so that a stronger box can claim the cell first.
pub const LOW_SHARE_DELAY: Duration = Duration::from_millis(900);
