//! A small deployment: three boxes, a store and minions, and calls of clients.

use crate::{
    boxes::Node,
    http::{self, Handler, Request, Server},
    json::Json,
    minion::{Event, Kind, Minion},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "nony24.example";
pub const BATCH: &str = "/pufi791/";
pub const LASTING: &str = "/pule252/";
const ZONES: [&str; 3] = ["mechelen-a", "mechelen-b", "namur-c"];

/// The configuration: two queues of the sheet of `fiscalis-sched`.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-73hh2b9","host":"nony24.example","pathPrefix":"/pule252/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":2500,"priority":0,"service":"huvo11a","retryAttempts":2,"stretch":2.2},{"name":"r-d3zji9n","host":"nony24.example","pathPrefix":"/pufi791/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"huvo11a","retryAttempts":4,"stretch":2.0}],"services":[{"name":"huvo11a","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":true,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub struct World {
    pub record: Arc<Record>,
    pub minions: Vec<Arc<Minion>>,
    pub nodes: Vec<Node>,
    pub events: Arc<Mutex<Vec<Event>>>,
    sizes: Arc<Mutex<HashMap<String, u64>>>,
    _servers: Vec<Server>,
}

/// What came of one call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Status(u16, String),
    None,
}

impl World {
    /// Starts everything, and waits until the boxes are ready and know their minions.
    pub fn start(root: &Path, folder: &Path, record: &str, minions: usize) -> World {
        let record = Arc::new(Record::new(record));
        let store = Arc::new(Store::default());
        let own = store.clone();
        let handler: Handler = Arc::new(move |request: &Request| own.handle(request));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store_server = Server::open(any, handler).expect("the store opens");
        let none: Handler = Arc::new(|_: &Request| {
            Some((200, "{\"machines\":[],\"nextPageToken\":null}".to_owned()))
        });
        let cloud = Server::open(any, none).expect("the machine service opens");
        let own = store.clone();
        thread::spawn(move || loop {
            own.tick();
            thread::sleep(Duration::from_millis(10));
        });
        let (events, sizes) = (Arc::default(), Arc::default());
        let kind = Kind {
            service: "huvo11a".to_owned(),
            cpu: 16_000,
            memory: 64_000,
            hold_max: 6_000,
            stop: 900,
            heartbeat: Duration::from_millis(1_100),
        };
        let mut all = Vec::new();
        for number in 0..minions {
            let zone = ZONES[number % ZONES.len()];
            let minion = Minion::new(
                number,
                zone,
                kind.clone(),
                store.clone(),
                record.clone(),
                Arc::clone(&events),
                Arc::clone(&sizes),
            );
            minion.start().expect("a minion starts");
            all.push(minion);
        }
        let addresses = (store_server.address.to_string(), cloud.address.to_string());
        let net = process::id() % 200 + 20;
        let mut nodes = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            let (name, ip) = (
                format!("front-{zone}-1"),
                format!("127.61.{net}.{}", number + 11),
            );
            let place = (&*name, *zone, &*ip);
            let platform = (&*addresses.0, &*addresses.1, &*addresses.1);
            nodes.push(Node::prepare(root, folder, place, platform, record.clone()));
        }
        store.write("op/config", Some(CONFIG));
        let world = World {
            record,
            minions: all,
            nodes,
            events,
            sizes,
            _servers: vec![store_server, cloud],
        };
        for node in &world.nodes {
            node.start(root, folder);
        }
        let end = Instant::now() + Duration::from_secs(15);
        for node in &world.nodes {
            while world.call(&node.ready, "GET", "/readiness", "")
                != Reply::Status(200, "ready\n".to_owned())
            {
                assert!(Instant::now() < end, "the boxes are not ready");
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_secs(6));
        world.record.line("the boxes are ready; the traffic starts");
        world
    }

    fn call(&self, address: &str, method: &str, path: &str, body: &str) -> Reply {
        match http::call(address, method, path, HOST, body, Duration::from_secs(3)) {
            Ok((status, text)) => Reply::Status(status, text),
            Err(_) => Reply::None,
        }
    }

    /// A client's call to one box, with its answer in the record.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Reply {
        let node = &self.nodes[node % self.nodes.len()];
        let reply = self.call(&node.callers, method, path, body);
        self.record.line(&format!(
            "client: {method} {path} {body} to {}: {reply:?}",
            node.name
        ));
        reply
    }

    /// Hands a job in as the pages say, and sends it again after an unclear end. False if it was
    /// not accepted.
    pub fn submit(&self, path: &str, spec: &str, cpu: u64, body: &str) -> bool {
        self.sizes.lock().unwrap().insert(spec.to_owned(), cpu);
        for attempt in 0..5 {
            match self.ask(attempt, "POST", path, body) {
                Reply::Status(200, _) => return true,
                Reply::Status(502 | 504, _) | Reply::None => {}
                Reply::Status(..) => return false,
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// The state of a job as a box shows it; empty without a 200.
    pub fn state(&self, node: usize, path: &str) -> String {
        match self.ask(node, "GET", path, "") {
            Reply::Status(200, text) => Json::parse(text.as_bytes())
                .map_or(String::new(), |json| json.get("state").text().to_owned()),
            _ => String::new(),
        }
    }

    /// Starts and ends of the tasks of a job.
    pub fn events_of(&self, job: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events
            .iter()
            .filter(|event| event.task.starts_with(job))
            .cloned()
            .collect()
    }

    /// The minion that runs a task now.
    pub fn runner(&self, task: &str) -> Option<usize> {
        let is_there = |minion: &&Arc<Minion>| {
            let life = minion.life.lock().unwrap().clone();
            life.is_some_and(|life| life.running().iter().any(|(other, _)| other == task))
        };
        self.minions
            .iter()
            .find(is_there)
            .map(|minion| minion.number)
    }

    /// All tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let mut tasks = Vec::new();
        for minion in &self.minions {
            if let Some(life) = &*minion.life.lock().unwrap() {
                tasks.extend(life.running().into_iter().map(|(task, _)| task));
            }
        }
        tasks
    }

    /// Processors in use and in all, on minions that are up.
    pub fn usage(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for minion in &self.minions {
            if let Some(life) = &*minion.life.lock().unwrap() {
                sum = (sum.0 + life.used(), sum.1 + 16_000);
            }
        }
        sum
    }

    pub fn stop(&self) {
        for node in &self.nodes {
            node.kill();
        }
        for minion in &self.minions {
            minion.crash();
        }
    }
}
