//! The platform's metadata store, as PROTOCOL.md tells it.

use crate::{
    http::{Answer, Request},
    json::{base64, quoted, Json},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Key, revision and value; without a value the key was removed.
    events: Vec<(String, u64, Option<Item>)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// The usual time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
const PAGE: usize = 500;

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":{},\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.made,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item {
            value,
            revision,
            made,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), self.revision, None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end_lease(*id);
        }
        !over.is_empty()
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        existed
    }
}

impl Store {
    /// A change by the operator or a minion.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        match value {
            Some(value) => state.put(key, base64(value.as_bytes()), 0),
            None => state.remove(key),
        }
        self.changed.notify_all();
    }

    /// Ends leases in time.
    pub fn tick(&self) {
        if self.state.lock().unwrap().expire() {
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (status, text) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.change(&body),
            ("POST", "/kv-lease") => self.lease(&body),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                let existed = state.end_lease(path[14..].parse().unwrap_or(0));
                self.changed.notify_all();
                (if existed { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        Some((status, text))
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let key = request.param("privateKey");
        match state.items.get(key) {
            None => (404, format!("{{\"at\":{}}}", state.revision)),
            Some(item) => {
                let text = item_json(key, item);
                (
                    200,
                    format!("{},\"at\":{}}}", &text[..text.len() - 1], state.revision),
                )
            }
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.param("pathPrefix"), request.param("after"));
        let mut rows = Vec::new();
        let mut more = false;
        for (key, item) in state.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if rows.len() == PAGE {
                more = true;
                break;
            }
            rows.push(item_json(key, item));
        }
        let rows = rows.join(",");
        (
            200,
            format!(
                "{{\"items\":[{rows}],\"more\":{more},\"at\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.param("pathPrefix").to_owned();
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let from = state.events.partition_point(|event| event.1 <= after);
            let rows: Vec<String> = state.events[from..]
                .iter()
                .filter(|event| event.0.starts_with(&prefix))
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"privateKey\":{},\"revision\":{revision},\"gone\":true}}",
                        quoted(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                let rows = rows.join(",");
                return (
                    200,
                    format!("{{\"events\":[{rows}],\"at\":{}}}", state.revision),
                );
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let expected = body.get("expectedRevision").list();
        let keys: Vec<&str> = expected
            .iter()
            .map(|row| row.get("privateKey").text())
            .collect();
        let holds = expected.iter().all(|row| {
            let item = state.items.get(row.get("privateKey").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let rows: Vec<String> = keys
                .iter()
                .filter_map(|key| state.items.get(*key).map(|item| item_json(key, item)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let puts = body.get("put").list();
        let removes = body.get("remove").list();
        let written = puts.iter().map(|row| row.get("privateKey").text());
        for key in written.chain(removes.iter().map(Json::text)) {
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
        }
        for row in puts {
            let lease = row.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.revision += 1;
        for row in puts {
            let (key, value) = (row.get("privateKey").text(), row.get("value").text());
            state.put(key, value.to_owned(), row.get("lease").number());
        }
        for key in removes {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn lease(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let time = Duration::from_millis(body.get("ttl_ms").number().clamp(1_000, 600_000));
        state.last_lease += 1;
        let id = 77_000 + state.last_lease;
        state.leases.insert(id, (Instant::now() + time, time));
        (
            200,
            format!("{{\"lease\":{id},\"ttl_ms\":{}}}", time.as_millis()),
        )
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        match state.leases.get_mut(&id.parse().unwrap_or(0)) {
            None => (404, "{}".to_owned()),
            Some((end, time)) => {
                *end = Instant::now() + *time;
                (200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
            }
        }
    }
}
