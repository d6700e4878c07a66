//! Measures the latency that a gate adds to a call: the same backend server, called directly and
//! through the gate.

use {
    crate::{cli, machine},
    gate::{Service, Settings, balancing},
    hdrhistogram::Histogram,
    infra::Store,
    kernel::{Call, Client, resources::Resources},
    serde::Serialize,
    standin::{Auditor, Backend, Registry, clock::Clock, deploy::entry_item, store},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    table::{Kind, Row, StoredTable, accept, service},
};

/// The class of the calls.
const CLASS: &str = "validation";

/// Number of calls on one path before switching to the other.
const ROUND: u32 = 100;

/// The measured latencies.
#[derive(Debug, Serialize)]
struct Outcome {
    calls: u32,
    direct_p50_ms: f64,
    gate_p50_ms: f64,
    added_p50_ms: f64,
    added_cpu_ms: f64,
    direct_p99_ms: f64,
    gate_p99_ms: f64,
}

/// Runs the measurement and prints the outcome.
pub fn run(command: &cli::Added) {
    let outcome = kernel::daemon::started_or_exit(measure(command.calls));
    if command.json {
        println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
        return;
    }
    println!(
        "direct  p50 {:.3} ms, p99 {:.3} ms",
        outcome.direct_p50_ms, outcome.direct_p99_ms
    );
    println!(
        "gate    p50 {:.3} ms, p99 {:.3} ms",
        outcome.gate_p50_ms, outcome.gate_p99_ms
    );
    println!(
        "added   p50 {:.3} ms, processor {:.3} ms a call",
        outcome.added_p50_ms, outcome.added_cpu_ms
    );
}

/// Writes a table with a single service row to the store.
fn seed_table(store: &dyn Store) -> io::Result<()> {
    let row = Row {
        kind: Kind::Service,
        target: Some(50),
        ..Row::batch(CLASS)
    };
    let rows = [(row.class.clone(), row)].into();
    let book = StoredTable {
        table: table::Table { version: 1, rows },
        ..StoredTable::default()
    };
    let bytes = kernel::wire::encode(&book).map_err(io::Error::other)?;
    store
        .swap(accept::KEY, 0, &bytes)
        .map_err(io::Error::other)?;
    Ok(())
}

fn measure(calls: u32) -> io::Result<Outcome> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let core = Arc::new(store::Core::new(store::Rates::default(), Clock::real()));
    seed_table(core.as_ref())?;
    let registry = Registry::new(Duration::ZERO);
    let backend = Backend::open(any_port, Duration::ZERO, 1, Auditor::new())?;
    let mut item = entry_item("s1", "h1", &[("http", backend.url())]);
    item.kind = infra::boxes::Kind::Backend;
    item.class = Arc::from(CLASS);
    registry.put(item);
    let name: Arc<str> = Arc::from("b1");
    let boxes = Arc::new(registry.clone());
    let table = service::Service::start(service::Settings {
        name: name.clone(),
        listen: any_port,
        resources: Resources::default(),
        token: None,
        store: core,
        boxes: boxes.clone(),
    })?;
    let gate = Service::start(Settings {
        name,
        hall: Arc::from("h1"),
        listen: any_port,
        resources: Resources::default(),
        ops: any_port,
        token: None,
        boxes,
        balancer: balancing::create("two-choices").map_err(io::Error::other)?,
        default_deadline: Duration::from_secs(5),
        max_body: 1024 * 1024,
        max_connections: 100,
    })?;
    registry.put(entry_item(
        "b1",
        "h1",
        &[("table", table.url()), ("gate", gate.url())],
    ));
    while gate.table_version().unwrap_or(0) == 0
        || !gate.actor_ref().ask(|g, _| g.is_ready()).unwrap_or(false)
    {
        thread::sleep(Duration::from_millis(10));
    }
    compare(&backend.url(), &gate.url(), calls)
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)
}

/// Alternates between direct calls and calls through the gate, so that both see the same load on
/// the machine.
fn compare(direct: &str, gate: &str, calls: u32) -> io::Result<Outcome> {
    let client = Client::new(None);
    let (mut direct_times, mut gate_times) = (histogram()?, histogram()?);
    for _ in 0..ROUND {
        call(&client, direct)?;
        call(&client, gate)?;
    }
    let mut cpu_times = [0.0; 2];
    for _ in 0..calls.div_ceil(ROUND) {
        let start = machine::cpu_seconds();
        for _ in 0..ROUND {
            direct_times.saturating_record(call(&client, direct)?);
        }
        let middle = machine::cpu_seconds();
        for _ in 0..ROUND {
            gate_times.saturating_record(call(&client, gate)?);
        }
        cpu_times[0] += middle - start;
        cpu_times[1] += machine::cpu_seconds() - middle;
    }
    let milliseconds = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e6 * 1e3;
    Ok(Outcome {
        calls,
        direct_p50_ms: milliseconds(&direct_times, 0.5),
        gate_p50_ms: milliseconds(&gate_times, 0.5),
        added_p50_ms: milliseconds(&gate_times, 0.5) - milliseconds(&direct_times, 0.5),
        added_cpu_ms: (cpu_times[1] - cpu_times[0]) * 1e3 / f64::from(calls),
        direct_p99_ms: milliseconds(&direct_times, 0.99),
        gate_p99_ms: milliseconds(&gate_times, 0.99),
    })
}

/// Sends one call. Returns its duration in microseconds.
fn call(client: &Client, base: &str) -> io::Result<u64> {
    let url = format!("{base}/validate");
    let headers = [("x-magpie-class", CLASS), ("x-id", "1")];
    let call = Call {
        method: "POST",
        url: &url,
        headers: &headers,
        body: &[7; 500],
        timeout: Duration::from_secs(5).into(),
    };
    let started = Instant::now();
    let answer = client.send(&call).map_err(io::Error::other)?;
    let time = started.elapsed().as_micros() as u64;
    if answer.status != 200 {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(io::Error::other(format!(
            "status {}: {text}",
            answer.status
        )));
    }
    Ok(time)
}
