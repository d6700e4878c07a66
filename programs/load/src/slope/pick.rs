//! Measures the choice of a backend server against the number of servers.

use {
    crate::fit::{self, Fit, Point},
    gate::{Gate, actor::SlotRequest, balancing},
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
    },
    kernel::{ActorThread, Failure, actor::Responder, stakker::Cx},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Kind as RowKind, Row, Table},
};

/// Number of servers of the class.
const SERVERS: [usize; 5] = [50, 100, 250, 500, 1000];

/// Requests per run.
const REQUESTS: u32 = 2000;

/// Number of runs per size; the shortest is used.
const RUNS: u32 = 5;

/// Measures the gate's actor.
pub fn run() -> Vec<Fit> {
    let points = SERVERS.map(|servers| Point {
        size: servers as f64,
        cost: measure(servers),
    });
    let what = "choosing a server and giving it back, microseconds";
    vec![fit::line(what, "servers of the class", points.to_vec())]
}

fn list(servers: usize) -> List {
    let item = |name: String, kind, service: &str| Item {
        name: Arc::from(name),
        kind,
        hall: Arc::from("h1"),
        rack: Arc::from(""),
        state: State::Live,
        services: [(Arc::from(service), Arc::from("http://10.0.0.1:80"))].into(),
        size: Size::default(),
        generation: Arc::from(""),
        class: Arc::from("v"),
    };
    let mut items: Vec<Item> = (0..servers)
        .map(|at| item(format!("s{at}"), Kind::Backend, "http"))
        .collect();
    items.push(item("g1".to_owned(), Kind::Entry, "gate"));
    List { version: 1, items }
}

fn table() -> Table {
    let row = Row {
        kind: RowKind::Service,
        target: Some(50),
        ..Row::batch("v")
    };
    Table {
        version: 1,
        rows: [(row.class.clone(), row)].into(),
    }
}

/// Returns the shortest mean time, in microseconds. The loop runs on the actor, so that only the
/// choice is timed, without the message to the actor.
fn measure(servers: usize) -> f64 {
    let Ok(policy) = balancing::create("two-choices") else {
        return 0.0;
    };
    let name: Arc<str> = Arc::from("g1");
    let hall: Arc<str> = Arc::from("h1");
    let Ok(host) = ActorThread::start("gate", move |_, _| Gate::new(name, hall, policy)) else {
        return 0.0;
    };
    let list = list(servers);
    let timed = host.actor_ref().ask(move |gate, cx| {
        gate.set_list(&list, cx.now());
        gate.set_table(Arc::new(table()));
        let mut best = f64::MAX;
        for _ in 0..RUNS {
            let started = Instant::now();
            for _ in 0..REQUESTS {
                acquire_and_release(gate, cx, started);
            }
            best = best.min(started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS));
        }
        best
    });
    timed.unwrap_or(0.0)
}

fn acquire_and_release(gate: &mut Gate, cx: &mut Cx<'_, Gate>, now: Instant) {
    let request = SlotRequest {
        class: Arc::from("v"),
        deadline: now + Duration::from_secs(60),
        tried: Vec::new(),
    };
    let (answerer, answer) = Responder::<Result<_, Failure>>::channel();
    gate.acquire_slot(cx, request, answerer);
    if let Ok(Ok(ticket)) = answer.blocking_recv() {
        gate.release_slot(ticket.index, Duration::from_millis(5), true, now);
    }
}
