//! All ways by which a box sends something, as found in the sources: what an owner could send under
//! an old fence needs a permit, and everything else is listed here by name. A sender that is added
//! without either fails these tests.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

#[path = "senders/scan.rs"]
mod scan;

use {
    scan::{Function, calls, functions, strip, traits, words},
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
    },
    test_case::test_case,
};

/// Methods of external services that need no permit: they read, or the store refuses them to a
/// former owner.
const WITHOUT_PERMIT: [&str; 17] = [
    "Advisor::advise",
    "ConfigSource::read",
    "ConfigSource::read_newest",
    "ConfigSource::wait",
    "HallClosures::read",
    "Machines::list",
    "Machines::waves",
    "Store::apply",
    "Store::get",
    "Store::get_large",
    "Store::get_stale",
    "Store::grant",
    "Store::probe",
    "Store::range",
    "Store::renew",
    "Store::watch",
    "Workers::list",
];

/// Methods of external services that need a permit.
const WITH_PERMIT: [&str; 4] = [
    "Machines::report_progress",
    "Machines::start_maintenance",
    "Workers::order",
    "Workers::poll",
];

/// Functions that send without a permit: the file, the name and the number of calls.
const OTHER_SENDERS: [(&str, &str, usize); 22] = [
    // Jobs and cancellations of callers, which any box writes.
    ("node/accept.rs", "accept", 1),
    ("node/cancel.rs", "cancel_locally", 1),
    // Writes on condition that no other owner has written, which a former owner cannot do.
    ("node/claim.rs", "attempt", 1),
    ("node/owner_tasks.rs", "write_groups", 1),
    ("node/owner_tasks.rs", "write_interference", 1),
    // The client and the store as they are handed on.
    ("node/core.rs", "apply", 1),
    ("node/core.rs", "start", 1),
    ("platform/http.rs", "call_over", 3),
    ("platform/http.rs", "send", 2),
    ("platform/store.rs", "apply", 1),
    ("platform/store.rs", "get_path", 1),
    ("platform/store.rs", "grant", 1),
    ("platform/store.rs", "post", 1),
    ("platform/store.rs", "renew", 1),
    ("platform/store.rs", "send", 1),
    // Requests to other boxes. The commands of an owner are in the answers, and relays need permits.
    ("node/peer.rs", "call", 2),
    ("node/relay.rs", "exchange", 2),
    // Reads.
    ("platform/advice.rs", "advise", 1),
    ("platform/config.rs", "revalidate", 1),
    ("platform/machines.rs", "list", 1),
    // Functions with the name of a sender.
    ("node/relays/mod.rs", "decode_report", 1),
    ("platform/callers.rs", "dispatch", 1),
];

/// The functions that make, confirm or use permits, or queue the orders of an owner: the name that
/// they use, the file and the function.
const PERMIT_USERS: [(&str, &str, &str); 28] = [
    ("Command::Order", "node/relay.rs", "execute"),
    ("Command::Order", "node/relay.rs", "revoke_starts"),
    ("Command::Order", "node/relays/mod.rs", "order"),
    ("Command::Starts", "node/relay.rs", "execute"),
    ("Command::Starts", "node/relays/relay.rs", "command_bytes"),
    ("Command::Starts", "node/relays/relay.rs", "start"),
    ("Pass::Poll", "platform/workers/mod.rs", "poll_once"),
    ("Permits::default", "node/ownership/mod.rs", "new"),
    ("Permits::default", "node/relay.rs", "new"),
    ("begin_tenure", "node/ownership/mod.rs", "begin_ownership"),
    ("begin_tenure", "node/relay.rs", "new"),
    (
        "confirm_by_store",
        "node/ownership/confirmation.rs",
        "confirm_at",
    ),
    ("confirm_by_store", "node/relay.rs", "confirm"),
    (
        "confirm_by_workers",
        "node/ownership/confirmation.rs",
        "check_isolation",
    ),
    ("confirm_by_workers", "node/relay.rs", "confirm"),
    ("fencing_token", "platform/workers/mod.rs", "send_order"),
    ("fencing_token", "platform/workers/mod.rs", "poll_once"),
    ("for_poll", "node/relay.rs", "poll"),
    ("for_poll", "node/worker.rs", "poll"),
    ("for_service", "node/owner_tasks.rs", "run_waves"),
    ("for_service", "node/waves.rs", "write"),
    ("for_worker", "node/ownership/placement.rs", "run_pass"),
    ("for_worker", "node/worker.rs", "send_order"),
    (
        "lift_suspension",
        "node/ownership/confirmation.rs",
        "restore",
    ),
    ("order", "node/ownership/placement.rs", "run_pass"),
    ("order", "node/relay.rs", "execute"),
    ("order", "node/relay.rs", "start"),
    ("order", "node/worker.rs", "send_order"),
];

/// The public methods of the HTTP client. Those that send are among the names below.
const CLIENT_METHODS: [&str; 9] = [
    "call",
    "call_over",
    "new",
    "post",
    "post_encoded",
    "send",
    "with_limits",
    "with_own_pool",
    "with_timeout_factor",
];

/// Names of methods and functions that send.
const SENDING: [&str; 6] = [
    "send_verified",
    "send_unverified",
    "call_over",
    "post",
    "post_encoded",
    "apply",
];
/// Further ones where no channel between threads has methods of the same name.
const SENDING_IN_PLATFORM: [&str; 2] = ["send", "call"];
/// Words that stand for a connection or a client of one, wherever they are.
const CONNECTIONS: [&str; 4] = ["TcpStream", "UdpSocket", "UnixStream", "hyper"];

/// A source file without tests and comments.
struct Source {
    /// The crate and the path below its `src`, such as `node/relay.rs`.
    file: String,
    text: String,
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect(directory: &Path, name: &str, sources: &mut Vec<Source>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let file = format!("{name}/{}", path.file_name().unwrap().to_str().unwrap());
        if path.is_dir() {
            collect(&path, &file, sources);
        } else if file.ends_with(".rs") {
            let text = strip(&fs::read_to_string(&path).unwrap());
            sources.push(Source { file, text });
        }
    }
}

/// Returns the sources of a box.
fn sources() -> Vec<Source> {
    let mut sources = Vec::new();
    collect(
        &workspace().join("components/node/src"),
        "node",
        &mut sources,
    );
    collect(&workspace().join("platform/src"), "platform", &mut sources);
    assert!(sources.len() > 50, "{} sources", sources.len());
    sources
}

fn read(path: &str) -> String {
    strip(&fs::read_to_string(workspace().join(path)).unwrap())
}

/// Returns the positions in a text of this file where something is sent.
fn sends(file: &str, text: &str) -> Vec<usize> {
    let mut found: Vec<usize> = SENDING.iter().flat_map(|name| calls(text, name)).collect();
    if file.starts_with("platform/") {
        found.extend(
            SENDING_IN_PLATFORM
                .iter()
                .flat_map(|name| calls(text, name)),
        );
    } else {
        // The only client in this crate, under whatever name it is used later.
        found.extend(words(text, "client"));
    }
    found.extend(CONNECTIONS.iter().flat_map(|name| words(text, name)));
    found
}

/// True for a function that takes a permit, and that checks it or passes it on with everything that
/// it sends.
fn has_permit(file: &str, function: &Function) -> bool {
    let Function {
        signature, body, ..
    } = function;
    let is_checked = |at: usize| {
        let before = &body[..at];
        let arguments = &body[at..];
        let arguments = &arguments[..arguments.find([';', '{']).unwrap_or(arguments.len())];
        // These are in the sources themselves, and so checked as well.
        let is_own = arguments.starts_with("send_verified")
            || arguments.starts_with("send_unverified")
            || before.trim_end().ends_with("self.");
        let is_passed = |name| is_own && !words(arguments, name).is_empty();
        // Nothing may wait or repeat between the check and the call.
        let is_fresh = |check: &str| {
            let checked = before.rfind(check);
            checked.is_some_and(|checked| {
                let between = &body[checked..at];
                let delays = ["await", "for", "while", "loop", "sleep", "move"];
                delays.iter().all(|word| words(between, word).is_empty())
            })
        };
        is_passed("permit")
            || is_passed("pass")
            || is_fresh("permit.fence()")
            || is_fresh("pass.check()")
    };
    let takes_permit = ["Permit", "PollPermit", "Pass"]
        .iter()
        .any(|name| !words(signature, name).is_empty());
    takes_permit && sends(file, body).into_iter().all(is_checked)
}

/// Returns the functions of a source that send something without a permit, with the number of calls,
/// and `(outside)` for what is in no function.
fn unpermitted(source: &Source) -> Vec<(String, usize)> {
    let (functions, rest) = functions(&source.text);
    let mut found = Vec::new();
    for function in functions {
        let count = sends(&source.file, &function.body).len();
        if count > 0 && !has_permit(&source.file, &function) {
            found.push((function.name, count));
        }
    }
    let imports = words(&rest, "use").into_iter().flat_map(|at| {
        let import = &rest[at..];
        let import = &import[..import.find(';').unwrap_or(import.len())];
        let names = SENDING.iter().chain(&SENDING_IN_PLATFORM);
        names
            .filter(|name| !words(import, name).is_empty())
            .collect::<Vec<_>>()
    });
    // A sending function under another name would not be recognised.
    let count = imports.count();
    if count > 0 {
        found.push(("(outside)".to_owned(), count));
    }
    found
}

fn set<T: Ord>(items: impl IntoIterator<Item = T>) -> BTreeSet<T> {
    items.into_iter().collect()
}

/// Returns the methods of the traits in a source, with whether each takes a permit.
fn methods(text: &str) -> Vec<(String, bool)> {
    let mut found = Vec::new();
    for (name, body) in traits(text) {
        for method in functions(&body).0 {
            let takes = |kind| !words(&method.signature, kind).is_empty();
            let takes_fence = !words(&method.signature, "fence").is_empty();
            let is_permitted = (takes("Permit") || takes("PollPermit")) && !takes_fence;
            found.push((format!("{name}::{}", method.name), is_permitted));
        }
    }
    found
}

#[test]
fn external_methods_take_permits() {
    let mut found = methods(&read("components/node/src/external.rs"));
    found.extend(methods(&read("components/node/src/store.rs")));
    let of_kind = |kind| {
        let names = found
            .iter()
            .filter(move |(_, is_permitted)| *is_permitted == kind);
        set(names.map(|(name, _)| name.as_str()))
    };
    assert_eq!(of_kind(true), set(WITH_PERMIT));
    assert_eq!(of_kind(false), set(WITHOUT_PERMIT));
}

#[test]
fn senders_have_permits() {
    let sources = sources();
    let found = sources.iter().flat_map(|source| {
        let names = unpermitted(source).into_iter();
        names.map(|(name, count)| (source.file.clone(), name, count))
    });
    let known = OTHER_SENDERS.map(|(file, name, count)| (file.to_owned(), name.to_owned(), count));
    assert_eq!(set(found), set(known));
}

/// Nobody makes a permit or the confirmation that it relies on, or queues orders, in another place.
#[test]
fn permits_are_used_in_known_places() {
    let names = [
        "begin_tenure",
        "confirm_by_store",
        "confirm_by_workers",
        "fencing_token",
        "for_poll",
        "for_service",
        "for_worker",
        "lift_suspension",
        "order",
        "Command::Order",
        "Command::Starts",
        "Pass::Poll",
        "Permits::default",
    ];
    let mut found = BTreeSet::new();
    for source in sources() {
        if source.file == "node/permits.rs" {
            continue;
        }
        for function in functions(&source.text).0 {
            for name in names {
                let is_there = match name.split_once("::") {
                    Some((_, last)) => calls(&function.body, last)
                        .into_iter()
                        .any(|at| function.body[..at].ends_with(&name[..name.len() - last.len()])),
                    None => !calls(&function.body, name).is_empty(),
                };
                if is_there {
                    found.insert((name.to_owned(), source.file.clone(), function.name.clone()));
                }
            }
        }
    }
    let known = PERMIT_USERS
        .map(|(name, file, function)| (name.to_owned(), file.to_owned(), function.to_owned()));
    assert_eq!(found, set(known));
}

/// The fields of a permit are private and it cannot be copied, so that it is made by [`Permits`] only
/// and its fence is read through the check.
#[test]
fn permits_cannot_be_forged() {
    let text = read("components/node/src/permits.rs");
    for declaration in ["pub struct Permit {", "pub struct PollPermit("] {
        let (before, after) = text.split_once(declaration).unwrap();
        assert!(
            before.trim_end().ends_with("#[derive(Debug)]"),
            "{declaration}"
        );
        let fields = &after[..after.find(['}', ';']).unwrap()];
        assert!(words(fields, "pub").is_empty(), "{fields}");
    }
    for name in ["Permit", "PollPermit"] {
        for kind in ["Clone", "Copy", "Default", "Deserialize"] {
            assert!(!text.contains(&format!("impl {kind} for {name}")));
        }
    }
}

/// A new method of the client has to be added to the names that send if it does.
#[test]
fn client_methods_are_known() {
    let text = read("components/kernel/src/client.rs");
    let (_, client) = text.split_once("impl Client {").unwrap();
    let public = words(client, "pub").into_iter().filter_map(|at| {
        let (functions, _) = functions(&client[at..]);
        functions.into_iter().next().map(|function| function.name)
    });
    assert_eq!(set(public), set(CLIENT_METHODS.map(str::to_owned)));
}

/// Senders that someone may add, each of which has to be found.
#[test_case("fn f(&self) { http::send(&self.client, text, &url); }"; "call without permit")]
#[test_case("fn f(&self) { http::send::<()>(&self.client, text, &url); }"; "call with type")]
#[test_case("fn f(c: &Client) { c.post(&url, &body, TIMEOUT); }"; "method of renamed client")]
#[test_case("fn f(c: &Client) { let run = Client::post; run(c); }"; "method as value")]
#[test_case("fn f(s: &dyn Store) { s.apply(&change); }"; "write")]
#[test_case("fn f(p: &Permit) { http::send(&self.client, text, &url); }"; "permit without check")]
#[test_case("fn f(permit: &Permit) { http::send(&c, &body(permit)); }"; "permit passed to unchecked call")]
#[test_case("fn f(permit: &Permit) { permit.fence()?; g().await; http::send(&c, &url); }"; "check before a wait")]
#[test_case("fn f(permit: &Permit) { permit.fence()?; for o in orders { http::send(&c, o); } }"; "one check for many")]
#[test_case("use crate::http::{self, send as quiet}; fn f() { quiet(&c, &url); }"; "renamed import")]
#[test_case("fn f() { TcpStream::connect(address); }"; "connection of its own")]
fn unpermitted_finds_new_sender(text: &str) {
    let source = Source {
        file: "platform/new.rs".into(),
        text: strip(text),
    };
    assert_eq!(unpermitted(&source).len(), 1);
}

/// Senders with a permit that is checked in time.
#[test_case("fn f(permit: &Permit) { let n = permit.fence()?; http::send(&c, n); }"; "checked")]
#[test_case("async fn f(pass: Pass<'_>) { self.send(pass, worker).await }"; "passed on")]
#[test_case("// http::send(&c)\nfn f() { log(\"c.post(x)\"); }"; "comment and literal")]
fn unpermitted_accepts(text: &str) {
    let source = Source {
        file: "platform/new.rs".into(),
        text: strip(text),
    };
    assert_eq!(unpermitted(&source), Vec::<(String, usize)>::new());
}

/// A method that sends under a plain fence, or one without any, is not a permitted one.
#[test_case("pub trait T { fn f(&self, fence: u64); }", false; "plain fence")]
#[test_case("pub trait T { fn f(&self, order: &Order); }", false; "no fence")]
#[test_case("pub trait T { fn f(&self, permit: &Permit); }", true; "permit")]
fn methods_by_permit(text: &str, is_permitted: bool) {
    assert_eq!(methods(text), vec![("T::f".to_owned(), is_permitted)]);
}
