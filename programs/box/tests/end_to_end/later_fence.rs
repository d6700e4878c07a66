//! Jobs that name a later fence than that of the owner, which holds them back.

use {super::*, job::Submission, kernel::wire, standin::kv::encode_bytes, test_case::test_case};

/// Time for a job that is held back to complete once the store answers.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a copy of a stored job under another id that names a fence which no owner has.
fn store_with_later_fence(cluster: &Cluster, template: &[u8], id: &str) {
    let mut submission: Submission = wire::decode(template).unwrap();
    submission.id = Id::new(id).unwrap();
    submission.fence = cluster.revision() + 1;
    for number in 0..3 {
        cluster.kv.put(&format!("op/other/{number}"), "");
    }
    let value = encode_bytes(&wire::encode(&submission).unwrap());
    cluster.kv.put(&format!("magpie/in/job/{id}"), &value);
}

/// Submits a job and returns its entry.
fn stored_job(cluster: &Cluster, process: &Process) -> Vec<u8> {
    let id = "00000000000000a1";
    let path = format!("/q/{id}");
    until("a job is accepted", || {
        let response = send(process.callers, "POST", &path, Some(&job(2)));
        response.is_some_and(|response| response.status == 200)
    });
    decode(&cluster.kv.value(&format!("magpie/in/job/{id}")).unwrap())
}

fn set_store_busy(cluster: &Cluster, busy: bool) {
    cluster.kv.set_faults(Faults {
        busy,
        ..Faults::default()
    });
}

/// Waits until a job is completed, no later than [`RELEASE_TIMEOUT`] from now.
fn check_completed(process: &Process, id: &str) {
    let start = Instant::now();
    let path = format!("/q/{id}");
    until("the job is completed", || {
        state(process.callers, &path) == "completed"
    });
    let took = start.elapsed();
    assert!(took < RELEASE_TIMEOUT, "{took:?}");
}

/// The first owner holds a job back while the store is away; it may be killed meanwhile. The last
/// owner holds another one back.
#[test_case(false; "same owner")]
#[test_case(true; "killed owner")]
fn job_with_later_fence_completes_after_store_outage(kills: bool) {
    let cluster = Cluster::new(Duration::from_secs(1));
    let mut boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let template = stored_job(&cluster, &boxes[0]);
    check_completed(&boxes[0], "00000000000000a1");
    store_with_later_fence(&cluster, &template, "00000000000000a2");
    set_store_busy(&cluster, true);
    until("no box is ready", || !boxes.iter().any(Process::is_ready));
    if kills {
        let owner = cluster.owner().unwrap();
        boxes.remove(usize::from(owner != "b0"));
    }
    thread::sleep(Duration::from_secs(1));
    set_store_busy(&cluster, false);
    check_completed(&boxes[0], "00000000000000a2");
    store_with_later_fence(&cluster, &template, "00000000000000a3");
    set_store_busy(&cluster, true);
    thread::sleep(Duration::from_secs(1));
    set_store_busy(&cluster, false);
    check_completed(&boxes[0], "00000000000000a3");
    let twice = &lock(&cluster.seen).ran_twice;
    assert!(twice.is_empty(), "run concurrently: {twice:?}");
}
