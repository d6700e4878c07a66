//! Measures the size of the messages between an owner and a worker against the number of tasks in
//! them.

use {
    super::rig::TASK,
    crate::fit::{self, Fit, Point},
    infra::worker::{self, Extension, Order, Phase, Record, Report, Start, Task, Workers},
    sched::service,
    std::{io::Read, net::TcpListener, sync::Arc, thread},
};

/// Number of tasks in a message.
const TASKS: [u32; 4] = [0, 4, 16, 64];

/// Measures orders and reports.
pub fn run() -> Vec<Fit> {
    let point = |tasks: u32, bytes: usize| Point {
        size: f64::from(tasks),
        cost: bytes as f64,
    };
    let orders = TASKS.map(|tasks| point(tasks, body_length(&order(tasks))));
    let reports = TASKS.map(|tasks| point(tasks, body_length(&report(tasks))));
    let requests = TASKS.map(|tasks| point(tasks, request_length(&order(tasks))));
    vec![
        fit::line(
            "an order on the wire with HTTP's headers, bytes",
            "starts in it",
            requests.to_vec(),
        ),
        fit::line("an order's body, bytes", "starts in it", orders.to_vec()),
        fit::line("a report's body, bytes", "records in it", reports.to_vec()),
    ]
}

/// Returns the size of the HTTP request of one exchange in bytes; 0 when no port can be opened.
fn request_length(order: &Order) -> usize {
    let Ok(listener) = TcpListener::bind(("127.0.0.1", 0)) else {
        return 0;
    };
    let Ok(address) = listener.local_addr() else {
        return 0;
    };
    let body = body_length(order);
    let order = order.clone();
    let sender = thread::spawn(move || {
        let workers = worker::Http::new(service::worker_client());
        // No response is sent: the call fails once the request was read.
        let _ = workers.exchange(&format!("http://{address}/w/w012"), &order);
    });
    let mut bytes = Vec::new();
    if let Ok((mut stream, _)) = listener.accept() {
        let mut buffer = [0; 4096];
        while !is_complete(&bytes, body) {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            }
        }
    }
    let _ = sender.join();
    bytes.len()
}

/// True when the headers and a body of this length have arrived.
fn is_complete(bytes: &[u8], body: usize) -> bool {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|head| bytes.len() >= head + 4 + body)
}

fn body_length<T: serde::Serialize>(message: &T) -> usize {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len())
}

fn task(index: u32) -> Task {
    Task {
        job: Arc::from("hall12.0123456789abcdef"),
        index,
    }
}

fn order(tasks: u32) -> Order {
    let start = |index| Start {
        task: task(index),
        attempt: 1 << 43,
        class: Arc::from("reconciliation"),
        size: TASK,
        length: 30_000,
        resume: 0,
    };
    Order {
        cell: Arc::from("hall12"),
        epoch: 12,
        number: 1_000_000,
        seen: 1_000_000,
        boot: 1_764_000_000_000,
        extend: Some(Extension {
            from: 1_000_000_000,
            length: 30_000,
        }),
        starts: (0..tasks).map(start).collect(),
        stops: Vec::new(),
        throttles: Vec::new(),
        forget: Vec::new(),
    }
}

fn report(tasks: u32) -> Report {
    let record = |index| Record {
        task: task(index),
        attempt: 1 << 43,
        class: Arc::from("reconciliation"),
        size: TASK,
        phase: Phase::Finished,
        checkpoint: 30_000,
    };
    Report {
        boot: 1_764_000_000_000,
        clock: 1_000_000_000,
        lease: 1_000_030_000,
        version: 1_000_000,
        records: (0..tasks).map(record).collect(),
        refusals: Vec::new(),
        usage: Vec::new(),
    }
}
