//! One entry box: a table service, a scheduler and a gate in this process.

use {
    gate::balancing,
    infra::{boxes, store, worker},
    kernel::{Client, resources::Resources},
    standin::deploy::entry_item,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// The services of one entry box.
pub struct Entry {
    /// Box name.
    pub name: Arc<str>,
    /// Data hall.
    pub hall: Arc<str>,
    /// Table service.
    pub table: table::service::Service,
    /// The scheduler.
    pub sched: sched::Service,
    /// The gate.
    pub gate: gate::Service,
}

impl Entry {
    /// Starts the services against a platform at these base URLs.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(name: &str, hall: Arc<str>, store_url: &str, boxes_url: &str) -> io::Result<Self> {
        let name: Arc<str> = Arc::from(name);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let client = Client::new(None);
        let store = Arc::new(store::Http::new(store_url, client.clone()));
        let boxes = Arc::new(boxes::Http::new(boxes_url, client));
        let table = table::service::Service::start(table::service::Settings {
            name: name.clone(),
            listen: any,
            resources: Resources::default(),
            token: None,
            store: store.clone(),
            boxes: boxes.clone(),
        })?;
        let sched = sched::Service::start(sched::Settings {
            name: name.clone(),
            listen: any,
            resources: Resources::default(),
            url: None,
            token: None,
            store,
            boxes: boxes.clone(),
            workers: Arc::new(worker::Http::new(sched::service::worker_client())),
            timing: lease::LeaseTiming::default(),
            heartbeat: Duration::from_secs(2),
            placement: Arc::from("mixed"),
        })?;
        let gate = gate::Service::start(gate::Settings {
            name: name.clone(),
            hall: hall.clone(),
            listen: any,
            resources: Resources::default(),
            ops: any,
            token: None,
            boxes,
            balancer: balancing::create("two-choices").map_err(io::Error::other)?,
            default_deadline: Duration::from_secs(5),
            max_body: 1024 * 1024,
            max_connections: 1000,
        })?;
        Ok(Entry {
            name,
            hall,
            table,
            sched,
            gate,
        })
    }

    /// Returns the list item of the box.
    pub fn item(&self) -> boxes::Item {
        let services = [
            ("gate", self.gate.url()),
            ("gate-ops", self.gate.ops_url()),
            ("sched", self.sched.url()),
            ("table", self.table.url()),
        ];
        entry_item(&self.name, &self.hall, &services)
    }

    /// Returns the table versions in use by the table service, the scheduler and the gate; `None`
    /// for a service that does not answer.
    pub fn versions(&self) -> [Option<u64>; 3] {
        let sched = self.sched.actor_ref().ask(|sched, _| sched.table_version());
        [self.table.version(), sched, self.gate.table_version()].map(Result::ok)
    }

    /// True if the scheduler of this box owns the cell.
    pub fn owns(&self, cell: &Arc<str>) -> bool {
        let cell = cell.clone();
        let owns = self
            .sched
            .actor_ref()
            .ask(move |sched, _| sched.owns(&cell));
        owns.unwrap_or(false)
    }

    /// True if every service has a table and the scheduler knows exactly this many cells to be
    /// owned.
    pub fn is_ready(&self, cells: usize) -> bool {
        let versions = self.versions();
        let summaries = self.sched.actor_ref().ask(|sched, _| sched.summaries(None));
        let summaries = summaries.unwrap_or_default();
        let holding = summaries.iter().filter(|summary| summary.holding).count();
        versions
            .iter()
            .all(|version| version.is_some_and(|v| v > 0))
            && holding == cells
    }

    /// Stops the scheduler and the table service abruptly, as a power failure would. The gate's
    /// port stays open, since a process cannot close it without ending.
    pub fn kill(&mut self) {
        self.sched.kill();
        self.table.stop();
    }
}
