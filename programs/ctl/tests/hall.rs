//! Tests `magpiectl hall list` against a simulated box.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::{Failure, Request, Server, server::Reply},
    node::{
        message::{ClosedHall, PeerRequest, PeerResponse},
        peer,
    },
    std::{
        process::{Command, Output},
        sync::Arc,
    },
};

/// Starts a box that responds to each request with these halls.
fn open(halls: Option<Vec<ClosedHall>>) -> Server {
    let handler = move |request: Request| {
        assert_eq!(request.path, peer::PATH);
        let peer_request: Result<PeerRequest, Failure> = request.message();
        assert!(matches!(
            peer_request,
            Ok(PeerRequest::Halls { passed: false })
        ));
        let response: Result<PeerResponse, Failure> = Ok(PeerResponse::Halls(halls.clone()));
        request.respond(Reply::message(&response));
    };
    let address = "127.0.0.1:0".parse().unwrap();
    Server::open(address, 1, None, Arc::new(handler)).unwrap()
}

fn list(server: &Server, flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magpiectl"))
        .args(["--box", &server.url(), "hall", "list"])
        .args(flags)
        .output()
        .unwrap()
}

fn closed_halls() -> Vec<ClosedHall> {
    vec![ClosedHall {
        hall: "h1".into(),
        by: Some("night shift".into()),
        since: 1_780_000_000_000,
    }]
}

#[test]
fn list_prints_columns() {
    let out = list(&open(Some(closed_halls())), &[]);
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("SHUT HALL"), "{text}");
    assert!(lines[1].starts_with("h1"), "{text}");
    assert!(lines[1].contains("2026-05-28T20:26:40Z"), "{text}");
    assert!(lines[1].ends_with("night shift"), "{text}");
}

#[test]
fn list_prints_json() {
    let out = list(&open(Some(closed_halls())), &["--json"]);
    let text = String::from_utf8(out.stdout).unwrap();
    let expected = r#"[{"hall":"h1","by":"night shift","since":1780000000000}]"#;
    assert_eq!(text.trim(), expected);
}

/// Guards against printing an empty list if no owner of the cell knows which halls are closed.
#[test]
fn list_without_owner_fails() {
    let out = list(&open(None), &[]);
    assert_eq!(out.status.code(), Some(5));
    assert!(out.stdout.is_empty());
}
