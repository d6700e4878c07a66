//! Orders and stores for the unit tests of this crate.

use {
    crate::store::{ApplyResult, Change, Item, Page, Store, WatchResult},
    cell::{Order, Start, TaskKey},
    job::{Address, Id},
    kernel::{Failure, verdict::Cause},
    std::time::Duration,
};

const ADDRESS: Address = Address {
    time: 0,
    step: 0,
    index: 0,
};

/// A task of the job that all orders are about.
pub fn key(place: usize) -> TaskKey {
    TaskKey {
        job: Id::new("00000000000000a1").unwrap(),
        place,
    }
}

/// The order to start the first run of a task.
pub fn start(place: usize) -> Order {
    Order::Start(Start {
        key: key(place),
        address: ADDRESS,
        run: 1,
        text: "text".into(),
        saved: None,
        deadline: 1_500,
        ticket: None,
    })
}

/// The order to stop the first run of a task.
pub fn stop(place: usize) -> Order {
    Order::Stop {
        key: key(place),
        address: ADDRESS,
        run: 1,
    }
}

/// The reads of a store that supports nothing else.
pub trait Reads: Send + Sync {
    fn get(&self, key: &str) -> Result<Option<Item>, Failure>;

    fn get_large(&self, _: &str) -> Result<Option<Item>, Failure> {
        unsupported()
    }

    fn get_stale(&self, _: &str) -> Result<Option<Item>, Failure> {
        unsupported()
    }
}

/// A store that only serves reads.
pub struct ReadOnly<R>(pub R);

fn unsupported<T>() -> Result<T, Failure> {
    Err(Failure::not_run(Cause::Refused, "not part of this store"))
}

impl<R: Reads> Store for ReadOnly<R> {
    fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.0.get(key)
    }

    fn get_large(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.0.get_large(key)
    }

    fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.0.get_stale(key)
    }

    fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Failure> {
        unsupported()
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Result<WatchResult, Failure> {
        unsupported()
    }

    fn apply(&self, _: &Change) -> Result<ApplyResult, Failure> {
        unsupported()
    }

    fn probe(&self) -> Result<(), Failure> {
        unsupported()
    }

    fn grant(&self, _: Duration) -> Result<u64, Failure> {
        unsupported()
    }

    fn renew(&self, _: u64) -> Result<bool, Failure> {
        unsupported()
    }
}
