//! Measures the propagation of a table edit against the number of entry boxes.

use {
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
    infra::Store,
    kernel::{Client, Failure, resources::Resources},
    standin::{Registry, clock::Clock, deploy::entry_item, store},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    table::{
        Edit, Row, RowEdit,
        message::{Outcome, Submit},
        service::{Service, Settings},
    },
};

/// Number of entry boxes.
const BOXES: [usize; 4] = [6, 20, 40, 80];

/// Number of edits per size.
const EDITS: u64 = 30;

/// Duration for which the calls to the store without edits are counted: several watches.
const IDLE_TIME: Duration = Duration::from_secs(40);

/// Time-out of an edit.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The interval at which the versions are polled.
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Measures the time until edits are in force in every table process.
pub fn run() -> Vec<Fit> {
    let mut times = Vec::new();
    let mut costs = Vec::new();
    let mut calls = Vec::new();
    for boxes in BOXES {
        let Ok((time, cost, rate)) = measure(boxes) else {
            continue;
        };
        let size = boxes as f64;
        times.push(Point { size, cost: time });
        costs.push(Point { size, cost });
        calls.push(Point { size, cost: rate });
    }
    vec![
        fit::line(
            "an edit in force everywhere, p99 of 30, milliseconds",
            "entry boxes",
            times,
        ),
        fit::line(
            "processor time of an edit, all boxes, milliseconds",
            "entry boxes",
            costs,
        ),
        fit::line(
            "calls on the store a second without edits",
            "entry boxes",
            calls,
        ),
    ]
}

/// Returns the p99 time of an edit, its processor time, and the calls per second to the store
/// without edits.
fn measure(boxes: usize) -> io::Result<(f64, f64, f64)> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let core = Arc::new(store::Core::new(store::Rates::default(), Clock::real()));
    let store: Arc<dyn Store> = core.clone();
    let registry = Registry::new(Duration::ZERO);
    let mut services = Vec::new();
    for number in 0..boxes {
        let name = format!("b{number:03}");
        let service = Service::start(Settings {
            name: Arc::from(name.as_str()),
            listen: any_port,
            resources: Resources::default(),
            token: None,
            store: store.clone(),
            boxes: Arc::new(registry.clone()),
        })?;
        registry.put(entry_item(&name, "h1", &[("table", service.url())]));
        services.push(service);
    }
    thread::sleep(Duration::from_secs(2));
    let before = core.counts();
    let idle_time = IDLE_TIME;
    thread::sleep(idle_time);
    let after = core.counts();
    let calls = after.get + after.watch + after.swap - before.get - before.watch - before.swap;
    let client = Client::new(None);
    let mut times = Vec::new();
    let cpu_before = machine::cpu_seconds();
    for number in 0..EDITS {
        times.push(edit(&client, &services, number)?);
    }
    let cost = (machine::cpu_seconds() - cpu_before) * 1e3 / EDITS as f64;
    times.sort_by(f64::total_cmp);
    let rank = (times.len() * 99).div_ceil(100).saturating_sub(1);
    Ok((times[rank], cost, calls as f64 / idle_time.as_secs_f64()))
}

fn edit(client: &Client, services: &[Service], number: u64) -> io::Result<f64> {
    let row = Row {
        weight: 1 + number as u32,
        ..Row::batch(&format!("class{number}"))
    };
    let rows = vec![RowEdit {
        class: row.class.clone(),
        revision: 0,
        row: Some(row),
    }];
    let edit = Edit {
        id: number + 1,
        who: Arc::from("load"),
        rows,
    };
    let url = format!(
        "{}/table/edit",
        services[number as usize % services.len()].url()
    );
    let started = Instant::now();
    let outcome: Result<Outcome, Failure> = client.post(&url, &Submit { edit }, TIMEOUT);
    let Ok(Outcome::Accepted(version)) = outcome else {
        return Err(io::Error::other(
            "an edit of the experiment was not accepted",
        ));
    };
    while !services
        .iter()
        .all(|service| service.version().is_ok_and(|v| v >= version))
    {
        thread::sleep(POLL_INTERVAL);
    }
    Ok(started.elapsed().as_secs_f64() * 1e3)
}
