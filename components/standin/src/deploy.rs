//! Deployment sizes of the users, and a complete platform of stand-ins in one process.

use {
    crate::{
        auditor::Auditor,
        backend::Backend,
        boxes::Registry,
        clock::Clock,
        store::{Core, Rates, Server},
        worker::{self, WorkerSet},
    },
    infra::{
        Size,
        boxes::{Item, Kind, State},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Workers per rack.
const RACK: usize = 8;

/// Delay with which the list of boxes publishes changes.
const LAG: Duration = Duration::from_millis(300);

/// Deployment size and settings of one user.
#[derive(Debug, Clone)]
pub struct Deploy {
    /// User name.
    pub name: &'static str,
    /// Number of data halls.
    pub halls: usize,
    /// Number of workers.
    pub workers: usize,
    /// Capacity of each worker.
    pub size: Size,
    /// Number of backend servers.
    pub backends: usize,
    /// Class served by the backend servers.
    pub service: &'static str,
    /// Mean service time of a request.
    pub mean: Duration,
    /// Number of entry boxes.
    pub entries: usize,
    /// The table of classes, as a sheet.
    pub sheet: &'static str,
}

/// Classes of Fiscalis Verbond.
const FISCALIS: &str = "\
class,team,kind,priority,weight,max_processors,max_memory_gb,max_accelerators,max_running,\
generations,target_ms,team_processors
validation,filing,service,8,200,,,,,,50,
urgent,filing,batch,9,100,,,,,,,
reconciliation,reconcile,batch,3,100,,,,,,,900
submission,filing,batch,6,100,,,,400,,,
watcher,pending,standing,5,50,200,,,,,,
";

/// Classes of the Sabarmati Trust.
const SABARMATI: &str = "\
class,team,kind,priority,weight,max_processors,max_memory_gb,max_accelerators,max_running,\
generations,target_ms,team_processors
pincode,sorting,service,8,200,,,,,,40,
urgent,sorting,batch,9,100,,,,,,,
manifest,vans,batch,4,300,,,,,,,
dispatch,vans,batch,6,100,,,,400,,,
route,vans,standing,5,50,600,,,,,,
";

impl Deploy {
    /// Returns the deployment of a user, or `None` for an unknown name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "fiscalis" => Some(Deploy {
                name: "fiscalis",
                halls: 4,
                workers: 65,
                size: Size::new(16_000, 60_000, 0),
                backends: 65,
                service: "validation",
                mean: Duration::from_millis(8),
                entries: 6,
                sheet: FISCALIS,
            }),
            "sabarmati" => Some(Deploy {
                name: "sabarmati",
                halls: 3,
                workers: 50,
                size: Size::new(64_000, 250_000, 0),
                backends: 50,
                service: "pincode",
                mean: Duration::from_millis(6),
                entries: 6,
                sheet: SABARMATI,
            }),
            _ => None,
        }
    }

    /// Returns the data hall of the box with this index.
    pub fn hall(&self, at: usize) -> Arc<str> {
        Arc::from(format!("h{}", at % self.halls + 1))
    }
}

/// Listen addresses of the platform; port 0 selects a free port.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the list of boxes.
    pub boxes: SocketAddr,
}

impl Addresses {
    /// Returns free ports on loopback.
    pub fn free() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Addresses {
            store: any,
            boxes: any,
        }
    }
}

/// A running platform of stand-ins.
pub struct Platform {
    /// The store.
    pub store: Server,
    /// The list of boxes.
    pub registry: Registry,
    /// Base URL of the list of boxes.
    pub boxes: String,
    /// The workers.
    pub worker_set: WorkerSet,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// Records what ran.
    pub auditor: Auditor,
    _workers: worker::Server,
}

impl Platform {
    /// Starts a platform with the sizes of a deployment.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(deploy: &Deploy, addresses: Addresses, seed: u64) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let clock = Clock::real();
        let auditor = Auditor::new();
        let core = Arc::new(Core::new(Rates::default(), clock.clone()));
        let store = Server::open(addresses.store, core)?;
        let registry = Registry::new(LAG);
        let boxes = registry.open(addresses.boxes)?;
        let worker_set = WorkerSet::new(clock, auditor.clone());
        let workers = worker_set.open(any)?;
        for at in 0..deploy.workers {
            let item = worker_item(deploy, at, &workers);
            worker_set.add(&item.name, deploy.size);
            registry.put(item);
        }
        let mut backends = Vec::new();
        for at in 0..deploy.backends {
            let seed = seed.wrapping_add(at as u64);
            let backend = Backend::open(any, deploy.mean, seed, auditor.clone())?;
            registry.put(backend_item(deploy, at, &backend));
            backends.push(backend);
        }
        Ok(Platform {
            store,
            registry,
            boxes,
            worker_set,
            backends,
            auditor,
            _workers: workers,
        })
    }
}

fn item(name: String, kind: Kind, hall: Arc<str>, service: &str, url: String) -> Item {
    Item {
        name: Arc::from(name),
        kind,
        hall,
        rack: Arc::from(""),
        state: State::Live,
        services: [(Arc::from(service), Arc::from(url))].into(),
        size: Size::default(),
        generation: Arc::from(""),
        class: Arc::from(""),
    }
}

fn worker_item(deploy: &Deploy, at: usize, port: &worker::Server) -> Item {
    let name = format!("w{at:03}");
    let url = port.url(&name);
    Item {
        size: deploy.size,
        // A third of the racks is older hardware.
        generation: Arc::from(if (at / RACK).is_multiple_of(3) {
            "g1"
        } else {
            "g2"
        }),
        rack: Arc::from(format!("r{}", at / RACK)),
        ..item(name, Kind::Worker, deploy.hall(at / RACK), "worker", url)
    }
}

fn backend_item(deploy: &Deploy, at: usize, backend: &Backend) -> Item {
    let hall = deploy.hall(at);
    Item {
        class: Arc::from(deploy.service),
        ..item(
            format!("s{at:03}"),
            Kind::Backend,
            hall,
            "http",
            backend.url(),
        )
    }
}

/// Builds the list item of an entry box from the base URLs of its services.
pub fn entry_item(name: &str, hall: &str, services: &[(&str, String)]) -> Item {
    let mut item = item(
        name.to_owned(),
        Kind::Entry,
        Arc::from(hall),
        "",
        String::new(),
    );
    let pair = |(name, url): &(&str, String)| (Arc::from(*name), Arc::from(url.as_str()));
    item.services = services.iter().map(pair).collect();
    item
}
