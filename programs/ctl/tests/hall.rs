//! `magpiectl hall list` against a box that this test plays.

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

/// A box that tells these halls, whatever it is asked.
fn open(halls: Option<Vec<ClosedHall>>) -> Server {
    let answer = move |request: Request| {
        assert_eq!(request.path, peer::PATH);
        let asked: Result<PeerRequest, Failure> = request.message();
        assert!(matches!(asked, Ok(PeerRequest::Halls { passed: false })));
        let told: Result<PeerResponse, Failure> = Ok(PeerResponse::Halls(halls.clone()));
        request.respond(Reply::message(&told));
    };
    let any = "127.0.0.1:0".parse().unwrap();
    Server::open(any, 1, None, Arc::new(answer)).unwrap()
}

fn list(server: &Server, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magpiectl"))
        .args(["--box", &server.url(), "hall", "list"])
        .args(more)
        .output()
        .unwrap()
}

fn shut() -> Vec<ClosedHall> {
    vec![ClosedHall {
        hall: "h1".into(),
        by: Some("night shift".into()),
        since: 1_780_000_000_000,
    }]
}

#[test]
fn list_for_people() {
    let out = list(&open(Some(shut())), &[]);
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("SHUT HALL"), "{text}");
    assert!(lines[1].starts_with("h1"), "{text}");
    assert!(lines[1].contains("2026-05-28T20:26:40Z"), "{text}");
    assert!(lines[1].ends_with("night shift"), "{text}");
}

#[test]
fn list_for_scripts() {
    let out = list(&open(Some(shut())), &["--json"]);
    let text = String::from_utf8(out.stdout).unwrap();
    let expected = r#"[{"hall":"h1","by":"night shift","since":1780000000000}]"#;
    assert_eq!(text.trim(), expected);
}

/// Nobody knows which halls are shut: that is not the same as none.
#[test]
fn list_without_owner() {
    let out = list(&open(None), &[]);
    assert_eq!(out.status.code(), Some(5));
    assert!(out.stdout.is_empty());
}
