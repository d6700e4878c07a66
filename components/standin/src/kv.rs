//! A stand-in of the users' metadata store: revisions, conditions, leases and watches.
//!
//! It keeps to the protocol of their platform, whose names therefore stand here too.

use {
    crate::port::{self, Asked, Told, reply},
    base64::{Engine, engine::general_purpose::STANDARD},
    kernel::{Reply, sync::lock},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet, VecDeque},
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Connections that the port takes.
const CONNECTIONS: usize = 1_024;
/// Items of one page; the users' store gives about 500.
const PAGE: usize = 50;
/// The most entries of a change.
const MAX_ENTRIES: usize = 32;
/// The longest pause between two looks at a watch: leases end without a change to wake it.
const LOOK: Duration = Duration::from_millis(50);
/// Keys that only the operators and the workers write.
const RESERVED: [&str; 2] = ["op/", "servers/"];

/// What goes wrong with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call is answered 503 and does nothing.
    pub busy: bool,
    /// Every connection is cut before anything is done.
    pub reset: bool,
    /// The answers of this many changes are lost after they were made.
    pub lost: u32,
    /// This many changes are not answered, and made only by [`Kv::carry_out`].
    pub late: u32,
    /// Watches hear nothing: each waits its time and brings no change.
    pub deaf: bool,
    /// Once as many answers were lost or late, the store is busy.
    pub then_busy: bool,
}

impl Faults {
    /// Takes one off a count of faults to come. True when there was one.
    fn strike(&mut self, count: fn(&mut Faults) -> &mut u32) -> bool {
        let left = count(self);
        if *left == 0 {
            return false;
        }
        *left -= 1;
        self.busy |= self.then_busy && self.lost == 0 && self.late == 0;
        true
    }
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    /// The revision at which the key came to be.
    made: u64,
    /// 0 for a key that stays.
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    /// `None` for a key that was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct Core {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// When each lease ends, and for how long it is renewed.
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: VecDeque<Change>,
    /// The history up to this revision is gone.
    forgotten: u64,
    /// Changes that wait for [`Kv::carry_out`].
    held: Vec<Value>,
    calls: u64,
    /// The keys that some change wanted to write, whatever came of it.
    tried: HashSet<String>,
    faults: Faults,
}

/// The store.
#[derive(Clone, Default)]
pub struct Kv {
    core: Arc<Mutex<Core>>,
    changed: Arc<Condvar>,
}

impl Kv {
    /// Opens the port and returns its base address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(&self, address: SocketAddr) -> io::Result<String> {
        let kv = self.clone();
        port::open(address, CONNECTIONS, move |asked| kv.handle(&asked))
    }

    /// Sets what goes wrong.
    pub fn fail(&self, faults: Faults) {
        lock(&self.core).faults = faults;
    }

    /// The calls that came in so far.
    pub fn calls(&self) -> u64 {
        lock(&self.core).calls
    }

    /// True when a change that would write this key has arrived, whatever came of it.
    pub fn was_tried(&self, key: &str) -> bool {
        lock(&self.core).tried.contains(key)
    }

    /// Writes a key as the operators or a worker would.
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

    /// The value of a key, as base64 text.
    pub fn value(&self, key: &str) -> Option<String> {
        let core = lock(&self.core);
        core.items.get(key).map(|item| item.value.clone())
    }

    /// The keys that start with the prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let core = lock(&self.core);
        let all = core.items.keys();
        all.filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Forgets the history of changes.
    pub fn compact(&self) {
        let mut core = lock(&self.core);
        core.forgotten = core.revision;
        core.history.clear();
    }

    /// Makes the changes that were held up, each if its conditions still hold. Returns how many
    /// took effect.
    pub fn carry_out(&self) -> usize {
        let mut core = lock(&self.core);
        let held = std::mem::take(&mut core.held);
        let done = held
            .iter()
            .filter(|change| core.apply(change).status == 200);
        let done = done.count();
        self.changed.notify_all();
        done
    }

    fn handle(&self, asked: &Asked) -> Told {
        let faults = {
            let mut core = lock(&self.core);
            core.calls += 1;
            core.note(asked);
            core.lapse();
            core.faults
        };
        if faults.reset {
            return Told::Cut;
        }
        if faults.busy {
            return reply(503, &json!({})).into();
        }
        match (asked.method.as_str(), asked.path.as_str()) {
            ("GET", "/kv-key") => self.get(asked).into(),
            ("GET", "/kv-range") => self.range(asked).into(),
            ("GET", "/kv-watch") => self.watch(asked).into(),
            ("POST", "/kv-txn") => self.change(asked),
            ("POST", "/kv-lease") => self.grant(asked).into(),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(path).into(),
            _ => reply(404, &json!({})).into(),
        }
    }

    fn get(&self, asked: &Asked) -> Reply {
        let core = lock(&self.core);
        let key = asked.parameter("privateKey").unwrap_or_default();
        match core.items.get(key) {
            Some(item) => {
                let mut shown = show(key, item);
                shown["at"] = core.revision.into();
                reply(200, &shown)
            }
            None => reply(404, &json!({ "at": core.revision })),
        }
    }

    fn range(&self, asked: &Asked) -> Reply {
        let core = lock(&self.core);
        let prefix = asked.parameter("pathPrefix").unwrap_or_default();
        let after = asked.parameter("after").unwrap_or_default();
        let found = core.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = found
            .take(PAGE + 1)
            .map(|(key, item)| show(key, item))
            .collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        reply(
            200,
            &json!({ "items": items, "more": more, "at": core.revision }),
        )
    }

    fn watch(&self, asked: &Asked) -> Reply {
        let prefix = asked.parameter("pathPrefix").unwrap_or_default();
        let after = asked.number("after");
        let until = Instant::now() + Duration::from_millis(asked.number("waitMs"));
        let mut core = lock(&self.core);
        loop {
            core.lapse();
            if after < core.forgotten {
                return reply(410, &json!({}));
            }
            let events = match core.faults.deaf {
                true => Vec::new(),
                false => core.events(prefix, after),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || core.faults.busy {
                let at = if core.faults.deaf {
                    after
                } else {
                    core.revision
                };
                return reply(200, &json!({ "events": events, "at": at }));
            }
            let step = left.min(LOOK);
            let waited = self.changed.wait_timeout(core, step);
            core = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn change(&self, asked: &Asked) -> Told {
        let Ok(change) = serde_json::from_slice::<Value>(&asked.body) else {
            return reply(400, &json!({})).into();
        };
        let mut core = lock(&self.core);
        if core.faults.strike(|faults| &mut faults.late) {
            core.held.push(change);
            return Told::Cut;
        }
        let answer = core.apply(&change);
        self.changed.notify_all();
        if core.faults.strike(|faults| &mut faults.lost) {
            return Told::Cut;
        }
        answer.into()
    }

    fn grant(&self, asked: &Asked) -> Reply {
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
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

    fn keep(&self, path: &str) -> Reply {
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
    /// Notes which keys a change wants to write.
    fn note(&mut self, asked: &Asked) {
        if asked.path != "/kv-txn" {
            return;
        }
        let change: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        for entry in change["put"].as_array().into_iter().flatten() {
            let key = entry["privateKey"].as_str().unwrap_or_default();
            self.tried.insert(key.to_owned());
        }
    }

    /// Ends leases whose time is over, with their keys.
    fn lapse(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
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
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            made,
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        let key = key.to_owned();
        self.history.push_back(Change {
            revision,
            key,
            item,
        });
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let new = self.history.iter();
        let new = new.filter(|change| change.revision > after && change.key.starts_with(prefix));
        new.map(|change| match &change.item {
            Some(item) => show(&change.key, item),
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
            let found = keys.filter_map(|key| self.items.get(&key).map(|item| show(&key, item)));
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
        self.unify(put.len() + remove.len());
        reply(200, &json!({ "revision": self.revision }))
    }

    /// All entries of one change bear one revision.
    fn unify(&mut self, entries: usize) {
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

fn show(key: &str, item: &Item) -> Value {
    json!({
        "privateKey": key,
        "value": item.value,
        "revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    })
}

/// The text of a value as the store keeps it.
pub fn encode(value: &Value) -> String {
    STANDARD.encode(value.to_string())
}

/// The bytes of a value that the store keeps; none where it is not such a text.
pub fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}
