//! Jobs that are accepted while the owner's watch of the store delivers nothing, or that it skips.

use super::*;

/// Longer than one watch of the intake, which ends without an event.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for a job to complete once watches deliver events again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a job until it is accepted.
fn submit(port: u16, path: &str) {
    until("a job is accepted", || {
        let response = send(port, "POST", path, Some(&job(4)));
        response.is_some_and(|response| response.status == 200)
    });
}

/// Checks that a job completes within [`RECOVERY_TIMEOUT`].
fn check_completes(port: u16, path: &str) {
    let start = Instant::now();
    while state(port, path) != "completed" {
        let waited = start.elapsed();
        assert!(waited < RECOVERY_TIMEOUT, "{}", state(port, path));
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Guards against an owner that never learns of a job whose event its watch has skipped, since the
/// watch has delivered a later one.
#[test]
fn job_skipped_by_watch_completes() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    cluster.run_jobs(&boxes, 1..2);
    let (skipped, delivered) = ("/q/00000000000000a1", "/q/00000000000000a2");
    let port = cluster.idle(&boxes).callers;
    cluster.kv.skip_next("magpie/in/job/");
    submit(port, skipped);
    submit(port, delivered);
    check_completes(port, delivered);
    check_completes(port, skipped);
}

/// Guards against an owner that continues its watch from the revision which an empty answer names,
/// and so never learns of a job that another box has accepted meanwhile.
#[test]
fn job_accepted_during_silent_watch_completes() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    cluster.run_jobs(&boxes, 1..2);
    cluster.kv.set_faults(Faults {
        watches_silent: true,
        ..Faults::default()
    });
    let (path, port) = ("/q/00000000000000a1", cluster.idle(&boxes).callers);
    submit(port, path);
    thread::sleep(SILENCE);
    cluster.kv.set_faults(Faults::default());
    check_completes(port, path);
}
