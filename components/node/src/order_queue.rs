//! Orders on their way to a worker, which go out one after the other.
//!
//! A stop waits behind the orders before it, but the start of its run does not leave any more: what was cancelled, or has
//! lost its room, would begin only to be stopped. Likewise a start that is withdrawn, since its data hall was shut.

use {
    crate::settings::MAX_START_WAIT_MS,
    cell::{Order, TaskKey},
    kernel::sync::lock,
    std::{
        collections::HashSet,
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
};

/// An order that waits for those before it.
#[derive(Debug)]
pub struct QueuedOrder {
    /// The order.
    pub order: Order,
    /// Its number between the owner and a relay; 0 on the owner's own box.
    pub number: u64,
    /// When it was decided, on the clock of this box.
    since: u64,
}

impl QueuedOrder {
    /// An order that was decided so many milliseconds ago.
    pub fn new(order: Order, number: u64, age: u64, now: u64) -> Self {
        QueuedOrder {
            order,
            number,
            since: now.saturating_sub(age),
        }
    }

    /// True for an order to start that has waited for too long to be sent.
    pub fn is_stale(&self, now: u64) -> bool {
        let is_start = matches!(self.order, Order::Start(_));
        is_start && now.saturating_sub(self.since) > MAX_START_WAIT_MS
    }
}

/// Runs whose starts must not leave any more.
type Barred = Arc<Mutex<HashSet<(TaskKey, u64)>>>;

/// The way in of a worker's orders.
#[derive(Debug)]
pub struct OrderSender {
    orders: UnboundedSender<QueuedOrder>,
    barred: Barred,
}

/// The way out of a worker's orders.
#[derive(Debug)]
pub struct OrderReceiver {
    orders: UnboundedReceiver<QueuedOrder>,
    barred: Barred,
}

/// The way of a worker's orders.
pub fn channel() -> (OrderSender, OrderReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let barred = Barred::default();
    let entrance = OrderSender {
        orders: sender,
        barred: barred.clone(),
    };
    let exit = OrderReceiver {
        orders: receiver,
        barred,
    };
    (entrance, exit)
}

impl OrderSender {
    /// Notes that an order is about to come which keeps a start from leaving, where it is one.
    pub fn revoke_start(&self, order: &Order) {
        if let Some(barred) = barred_by(order) {
            lock(&self.barred).insert(barred);
        }
    }

    /// Lets an order in. False when nobody takes it any more.
    pub fn send(&self, queued: QueuedOrder) -> bool {
        self.revoke_start(&queued.order);
        self.orders.send(queued).is_ok()
    }
}

impl OrderReceiver {
    /// The next order, once there is one; `None` when no more will come.
    pub async fn next(&mut self) -> Option<QueuedOrder> {
        let queued = self.orders.recv().await?;
        if let Some(barred) = barred_by(&queued.order) {
            lock(&self.barred).remove(&barred);
        }
        Some(queued)
    }

    /// True for a start that must not leave any more: a stop or a withdrawal of its run is on its way.
    pub fn is_revoked(&self, order: &Order) -> bool {
        let Order::Start(start) = order else {
            return false;
        };
        lock(&self.barred).contains(&(start.key.clone(), start.run))
    }
}

/// The run whose start an order keeps from leaving.
fn barred_by(order: &Order) -> Option<(TaskKey, u64)> {
    match order {
        Order::Stop { key, run, .. } | Order::Withdraw { key, run } => Some((key.clone(), *run)),
        Order::Start(_) | Order::Pace { .. } => None,
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::time,
        cell::{Start, TaskKey},
        job::{Address, Id},
        kernel::{clock, net},
        std::time::Duration,
        test_case::test_case,
    };

    const ADDRESS: Address = Address {
        time: 0,
        step: 0,
        index: 0,
    };

    fn key() -> TaskKey {
        TaskKey {
            job: Id::new("00000000000000a1").unwrap(),
            place: 0,
        }
    }

    fn start() -> Order {
        Order::Start(Start {
            key: key(),
            address: ADDRESS,
            run: 1,
            text: "text".into(),
            saved: None,
            deadline: 1_500,
            ticket: None,
        })
    }

    fn stop() -> Order {
        Order::Stop {
            key: key(),
            address: ADDRESS,
            run: 1,
        }
    }

    /// Seen on days with orders that have no answer: a start that waited 1.3 s behind two of them was sent
    /// 1.2 s after its task had ended elsewhere. A stop may be as late as it likes.
    #[test_case(start(), 0, MAX_START_WAIT_MS, false; "start in time")]
    #[test_case(start(), 0, MAX_START_WAIT_MS + 1, true; "start too late")]
    #[test_case(start(), 400, MAX_START_WAIT_MS - 400, false; "start in time after a relay's exchange")]
    #[test_case(start(), 400, MAX_START_WAIT_MS - 399, true; "start too late after a relay's exchange")]
    #[test_case(stop(), 0, 60_000, false; "stop")]
    fn is_stale_by_wait(order: Order, age: u64, wait: u64, is_stale: bool) {
        let now = 100_000;
        assert_eq!(
            QueuedOrder::new(order, 0, age, now).is_stale(now + wait),
            is_stale
        );
    }

    /// A start that was decided before the machine was suspended: by the steady clock no time has passed.
    #[test]
    fn is_stale_after_suspension() {
        let queued = QueuedOrder::new(start(), 0, 0, time::now());
        clock::suspend(Duration::from_secs(2));
        assert!(queued.is_stale(time::now()));
    }

    fn next(exit: &mut OrderReceiver) -> QueuedOrder {
        net::wait(exit.next()).unwrap().unwrap()
    }

    fn withdrawal() -> Order {
        Order::Withdraw { key: key(), run: 1 }
    }

    /// A start that waits behind other orders does not leave once its stop or withdrawal has come in behind it.
    #[test_case(stop(); "stop")]
    #[test_case(withdrawal(); "withdrawal")]
    fn is_barred_by_order_on_its_way(order: Order) {
        let (entrance, mut exit) = channel();
        entrance.send(QueuedOrder::new(start(), 0, 0, 1));
        let first = next(&mut exit);
        assert!(!exit.is_revoked(&first.order));
        entrance.send(QueuedOrder::new(order, 0, 0, 1));
        assert!(exit.is_revoked(&first.order));
        next(&mut exit);
        assert!(!exit.is_revoked(&first.order));
    }
}
