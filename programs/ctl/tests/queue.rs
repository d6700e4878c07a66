//! Tests `magpiectl queue pressure` against a simulated box.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    job::spec::Size,
    kernel::{Failure, Request, Server, server::Reply},
    node::{
        message::{PeerRequest, PeerResponse, QueueStatus},
        peer,
    },
    policy::admission::Kind,
    std::{
        process::{Command, Output},
        sync::Arc,
    },
};

/// Starts a box that responds to each request with these queues.
fn open(statuses: Option<Vec<QueueStatus>>) -> Server {
    let handler = move |request: Request| {
        assert_eq!(request.path, peer::PATH);
        let peer_request: Result<PeerRequest, Failure> = request.message();
        assert!(matches!(
            peer_request,
            Ok(PeerRequest::Pressure { passed: false })
        ));
        let response: Result<PeerResponse, Failure> = Ok(PeerResponse::Pressure(statuses.clone()));
        request.respond(Reply::message(&response));
    };
    let address = "127.0.0.1:0".parse().unwrap();
    Server::open(address, 1, None, Arc::new(handler)).unwrap()
}

fn show(server: &Server, flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magpiectl"))
        .args(["--box", &server.url(), "queue", "pressure"])
        .args(flags)
        .output()
        .unwrap()
}

fn statuses() -> Vec<QueueStatus> {
    let idle = QueueStatus {
        queue: "calm".into(),
        kind: None,
        waiting: 0,
        wait: 0,
        drain: 0,
        pool: "pool".into(),
        workers: 40,
        largest: Size {
            cpu: 16_000,
            ..Size::default()
        },
        refused: 0,
    };
    let pressed = QueueStatus {
        queue: "busy".into(),
        kind: Some(Kind::BestEffort),
        waiting: 73,
        wait: 12_340,
        drain: u64::MAX,
        refused: 9,
        ..idle.clone()
    };
    vec![idle, pressed]
}

#[test]
fn pressure_prints_columns() {
    let out = show(&open(Some(statuses())), &[]);
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(lines[0][0], "QUEUE", "{text}");
    let calm = ["calm", "-", "0", "0.0", "0.0", "pool", "40", "16.0", "0"];
    assert_eq!(lines[1], calm, "{text}");
    let busy = [
        "busy",
        "best-effort",
        "73",
        "12.3",
        "forever",
        "pool",
        "40",
        "16.0",
        "9",
    ];
    assert_eq!(lines[2], busy, "{text}");
}

#[test]
fn pressure_prints_json() {
    let out = show(&open(Some(statuses())), &["--json"]);
    let printed: Vec<QueueStatus> = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(printed, statuses());
}

/// Guards against printing an empty list if no owner of the cell knows what waits.
#[test]
fn pressure_without_owner_fails() {
    let out = show(&open(None), &[]);
    assert_eq!(out.status.code(), Some(5));
    assert!(out.stdout.is_empty());
}
