//! The backend servers as one gate sees them.

use {
    crate::share,
    infra::boxes::{Item, Kind, List, State},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The weight of the newest answer in a server's mean latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Failures in a row after which a server is left out.
const EJECTION_FAILURES: u32 = 5;

/// How long a server is left out.
const EJECTION_TIME: Duration = Duration::from_secs(5);

/// The most servers of a class that are left out index once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// The name.
    pub name: Arc<str>,
    /// The base address.
    pub url: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The class that it answers.
    pub class: Arc<str>,
    /// Requests that this gate may have on it.
    pub share: u32,
    /// Requests that this gate has on it.
    pub in_flight: u32,
    /// The mean latency, in seconds.
    pub latency: f64,
    /// True when it gets no new requests for good.
    pub leaving: bool,
    /// True when the list has it.
    pub listed: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is left out.
    pub ejected_until: Option<Instant>,
}

impl Server {
    /// True when it may get a request now.
    pub fn is_available(&self, now: Instant) -> bool {
        let out = self.ejected_until.is_some_and(|until| now < until);
        self.listed && !self.leaving && !out && self.in_flight < self.share
    }
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    names: BTreeMap<Arc<str>, usize>,
    classes: BTreeMap<Arc<str>, Vec<usize>>,
}

impl Pool {
    /// The servers; a server keeps its place.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// One server.
    pub fn server(&self, index: usize) -> &Server {
        &self.servers[index]
    }

    /// One server, to change its counts.
    pub fn server_mut(&mut self, index: usize) -> &mut Server {
        &mut self.servers[index]
    }

    /// The places of a class's servers.
    pub fn of_class(&self, class: &str) -> &[usize] {
        self.classes.get(class).map_or(&[], Vec::as_slice)
    }

    /// The slots of a class that this gate may use.
    pub fn slots(&self, class: &str) -> u32 {
        let open = |index: &&usize| self.servers[**index].listed && !self.servers[**index].leaving;
        self.of_class(class)
            .iter()
            .filter(open)
            .map(|index| self.servers[*index].share)
            .sum()
    }

    /// Takes the platform's list over; the gate of this name computes its shares from it.
    pub fn update(&mut self, list: &List, gate: &str) {
        let gates: BTreeSet<&str> = list
            .of_kind(Kind::Entry)
            .filter(|item| item.url("gate").is_some())
            .map(|item| &*item.name)
            .collect();
        let rank = gates.range(..gate).count() as u32;
        // A gate that the list does not show yet counts itself in.
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

    /// A request to a server ended.
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

    /// Leaves a server out for a while, unless too many of its class are out already.
    fn eject(&mut self, index: usize, now: Instant) {
        let peers = self.of_class(&self.servers[index].class);
        let out = |index: &&usize| {
            self.servers[**index]
                .ejected_until
                .is_some_and(|until| now < until)
        };
        if (peers.iter().filter(out).count() + 1) * 100 > peers.len() * MAX_EJECTED_PERCENT {
            return;
        }
        let server = &mut self.servers[index];
        server.ejected_until = Some(now + EJECTION_TIME);
        server.failures = EJECTION_FAILURES - 1;
        log::warn!(target: "gate", "A backend server is left out, it fails. server={}", server.name);
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
