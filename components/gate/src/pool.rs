//! Pool of backend servers: slots, latency and outlier ejection as seen by one gate.

use {
    crate::share,
    infra::boxes::{Item, Kind, List, State},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Weight of the newest sample in a server's moving average of latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 5;

/// Duration of an ejection.
const EJECTION_TIME: Duration = Duration::from_secs(5);

/// Maximum share of a class's servers that are ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

/// State of a backend server.
#[derive(Debug)]
pub struct Server {
    /// Name of the server's box.
    pub name: Arc<str>,
    /// Base URL.
    pub url: Arc<str>,
    /// Data hall of the server.
    pub hall: Arc<str>,
    /// Class of work that the server handles.
    pub class: Arc<str>,
    /// Maximum number of in-flight requests from this gate.
    pub share: u32,
    /// In-flight requests from this gate.
    pub in_flight: u32,
    /// Moving average of the latency, in seconds; 0 before the first response.
    pub latency: f64,
    /// True if the server is leaving and gets no further requests.
    pub leaving: bool,
    /// True if the server is in the current list of boxes.
    pub listed: bool,
    /// Consecutive failures.
    pub failures: u32,
    /// End of the current or last ejection.
    pub ejected_until: Option<Instant>,
}

impl Server {
    /// True if the server may get a request at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        self.listed && !self.leaving && !ejected && self.in_flight < self.share
    }
}

/// All backend servers ever listed, by index, name and class.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    names: BTreeMap<Arc<str>, usize>,
    classes: BTreeMap<Arc<str>, Vec<usize>>,
}

impl Pool {
    /// Returns all servers. The index of a server never changes.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns the server at `index`.
    pub fn server(&self, index: usize) -> &Server {
        &self.servers[index]
    }

    /// Returns the server at `index` for modification.
    pub fn server_mut(&mut self, index: usize) -> &mut Server {
        &mut self.servers[index]
    }

    /// Returns the indexes of a class's servers.
    pub fn of_class(&self, class: &str) -> &[usize] {
        self.classes.get(class).map_or(&[], Vec::as_slice)
    }

    /// Number of slots of a class that this gate may use.
    pub fn slots(&self, class: &str) -> u32 {
        let usable =
            |index: &&usize| self.servers[**index].listed && !self.servers[**index].leaving;
        self.of_class(class)
            .iter()
            .filter(usable)
            .map(|index| self.servers[*index].share)
            .sum()
    }

    /// Updates the servers from the platform's list of boxes and computes the shares of `gate`, the
    /// name of this gate's box.
    pub fn update(&mut self, list: &List, gate: &str) {
        let gates: BTreeSet<&str> = list
            .of_kind(Kind::Entry)
            .filter(|item| item.url("gate").is_some())
            .map(|item| &*item.name)
            .collect();
        let rank = gates.range(..gate).count() as u32;
        // A gate that is not in the list yet counts itself.
        let count = gates.len() as u32 + u32::from(!gates.contains(gate));
        for server in &mut self.servers {
            server.listed = false;
        }
        for item in list.of_kind(Kind::Backend) {
            let Some(url) = item.url("http") else {
                continue;
            };
            let index = self
                .names
                .get(&item.name)
                .copied()
                .unwrap_or_else(|| self.add(item, url));
            let server = &mut self.servers[index];
            server.listed = true;
            server.url = url.clone();
            server.leaving = item.state == State::Leaving;
            server.share = share::slots(&item.name, rank, count);
        }
    }

    fn add(&mut self, item: &Item, url: &Arc<str>) -> usize {
        let index = self.servers.len();
        self.names.insert(item.name.clone(), index);
        self.classes
            .entry(item.class.clone())
            .or_default()
            .push(index);
        self.servers.push(Server {
            name: item.name.clone(),
            url: url.clone(),
            hall: item.hall.clone(),
            class: item.class.clone(),
            share: 0,
            in_flight: 0,
            latency: 0.0,
            leaving: false,
            listed: true,
            failures: 0,
            ejected_until: None,
        });
        index
    }

    /// Records the end of a request to a server. `ok` is false if the server failed.
    pub fn record_result(&mut self, index: usize, latency: Duration, ok: bool, now: Instant) {
        let server = &mut self.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        if ok {
            server.failures = 0;
            let seconds = latency.as_secs_f64();
            server.latency = if server.latency == 0.0 {
                seconds
            } else {
                server.latency + (seconds - server.latency) * LATENCY_WEIGHT
            };
            return;
        }
        server.failures += 1;
        if server.failures >= EJECTION_FAILURES {
            self.eject(index, now);
        }
    }

    /// Ejects a server for [`EJECTION_TIME`], unless too many servers of its class are ejected
    /// already.
    fn eject(&mut self, index: usize, now: Instant) {
        let peers = self.of_class(&self.servers[index].class);
        let ejected = |index: &&usize| {
            self.servers[**index]
                .ejected_until
                .is_some_and(|until| now < until)
        };
        if (peers.iter().filter(ejected).count() + 1) * 100 > peers.len() * MAX_EJECTED_PERCENT {
            return;
        }
        let server = &mut self.servers[index];
        server.ejected_until = Some(now + EJECTION_TIME);
        server.failures = EJECTION_FAILURES - 1;
        log::warn!(target: "gate", "A backend server was ejected after consecutive failures. server={}", server.name);
        metrics::counter!("magpie_gate_ejections_total").increment(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(servers: usize) -> List {
        let item = |name: String, kind, service: &str| Item {
            name: Arc::from(name),
            kind,
            hall: Arc::from("h1"),
            rack: Arc::from("r"),
            state: State::Live,
            services: [(Arc::from(service), Arc::from("http://127.0.0.1:1"))].into(),
            size: infra::Size::default(),
            generation: Arc::from(""),
            class: Arc::from("v"),
        };
        let mut items: Vec<Item> = (0..servers)
            .map(|n| item(format!("s{n}"), Kind::Backend, "http"))
            .collect();
        items.push(item("g1".to_owned(), Kind::Entry, "gate"));
        List { version: 1, items }
    }

    #[test]
    fn update_leaving_server_gets_nothing() {
        let mut pool = Pool::default();
        let mut list = list(1);
        pool.update(&list, "g1");
        assert!(pool.server(0).is_available(Instant::now()));
        assert_eq!(pool.slots("v"), 8);
        list.items[0].state = State::Leaving;
        pool.update(&list, "g1");
        assert!(!pool.server(0).is_available(Instant::now()));
        assert_eq!(pool.slots("v"), 0);
    }

    #[test]
    fn record_result_ejects_half_at_most() {
        let mut pool = Pool::default();
        pool.update(&list(4), "g1");
        let now = Instant::now();
        for index in 0..4 {
            for _ in 0..EJECTION_FAILURES {
                pool.record_result(index, EJECTION_TIME, false, now);
            }
        }
        let open = pool
            .servers()
            .iter()
            .filter(|server| server.is_available(now))
            .count();
        assert_eq!(open, 2);
        assert!(pool.server(0).is_available(now + EJECTION_TIME));
    }
}
