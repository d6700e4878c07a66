//! One entry box: a table, a scheduler and a gate.

use {
    gate::choice,
    infra::{boxes, store, worker},
    kernel::Client,
    standin::deploy::entry_item,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// The processes of one entry box.
pub struct Entry {
    /// The name.
    pub name: Arc<str>,
    /// The data hall.
    pub hall: Arc<str>,
    /// The table.
    pub table: table::service::Service,
    /// The scheduler.
    pub sched: sched::Service,
    /// The gate.
    pub gate: gate::Service,
}

impl Entry {
    /// Starts the processes against a platform at these base addresses.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the system has no room for threads.
    pub fn start(name: &str, hall: Arc<str>, store_url: &str, boxes_url: &str) -> io::Result<Self> {
        let name: Arc<str> = Arc::from(name);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let client = Client::new(None);
        let store = Arc::new(store::Http::new(store_url, client.clone()));
        let boxes = Arc::new(boxes::Http::new(boxes_url, client));
        let table = table::service::Service::start(table::service::Settings {
            name: name.clone(),
            listen: any,
            token: None,
            store: store.clone(),
            boxes: boxes.clone(),
        })?;
        let sched = sched::Service::start(sched::Settings {
            name: name.clone(),
            listen: any,
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
            ops: any,
            token: None,
            boxes,
            choice: choice::make("two-choices").map_err(io::Error::other)?,
            deadline: Duration::from_secs(5),
            body: 1024 * 1024,
            connections: 1000,
        })?;
        Ok(Entry {
            name,
            hall,
            table,
            sched,
            gate,
        })
    }

    /// The box as the platform's list shows it.
    pub fn item(&self) -> boxes::Item {
        let services = [
            ("gate", self.gate.url()),
            ("gate-ops", self.gate.ops_url()),
            ("sched", self.sched.url()),
            ("table", self.table.url()),
        ];
        entry_item(&self.name, &self.hall, &services)
    }

    /// The versions of the table in force in its three processes.
    pub fn versions(&self) -> [Option<u64>; 3] {
        let sched = self.sched.actor_ref().ask(|sched, _| sched.table_version());
        [self.table.version(), sched, self.gate.version()].map(Result::ok)
    }

    /// True when the scheduler here owns a cell.
    pub fn owns(&self, cell: &Arc<str>) -> bool {
        let cell = cell.clone();
        let owns = self
            .sched
            .actor_ref()
            .ask(move |sched, _| sched.owns(&cell));
        owns.unwrap_or(false)
    }

    /// True when every process here has a table and this many cells are known to be held.
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

    /// Stops as if the box had lost its power, but for the callers' port, which a process cannot
    /// close without ending.
    pub fn kill(&mut self) {
        self.sched.kill();
        self.table.stop();
    }
}
