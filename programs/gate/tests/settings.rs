//! Tests the settings of the magpie-gate binary: all invalid settings are reported at once, flags
//! take precedence over environment variables, and the token is never printed.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    std::process::{Command, Output},
    test_case::test_case,
};

fn run(flags: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_magpie-gate"));
    command.args(flags).env_clear();
    for (name, value) in variables {
        command.env(name, value);
    }
    command.output().unwrap()
}

const VALID: [(&str, &str); 3] = [
    ("MAGPIE_NAME", "b1"),
    ("MAGPIE_HALL", "h1"),
    ("MAGPIE_BOXES", "http://127.0.0.1:7101"),
];

#[test]
fn check_valid() {
    let output = run(&["--check"], &VALID);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn check_lists_all_invalid() {
    let flags = [
        "--check",
        "--name",
        "a b",
        "--choice",
        "best",
        "--deadline-ms",
        "0",
    ];
    let output = run(
        &flags,
        &[("MAGPIE_HALL", "h1"), ("MAGPIE_BOXES", "ftp://x")],
    );
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(text.contains("--name (MAGPIE_NAME): 'a b' is invalid; expected a name"));
    assert!(text.contains("--boxes (MAGPIE_BOXES): 'ftp://x' is invalid; expected"));
    assert!(text.contains("available: least, random, round-robin, two-choices"));
    assert!(text.contains("--deadline-ms (MAGPIE_DEADLINE_MS): '0' is invalid; expected"));
}

#[test_case(&["--check", "--hall", "a b"], 2; "the flag takes precedence")]
#[test_case(&["--check", "--speed", "9"], 2; "an unknown flag")]
#[test_case(&["--help"], 0; "help")]
fn exit_code(flags: &[&str], code: i32) {
    assert_eq!(run(flags, &VALID).status.code(), Some(code));
}

#[test]
fn help_shows_variable_and_default() {
    let output = run(&["--help"], &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("MAGPIE_DEADLINE_MS, default 5000"), "{text}");
}

#[test]
fn check_never_prints_token() {
    let mut variables = VALID.to_vec();
    variables.push(("MAGPIE_TOKEN", "verysecret"));
    variables.push(("MAGPIE_NAME", "a b"));
    let output = run(&["--check"], &variables);
    let printed = [output.stdout, output.stderr].concat();
    assert!(!String::from_utf8_lossy(&printed).contains("verysecret"));
}
