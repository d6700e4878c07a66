//! The queue of orders to one worker. Orders about the same task are sent one at a time and in order;
//! an order without an answer delays no orders about other tasks.
//!
//! A queued stop takes effect at once on a start of the same run that was not sent yet: the start
//! is revoked, since a cancelled or evicted run would start only to be stopped. The same holds for
//! a start that is withdrawn because its data hall was closed.

use {
    crate::settings::{MAX_START_AGE_MS, MAX_START_WAIT_MS},
    cell::{Order, TaskKey},
    kernel::sync::lock,
    std::{
        collections::{HashSet, VecDeque},
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
};

/// An order in the queue.
#[derive(Debug)]
pub struct QueuedOrder {
    /// The order.
    pub order: Order,
    /// The number of the order between the owner and a relay; 0 on the box of the owner.
    pub number: u64,
    /// The time of the decision, in milliseconds on the clock of this box.
    decided: u64,
}

impl QueuedOrder {
    /// An order that was decided `age` milliseconds before `now`.
    pub fn new(order: Order, number: u64, age: u64, now: u64) -> Self {
        QueuedOrder {
            order,
            number,
            decided: now.saturating_sub(age),
        }
    }

    /// True for a start that has waited for more than [`MAX_START_WAIT_MS`] and must not be sent.
    pub fn is_stale(&self, now: u64) -> bool {
        let is_start = matches!(self.order, Order::Start(_));
        is_start && now.saturating_sub(self.decided) > MAX_START_WAIT_MS
    }
}

/// Runs whose starts must not be sent.
type Revoked = Arc<Mutex<HashSet<(TaskKey, u64)>>>;

/// The sending end of a worker's queue.
#[derive(Debug)]
pub struct OrderSender {
    orders: UnboundedSender<QueuedOrder>,
    revoked: Revoked,
}

/// The receiving end of a worker's queue.
#[derive(Debug)]
pub struct OrderReceiver {
    orders: UnboundedReceiver<QueuedOrder>,
    /// Orders that were received and are not sent yet.
    waiting: VecDeque<QueuedOrder>,
    revoked: Revoked,
}

/// Tells whether a start must not be sent any more, also after it was taken from the queue.
#[derive(Debug, Clone)]
pub struct Revocation {
    revoked: Revoked,
    run: (TaskKey, u64),
    /// The time of the decision, in milliseconds on the clock of this box.
    decided: u64,
}

impl Revocation {
    /// True if the start was revoked, or was decided too long ago.
    pub fn is_revoked(&self, now: u64) -> bool {
        now.saturating_sub(self.decided) > MAX_START_AGE_MS
            || lock(&self.revoked).contains(&self.run)
    }
}

/// Creates the queue of one worker.
pub fn channel() -> (OrderSender, OrderReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let revoked = Revoked::default();
    let sender = OrderSender {
        orders: sender,
        revoked: revoked.clone(),
    };
    let receiver = OrderReceiver {
        orders: receiver,
        waiting: VecDeque::new(),
        revoked,
    };
    (sender, receiver)
}

impl OrderSender {
    /// Revokes the start of the run that a stop or withdrawal is about. Other orders revoke nothing.
    pub fn revoke_start(&self, order: &Order) {
        if let Some(run) = revoked_by(order) {
            lock(&self.revoked).insert(run);
        }
    }

    /// Queues an order. False if the receiving end is closed.
    pub fn send(&self, queued: QueuedOrder) -> bool {
        self.revoke_start(&queued.order);
        self.orders.send(queued).is_ok()
    }
}

impl OrderReceiver {
    /// Waits until another order is received. False once the sending end is closed.
    pub async fn receive(&mut self) -> bool {
        let Some(queued) = self.orders.recv().await else {
            return false;
        };
        self.waiting.push_back(queued);
        true
    }

    /// True if orders wait to be taken.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes the first order whose task is not among the `busy` ones.
    pub fn take(&mut self, busy: &HashSet<TaskKey>) -> Option<QueuedOrder> {
        let is_free = |queued: &QueuedOrder| !busy.contains(queued.order.key());
        let index = self.waiting.iter().position(is_free)?;
        let queued = self.waiting.remove(index)?;
        if let Some(run) = revoked_by(&queued.order) {
            lock(&self.revoked).remove(&run);
        }
        Some(queued)
    }

    /// Returns what tells whether a start must not be sent, because a stop or a withdrawal of its
    /// run is queued or because it is too old; `None` for other orders.
    pub fn revocation(&self, queued: &QueuedOrder) -> Option<Revocation> {
        let Order::Start(start) = &queued.order else {
            return None;
        };
        Some(Revocation {
            revoked: self.revoked.clone(),
            run: (start.key.clone(), start.run),
            decided: queued.decided,
        })
    }
}

/// The run whose start an order revokes.
fn revoked_by(order: &Order) -> Option<(TaskKey, u64)> {
    match order {
        Order::Stop { key, run, .. } | Order::Withdraw { key, run } => Some((key.clone(), *run)),
        Order::Start(_) | Order::Pace { .. } => None,
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::{
            fixtures::{key, start, stop},
            time,
        },
        kernel::{clock, runtime},
        std::time::Duration,
        test_case::test_case,
    };

    /// A start must not be sent late: one that had waited 1.3 s behind two unanswered orders was
    /// sent 1.2 s after its task had ended elsewhere. A stop is sent at any time.
    #[test_case(start(0), 0, MAX_START_WAIT_MS, false; "start in time")]
    #[test_case(start(0), 0, MAX_START_WAIT_MS + 1, true; "start too late")]
    #[test_case(start(0), 400, MAX_START_WAIT_MS - 400, false; "start in time after an exchange")]
    #[test_case(start(0), 400, MAX_START_WAIT_MS - 399, true; "start too late after an exchange")]
    #[test_case(stop(0), 0, 60_000, false; "stop")]
    fn is_stale_by_wait(order: Order, age: u64, wait: u64, is_stale: bool) {
        let now = 100_000;
        assert_eq!(
            QueuedOrder::new(order, 0, age, now).is_stale(now + wait),
            is_stale
        );
    }

    /// A start from before a suspension of the machine is stale, although the monotonic clock has
    /// not advanced.
    #[test]
    fn is_stale_after_suspension() {
        let queued = QueuedOrder::new(start(0), 0, 0, time::now());
        clock::simulate_suspension(Duration::from_secs(2));
        assert!(queued.is_stale(time::now()));
    }

    fn next(receiver: &mut OrderReceiver) -> QueuedOrder {
        assert!(runtime::block_on(receiver.receive()).unwrap());
        receiver.take(&HashSet::new()).unwrap()
    }

    fn is_revoked(receiver: &OrderReceiver, queued: &QueuedOrder) -> bool {
        let revocation = receiver.revocation(queued);
        revocation.is_some_and(|revocation| revocation.is_revoked(1))
    }

    fn withdrawal() -> Order {
        Order::Withdraw {
            key: key(0),
            run: 1,
        }
    }

    /// A start that waits in the queue is revoked once its stop or withdrawal is queued behind it.
    #[test_case(stop(0); "stop")]
    #[test_case(withdrawal(); "withdrawal")]
    fn is_revoked_by_queued_order(order: Order) {
        let (sender, mut receiver) = channel();
        sender.send(QueuedOrder::new(start(0), 0, 0, 1));
        let first = next(&mut receiver);
        assert!(!is_revoked(&receiver, &first));
        sender.send(QueuedOrder::new(order, 0, 0, 1));
        assert!(is_revoked(&receiver, &first));
        next(&mut receiver);
        assert!(!is_revoked(&receiver, &first));
    }

    fn receive_all(receiver: &mut OrderReceiver, count: usize) {
        for _ in 0..count {
            assert!(runtime::block_on(receiver.receive()).unwrap());
        }
    }

    /// The stop of a task waits for its start, and an order about another task overtakes both.
    #[test]
    fn take_skips_busy_tasks() {
        let (sender, mut receiver) = channel();
        let other = stop(1);
        for order in [start(0), stop(0), other.clone()] {
            sender.send(QueuedOrder::new(order, 0, 0, 1));
        }
        receive_all(&mut receiver, 3);
        let first = receiver.take(&HashSet::new()).unwrap();
        let busy = HashSet::from([key(0)]);
        assert_eq!(receiver.take(&busy).unwrap().order, other);
        assert!(receiver.take(&busy).is_none());
        assert!(is_revoked(&receiver, &first));
        assert_eq!(receiver.take(&HashSet::new()).unwrap().order, stop(0));
    }

    /// A start that is repeated for too long may follow the end of its task elsewhere.
    #[test_case(MAX_START_AGE_MS, false; "in time")]
    #[test_case(MAX_START_AGE_MS + 1, true; "too old")]
    fn is_revoked_by_age(age: u64, expected: bool) {
        let (_sender, receiver) = channel();
        let queued = QueuedOrder::new(start(0), 0, 0, 1_000);
        let revocation = receiver.revocation(&queued).unwrap();
        assert_eq!(revocation.is_revoked(1_000 + age), expected);
    }
}
