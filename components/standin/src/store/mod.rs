//! Stand-in for the key-value store.

mod server;

pub use server::Server;

use {
    crate::clock::Clock,
    infra::{
        Store, Swap, Versioned,
        budget::{Priority, TokenBucket},
        store::MAX_VALUE,
    },
    kernel::{Failure, sync::lock, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Condvar, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Active faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Disconnects every call before it has any effect.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub slow: u64,
    /// Number of further writes that take effect but whose replies are lost.
    pub lost: u32,
    /// Number of further writes that are dropped without effect or reply.
    pub dropped: u32,
}

/// Number of calls of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub get: u64,
    /// Compare-and-swaps.
    pub swap: u64,
    /// Watches, each counted once however long it waits.
    pub watch: u64,
    /// Lease grants and renewals.
    pub lease: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
}

struct Entry {
    value: Versioned,
    lease: Option<u64>,
}

struct State {
    keys: BTreeMap<String, Entry>,
    last: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    faults: Faults,
    counts: Counts,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// The store, without its HTTP server.
pub struct Core {
    state: Mutex<State>,
    changed: Condvar,
    clock: Clock,
}

/// Rate limits in calls per second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Reads and watches.
    pub reads: f64,
    /// Writes.
    pub writes: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Rates {
            reads: 2000.0,
            writes: 100.0,
        }
    }
}

impl Core {
    /// Creates an empty store with these rate limits.
    pub fn new(rates: Rates, clock: Clock) -> Self {
        let now = Instant::now();
        let state = State {
            keys: BTreeMap::new(),
            last: 0,
            leases: BTreeMap::new(),
            faults: Faults::default(),
            counts: Counts::default(),
            reads: TokenBucket::new(rates.reads, rates.reads, now),
            writes: TokenBucket::new(rates.writes, rates.writes, now),
        };
        Core {
            state: Mutex::new(state),
            changed: Condvar::new(),
            clock,
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
        self.changed.notify_all();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults.clone()
    }

    /// Returns the call counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Grants a lease of `length` milliseconds. Its keys are removed when it expires.
    ///
    /// # Errors
    ///
    /// The store is down or its rate limit is reached.
    pub fn grant(&self, length: u64) -> Result<u64, Failure> {
        let mut state = self.admit(true)?;
        state.counts.lease += 1;
        state.last += 1;
        let id = state.last;
        let end = self.clock.now() + length;
        state.leases.insert(id, (end, length));
        Ok(id)
    }

    /// Renews a lease. Returns false if it has expired.
    ///
    /// # Errors
    ///
    /// The store is down or its rate limit is reached.
    pub fn renew(&self, id: u64) -> Result<bool, Failure> {
        let mut state = self.admit(true)?;
        state.counts.lease += 1;
        let now = self.clock.now();
        let Some(lease) = state.leases.get_mut(&id) else {
            return Ok(false);
        };
        lease.0 = now + lease.1;
        Ok(true)
    }

    /// Expires a lease at once and removes its keys.
    pub fn expire_lease(&self, id: u64) {
        if let Some(lease) = lock(&self.state).leases.get_mut(&id) {
            lease.0 = 0;
        }
        self.remove_expired();
    }

    /// Removes expired leases and their keys.
    fn remove_expired(&self) {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let State { keys, leases, .. } = &mut *state;
        leases.retain(|_, (end, _)| *end > now);
        keys.retain(|_, entry| entry.lease.is_none_or(|id| leases.contains_key(&id)));
    }

    /// Applies the fault and rate-limit checks that are common to all calls.
    fn admit(&self, write: bool) -> Result<MutexGuard<'_, State>, Failure> {
        let mut state = lock(&self.state);
        if state.faults.down {
            return Err(connection_broken());
        }
        let now = Instant::now();
        let bucket = if write {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if !bucket.try_take(Priority::Takeover, now) {
            state.counts.refused += 1;
            return Err(Failure::not_run(Cause::Busy, "the store's rate is used up"));
        }
        Ok(state)
    }

    /// Compares and swaps a key, bound to a lease if one is given.
    ///
    /// # Errors
    ///
    /// The store is down, its rate limit is reached or the value is too large; `Broken` with
    /// `may-have-run` when the reply is lost.
    pub fn swap_leased(
        &self,
        key: &str,
        expected: u64,
        bytes: &[u8],
        lease: Option<u64>,
    ) -> Result<Swap, Failure> {
        let mut state = self.admit(true)?;
        state.counts.swap += 1;
        if bytes.len() > MAX_VALUE {
            return Err(Failure::not_run(Cause::Invalid, "the value is too large"));
        }
        if state.faults.dropped > 0 {
            state.faults.dropped -= 1;
            return Err(connection_broken());
        }
        let present = state.keys.get(key).map_or(0, |entry| entry.value.version);
        if present != expected {
            return Ok(Swap::Conflict(present));
        }
        state.last += 1;
        let version = state.last;
        let value = Versioned {
            version,
            bytes: bytes.into(),
        };
        state.keys.insert(key.to_owned(), Entry { value, lease });
        self.changed.notify_all();
        if state.faults.lost > 0 {
            state.faults.lost -= 1;
            return Err(connection_broken());
        }
        Ok(Swap::Written(version))
    }
}

fn connection_broken() -> Failure {
    Failure::may_have_run(Cause::Broken, "the store broke off")
}

impl Store for Core {
    fn get(&self, key: &str) -> Result<Option<Versioned>, Failure> {
        self.remove_expired();
        let mut state = self.admit(false)?;
        state.counts.get += 1;
        Ok(state.keys.get(key).map(|entry| entry.value.clone()))
    }

    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure> {
        self.swap_leased(key, expected, bytes, None)
    }

    fn watch(&self, key: &str, after: u64, time: Duration) -> Result<Option<Versioned>, Failure> {
        let end = Instant::now() + time;
        self.admit(false)?.counts.watch += 1;
        let mut state = lock(&self.state);
        loop {
            if state.faults.down {
                return Err(connection_broken());
            }
            if let Some(entry) = state.keys.get(key)
                && entry.value.version > after
            {
                return Ok(Some(entry.value.clone()));
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*, crate::proxy::Proxy, infra::store, kernel::Client, std::sync::Arc,
        test_case::test_case,
    };

    fn port() -> (Server, store::Http) {
        let core = Arc::new(Core::new(Rates::default(), Clock::real()));
        let port = Server::open(([127, 0, 0, 1], 0).into(), core).unwrap();
        let http = store::Http::new(&port.url(), Client::new(None));
        (port, http)
    }

    #[test]
    fn swap_get_watch_over_http() {
        let (port, http) = port();
        assert_eq!(http.get("a/b"), Ok(None));
        let Ok(Swap::Written(version)) = http.swap("a/b", 0, b"one") else {
            panic!("not written")
        };
        assert_eq!(http.swap("a/b", 0, b"two"), Ok(Swap::Conflict(version)));
        assert_eq!(&*http.get("a/b").unwrap().unwrap().bytes, b"one");
        assert_eq!(
            http.watch("a/b", version, Duration::from_millis(5)),
            Ok(None)
        );
        assert!(
            http.watch("a/b", 0, Duration::from_secs(60))
                .unwrap()
                .is_some()
        );
        let counts = port.core().counts();
        assert_eq!((counts.get, counts.swap, counts.watch), (2, 2, 2));
    }

    /// At this rate, a value of 1 MB takes 2.5 s to transfer, longer than a call may wait for its
    /// response to begin.
    #[test_case(|http| http.get("k"); "read")]
    #[test_case(|http| http.watch("k", 0, Duration::from_millis(5)); "watch")]
    fn large_value_over_slow_connection(
        call: fn(&store::Http) -> Result<Option<store::Versioned>, Failure>,
    ) {
        let (port, _) = port();
        let value = vec![b'v'; 1_000_000];
        let _ = port.core().swap("k", 0, &value).unwrap();
        let proxy = Proxy::open(port.url().trim_start_matches("http://").parse().unwrap()).unwrap();
        proxy.set_rate(400_000);
        let http = store::Http::new(&format!("http://{}", proxy.address()), Client::new(None));
        assert_eq!(call(&http).unwrap().unwrap().bytes.len(), value.len());
    }

    #[test]
    fn watch_wakes_on_write() {
        let (port, http) = port();
        let core = port.core().clone();
        let watcher = std::thread::spawn(move || http.watch("k", 0, Duration::from_secs(60)));
        while core.counts().watch == 0 {
            std::thread::yield_now();
        }
        let _ = core.swap("k", 0, b"v").unwrap();
        assert_eq!(&*watcher.join().unwrap().unwrap().unwrap().bytes, b"v");
    }

    #[test_case(Faults { down: true, ..Faults::default() }, false; "down")]
    #[test_case(Faults { lost: 1, ..Faults::default() }, true; "reply lost after the effect")]
    #[test_case(Faults { dropped: 1, ..Faults::default() }, false; "lost before the effect")]
    fn swap_fault_over_http(faults: Faults, effect: bool) {
        let (port, http) = port();
        port.core().set_faults(faults);
        assert!(!http.swap("k", 0, b"v").unwrap_err().is_not_run());
        port.core().set_faults(Faults::default());
        assert_eq!(http.get("k").unwrap().is_some(), effect);
    }

    #[test]
    fn swap_rate_refused() {
        let core = Core::new(
            Rates {
                reads: 1.0,
                writes: 2.0,
            },
            Clock::manual(),
        );
        let results: Vec<_> = (0..9).map(|n| core.swap("k", n, b"v")).collect();
        let refused = results
            .iter()
            .filter(|r| r.as_ref().is_err_and(|f| f.is_not_run()));
        assert!(refused.count() >= 6);
    }

    #[test]
    fn lease_lapses_with_keys() {
        let clock = Clock::manual();
        let core = Core::new(Rates::default(), clock.clone());
        let id = core.grant(100).unwrap();
        core.swap_leased("k", 0, b"v", Some(id)).unwrap();
        clock.advance(60);
        assert_eq!(core.renew(id), Ok(true));
        clock.advance(60);
        assert!(core.get("k").unwrap().is_some());
        clock.advance(60);
        assert!(core.get("k").unwrap().is_none());
        assert_eq!(core.renew(id), Ok(false));
    }
}
