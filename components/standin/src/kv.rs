//! Stand-in for the users' metadata store: revisions, conditional writes, leases and watches.
//!
//! It speaks the protocol of the users' platform, so the names on the wire are that platform's.

use {
    crate::http_server::{self, ServerRequest, ServerResponse, reply},
    base64::{Engine, engine::general_purpose::STANDARD},
    kernel::{Reply, sync::lock},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet, VecDeque},
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Items per page; the users' store returns about 500.
const PAGE_ITEMS: usize = 50;
/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 32;
/// Longest pause between two checks of a watch. A lease can expire without a write that wakes the
/// watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Key prefixes that only operators and workers may write.
const RESERVED: [&str; 2] = ["op/", "servers/"];

/// Faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answers every call with 503 and does nothing.
    pub busy: bool,
    /// Closes every connection before the call has any effect.
    pub reset: bool,
    /// Number of further transactions that are applied but whose responses are lost.
    pub lost: u32,
    /// Number of further transactions that get no response and are applied only by
    /// [`Kv::apply_deferred`].
    pub deferred: u32,
    /// Watches deliver no events: each one waits for its full time and names the present revision.
    pub watches_silent: bool,
    /// Sets `busy` once all `lost` and `deferred` transactions have come.
    pub then_busy: bool,
    /// Delay of every call in milliseconds. The call takes effect and is answered after it.
    pub slow_ms: u64,
}

impl Faults {
    /// Decrements a counter of pending faults. Returns true if it was above zero.
    fn consume(&mut self, count: fn(&mut Faults) -> &mut u32) -> bool {
        let left = count(self);
        if *left == 0 {
            return false;
        }
        *left -= 1;
        self.busy |= self.then_busy && self.lost == 0 && self.deferred == 0;
        true
    }
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    /// Revision at which the key was created.
    created: u64,
    /// Lease of the key; 0 for none.
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    /// `None` for a removed key.
    item: Option<Item>,
    /// Watches never deliver it.
    is_skipped: bool,
}

#[derive(Default)]
struct Core {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Expiry time and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: VecDeque<Change>,
    /// The history up to this revision has been compacted.
    compacted_to: u64,
    /// Transactions waiting for [`Kv::apply_deferred`].
    deferred: Vec<Value>,
    calls: u64,
    /// Watches skip the next write of a key with this prefix.
    skip_next: Option<String>,
    /// Keys that any transaction tried to write, whatever its outcome.
    attempted: HashSet<String>,
    faults: Faults,
}

/// The metadata store.
#[derive(Clone, Default)]
pub struct Kv {
    core: Arc<Mutex<Core>>,
    changed: Arc<Condvar>,
}

impl Kv {
    /// Opens the HTTP server and returns its base URL.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(&self, address: SocketAddr) -> io::Result<String> {
        let kv = self.clone();
        http_server::open(address, MAX_CONNECTIONS, move |request| kv.handle(&request))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.core).faults = faults;
    }

    /// Lets watches skip the next write of a key with this prefix. They deliver later writes.
    pub fn skip_next(&self, prefix: &str) {
        lock(&self.core).skip_next = Some(prefix.to_owned());
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        lock(&self.core).calls
    }

    /// True if a transaction that would write this key has been received, whatever its outcome.
    pub fn was_write_attempted(&self, key: &str) -> bool {
        lock(&self.core).attempted.contains(key)
    }

    /// Writes a key as an operator or a worker would.
    pub fn put(&self, key: &str, value: &str) {
        let mut core = lock(&self.core);
        core.write(key, Some((value.to_owned(), 0)));
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut core = lock(&self.core);
        core.write(key, None);
        self.changed.notify_all();
    }

    /// Returns the value of a key as base64 text.
    pub fn value(&self, key: &str) -> Option<String> {
        let core = lock(&self.core);
        core.items.get(key).map(|item| item.value.clone())
    }

    /// Returns the keys that start with the prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let core = lock(&self.core);
        let all = core.items.keys();
        all.filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards the change history.
    pub fn compact(&self) {
        let mut core = lock(&self.core);
        core.compacted_to = core.revision;
        core.history.clear();
    }

    /// Applies the deferred transactions, each only if its conditions still hold. Returns how many
    /// took effect.
    pub fn apply_deferred(&self) -> usize {
        let mut core = lock(&self.core);
        let deferred = std::mem::take(&mut core.deferred);
        let done = deferred
            .iter()
            .filter(|change| core.apply(change).status == 200);
        let done = done.count();
        self.changed.notify_all();
        done
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        let slow_ms = {
            let mut core = lock(&self.core);
            core.calls += 1;
            core.faults.slow_ms
        };
        thread::sleep(Duration::from_millis(slow_ms));
        let faults = {
            let mut core = lock(&self.core);
            core.record_attempts(request);
            core.expire_leases();
            core.faults
        };
        if faults.reset {
            return ServerResponse::Disconnect;
        }
        if faults.busy {
            return reply(503, &json!({})).into();
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.get(request).into(),
            ("GET", "/kv-range") => self.range(request).into(),
            ("GET", "/kv-watch") => self.watch(request).into(),
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => self.grant(request).into(),
            ("POST", path) if path.starts_with("/kv-keep/") => self.renew(path).into(),
            _ => reply(404, &json!({})).into(),
        }
    }

    fn get(&self, request: &ServerRequest) -> Reply {
        let core = lock(&self.core);
        let key = request.parameter("privateKey").unwrap_or_default();
        match core.items.get(key) {
            Some(item) => {
                let mut found = item_json(key, item);
                found["at"] = core.revision.into();
                reply(200, &found)
            }
            None => reply(404, &json!({ "at": core.revision })),
        }
    }

    fn range(&self, request: &ServerRequest) -> Reply {
        let core = lock(&self.core);
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let found = core.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = found
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        reply(
            200,
            &json!({ "items": items, "more": more, "at": core.revision }),
        )
    }

    fn watch(&self, request: &ServerRequest) -> Reply {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let after = request.number("after");
        let until = Instant::now() + Duration::from_millis(request.number("waitMs"));
        let mut core = lock(&self.core);
        loop {
            core.expire_leases();
            if after < core.compacted_to {
                return reply(410, &json!({}));
            }
            let events = match core.faults.watches_silent {
                true => Vec::new(),
                false => core.events(prefix, after),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || core.faults.busy {
                return reply(200, &json!({ "events": events, "at": core.revision }));
            }
            let step = left.min(WATCH_INTERVAL);
            let waited = self.changed.wait_timeout(core, step);
            core = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(change) = serde_json::from_slice::<Value>(&request.body) else {
            return reply(400, &json!({})).into();
        };
        let mut core = lock(&self.core);
        if core.faults.consume(|faults| &mut faults.deferred) {
            core.deferred.push(change);
            return ServerResponse::Disconnect;
        }
        let answer = core.apply(&change);
        self.changed.notify_all();
        if core.faults.consume(|faults| &mut faults.lost) {
            return ServerResponse::Disconnect;
        }
        answer.into()
    }

    fn grant(&self, request: &ServerRequest) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
        let mut core = lock(&self.core);
        core.revision += 1;
        let lease = core.revision;
        core.leases.insert(lease, (Instant::now() + ttl, ttl));
        reply(
            200,
            &json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }),
        )
    }

    fn renew(&self, path: &str) -> Reply {
        let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
        let mut core = lock(&self.core);
        let Some((until, ttl)) = lease.and_then(|lease: u64| core.leases.get_mut(&lease)) else {
            return reply(404, &json!({}));
        };
        *until = Instant::now() + *ttl;
        reply(200, &json!({ "ttl_ms": ttl.as_millis() as u64 }))
    }
}

impl Core {
    /// Records the keys that a transaction would write.
    fn record_attempts(&mut self, request: &ServerRequest) {
        if request.path != "/kv-txn" {
            return;
        }
        let change: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        for entry in change["put"].as_array().into_iter().flatten() {
            let key = entry["privateKey"].as_str().unwrap_or_default();
            self.attempted.insert(key.to_owned());
        }
    }

    /// Removes expired leases and their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys = self.items.iter();
            let keys = keys.filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.write(&key, None);
            }
        }
    }

    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created,
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        let key = key.to_owned();
        let prefix = self.skip_next.take_if(|prefix| key.starts_with(&**prefix));
        self.history.push_back(Change {
            revision,
            key,
            item,
            is_skipped: prefix.is_some(),
        });
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let new = self.history.iter();
        let new = new.filter(|change| change.revision > after && !change.is_skipped);
        let new = new.filter(|change| change.key.starts_with(prefix));
        new.map(|change| match &change.item {
            Some(item) => item_json(&change.key, item),
            None => json!({ "privateKey": change.key, "revision": change.revision, "gone": true }),
        })
        .collect()
    }

    fn apply(&mut self, change: &Value) -> Reply {
        let list = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        let (expect, put, remove) = (list("expectedRevision"), list("put"), list("remove"));
        if expect.len() + put.len() + remove.len() > MAX_ENTRIES {
            return reply(400, &json!({ "error": "too many entries" }));
        }
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let key_of = |entry: &Value| text(&entry["privateKey"]);
        let written = put.iter().map(key_of).chain(remove.iter().map(text));
        let is_reserved = |key: String| RESERVED.iter().any(|prefix| key.starts_with(prefix));
        if written.into_iter().any(is_reserved) {
            return reply(403, &json!({}));
        }
        let holds = |entry: &Value| {
            let found = self.items.get(&key_of(entry));
            found.map_or(0, |item| item.revision) == entry["revision"].as_u64().unwrap_or(0)
        };
        if !expect.iter().all(holds) {
            let keys = expect.iter().map(key_of);
            let found =
                keys.filter_map(|key| self.items.get(&key).map(|item| item_json(&key, item)));
            let items: Vec<Value> = found.collect();
            return reply(412, &json!({ "items": items }));
        }
        for entry in &put {
            let lease = entry["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return reply(404, &json!({}));
            }
        }
        for entry in &put {
            let lease = entry["lease"].as_u64().unwrap_or(0);
            self.write(&key_of(entry), Some((text(&entry["value"]), lease)));
        }
        for key in &remove {
            self.write(&text(key), None);
        }
        self.assign_one_revision(put.len() + remove.len());
        reply(200, &json!({ "revision": self.revision }))
    }

    /// Gives all entries of one transaction the same revision.
    fn assign_one_revision(&mut self, entries: usize) {
        let revision = self.revision;
        for change in self.history.iter_mut().rev().take(entries) {
            change.revision = revision;
            if let Some(item) = &mut change.item {
                item.revision = revision;
            }
            if let Some(item) = self.items.get_mut(&change.key) {
                item.revision = revision;
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "privateKey": key,
        "value": item.value,
        "revision": item.revision,
        "made": item.created,
        "lease": item.lease,
    })
}

/// Encodes a value as stored: base64 of its JSON text.
pub fn encode(value: &Value) -> String {
    encode_bytes(value.to_string().as_bytes())
}

/// Encodes bytes as stored.
pub fn encode_bytes(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes a stored value to its bytes; empty if the text is not valid base64.
pub fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}
