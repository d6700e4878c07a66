//! All boxes and all workers lose power at the same moment, and jobs are accepted while the cell
//! has no owner.

use {super::*, test_case::test_case};

const WORKERS: usize = 12;
/// Enough for the workers, but not for their former and their present incarnations.
const DIRECT_WORKERS: usize = 15;
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time until the platform removes the entry of a worker that sends no heartbeats.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for all accepted jobs to complete after the last fault. Leases of a former owner expire
/// within 4.9 s, and its key within 2 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// The workers after a loss of power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reborn {
    /// Other names at the same addresses.
    Renamed,
    /// Other names at other addresses.
    Replaced,
    /// The same names at the same addresses.
    Same,
    /// The same names at other addresses.
    Moved,
}

/// Boxes and workers of a cell.
struct Site {
    cluster: Cluster,
    boxes: Vec<Process>,
    jobs: Vec<String>,
    /// Number of losses of power.
    losses: usize,
}

impl Site {
    fn new() -> Self {
        let cluster = Cluster::with_workers(WORKERS, RUN_TIME);
        let boxes = cluster.boxes_with_relays(3, DIRECT_WORKERS);
        until("the cell has an owner", || cluster.owner().is_some());
        Site {
            cluster,
            boxes,
            jobs: Vec::new(),
            losses: 0,
        }
    }

    /// Submits jobs of two steps until all are accepted.
    fn submit(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.jobs.len();
            let path = format!("/q/{:016x}", number + 1);
            let port = self.boxes[number % self.boxes.len()].callers;
            until("a job is accepted", || {
                let response = send(port, "POST", &path, Some(&job(6)));
                response.is_some_and(|response| response.status == 200)
            });
            self.jobs.push(path);
        }
    }

    /// Kills all boxes and crashes all workers, and starts them again.
    fn lose_power(&mut self, reborn: Reborn) {
        for process in &self.boxes {
            process.signal("-KILL");
        }
        self.losses += 1;
        for number in 0..WORKERS {
            let former = self.cluster.runners[number].id();
            let id = match reborn {
                Reborn::Same | Reborn::Moved => former.clone(),
                Reborn::Renamed | Reborn::Replaced => format!("i-{number}-{}", self.losses),
            };
            if matches!(reborn, Reborn::Renamed | Reborn::Same) {
                self.cluster.runners[number].restart(&id);
            } else {
                self.replace(number, &id);
            }
            if id != former {
                let kv = self.cluster.kv.clone();
                thread::spawn(move || {
                    thread::sleep(ENTRY_TIMEOUT);
                    kv.remove(&format!("servers/{former}"));
                });
            }
        }
        for index in 0..self.boxes.len() {
            self.restart_box(index);
        }
    }

    /// Crashes a worker for good and opens another one at another address.
    fn replace(&mut self, number: usize, id: &str) {
        let former = &self.cluster.runners[number];
        former.restart_without_entry("i-gone");
        former.set_faults(standin::runner::Faults {
            reset: true,
            ..standin::runner::Faults::default()
        });
        let (kv, seen) = (&self.cluster.kv, &self.cluster.seen);
        self.cluster.runners[number] = Runner::open(kv, "pool", id, 4, RUN_TIME, seen).unwrap();
    }

    fn restart_box(&mut self, index: usize) {
        let name = self.boxes[index].name.clone();
        self.boxes[index] = Process::start(&name, &self.cluster.store, DIRECT_WORKERS);
    }

    /// Kills the box that claims the cell next as soon as it has done so, and starts it again.
    fn kill_next_owner(&mut self, head: &str) {
        until("the cell is claimed", || self.head() != head);
        let owner = self.cluster.owner().unwrap();
        let mut boxes = self.boxes.iter();
        let index = boxes.position(|process| process.name == owner).unwrap();
        self.restart_box(index);
    }

    /// Returns the value of the cell's head, which each claim replaces.
    fn head(&self) -> String {
        self.cluster.kv.value("magpie/head/0").unwrap_or_default()
    }

    /// Waits until all accepted jobs are completed, and checks that no task ran twice at once.
    fn check_jobs(&mut self) {
        let start = Instant::now();
        until("all boxes are ready", || {
            for process in &mut self.boxes {
                process.restart_if_exited();
            }
            self.boxes.iter().all(Process::is_ready)
        });
        let port = self.boxes[0].callers;
        for path in &self.jobs {
            until("a job is completed", || state(port, path) == "completed");
        }
        let took = start.elapsed();
        assert!(took < RECOVERY_TIMEOUT, "{took:?}");
        let twice = &lock(&self.cluster.seen).ran_twice;
        assert!(twice.is_empty(), "run concurrently: {twice:?}");
    }
}

/// The jobs are lost power under in their first steps, in their second ones and right after their
/// acceptance.
#[test_case(Reborn::Renamed; "other names")]
#[test_case(Reborn::Replaced; "other names and addresses")]
#[test_case(Reborn::Same; "same names")]
#[test_case(Reborn::Moved; "same names at other addresses")]
fn accepted_jobs_complete_after_power_loss(reborn: Reborn) {
    let mut site = Site::new();
    site.submit(3);
    thread::sleep(RUN_TIME);
    site.submit(3);
    site.lose_power(reborn);
    site.check_jobs();
}

#[test_case(Reborn::Replaced, 1; "other names and one more owner")]
#[test_case(Reborn::Replaced, 3; "other names and three more owners")]
#[test_case(Reborn::Moved, 2; "same names and two more owners")]
fn accepted_jobs_complete_after_power_loss_and_killed_owners(reborn: Reborn, kills: usize) {
    let mut site = Site::new();
    site.submit(6);
    let mut head = site.head();
    site.lose_power(reborn);
    for _ in 0..kills {
        site.kill_next_owner(&head);
        head = site.head();
    }
    site.check_jobs();
}

/// Three incarnations of each worker are known to the last owner.
#[test]
fn accepted_jobs_complete_after_two_power_losses() {
    let mut site = Site::new();
    site.submit(4);
    let head = site.head();
    site.lose_power(Reborn::Replaced);
    until("the cell is claimed", || site.head() != head);
    until("all boxes are ready", || {
        for process in &mut site.boxes {
            process.restart_if_exited();
        }
        site.boxes.iter().all(Process::is_ready)
    });
    site.submit(4);
    site.lose_power(Reborn::Replaced);
    site.check_jobs();
}

/// Writes that the store has answered, has carried out without an answer, or carries out after the
/// next owner has read the intake.
#[test]
fn jobs_accepted_during_claim_complete() {
    let mut site = Site::new();
    let owner = site.cluster.owner().unwrap();
    let mut boxes = site.boxes.iter();
    let index = boxes.position(|process| process.name == owner).unwrap();
    let head = site.head();
    site.boxes.remove(index);
    let port = site.boxes[0].callers;
    // An acceptance is tried twice before its caller is answered.
    site.cluster.kv.set_faults(Faults {
        deferred: 2,
        ..Faults::default()
    });
    let late = "/q/00000000000000f1";
    let response = send(port, "POST", late, Some(&job(6)));
    assert!(response.is_none_or(|response| response.status != 200));
    let lost = "/q/00000000000000f2";
    until("the store answers the box again", || {
        site.cluster.kv.set_faults(Faults {
            lost: 1,
            ..Faults::default()
        });
        let response = send(port, "POST", lost, Some(&job(6)));
        response.is_some_and(|response| response.status == 200)
    });
    site.cluster.kv.set_faults(Faults::default());
    until("jobs are accepted until the cell is claimed", || {
        site.submit(1);
        site.head() != head
    });
    site.submit(5);
    assert_eq!(site.cluster.kv.apply_deferred(), 1);
    site.jobs.extend([late.to_owned(), lost.to_owned()]);
    site.check_jobs();
}
