//! Test helpers: a cell with workers and jobs on a clock that the test sets.

use {
    job::{Address, Id, Queue, Record, Spec, State, Step, Submission, spec::Size},
    magpie_cell::{Cell, EndCause, Entry, Order, Outcome, Report, Run, RunEnd, Start, Timing},
    std::sync::Arc,
};

pub const TIMING: Timing = Timing {
    lease: 6_000,
    stop: 900,
    pace: 100,
};

/// Id of the job that most tests submit.
pub const JOB: &str = "00000000000000a1";

pub fn entry(id: &str, cores: u64) -> Entry {
    Entry {
        id: id.into(),
        name: id.into(),
        started: None,
        generation: 0,
        pool: "pool".into(),
        address: format!("10.0.0.1:{id}").into(),
        hall: "h1".into(),
        size: Size {
            cpu: cores * 1_000,
            memory: cores * 4_000,
            gpus: 0,
        },
        labels: vec!["a".into(), "r1".into()],
        leaving: false,
        remaining: None,
    }
}

pub fn step(count: u32, cpu: u64) -> Step {
    Step {
        count,
        size: Size {
            cpu,
            memory: 100,
            gpus: 0,
        },
        estimate: 1_000,
        ..Step::default()
    }
}

pub fn submission(id: &str, steps: Vec<Step>) -> Submission {
    Submission {
        id: Id::new(id).unwrap(),
        spec: Spec {
            text: "text".into(),
            steps,
            timetable: None,
        },
        queue: Queue {
            name: "queue".into(),
            host: "h".into(),
            prefix: "/".into(),
            pool: "pool".into(),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            target: 100,
            advised: false,
        },
        accepted: 1,
        fence: 0,
    }
}

/// A cell and its clock, driven as by its owner.
pub struct World {
    pub cell: Cell,
    pub now: u64,
}

impl World {
    /// Creates a cell whose workers have 4 cores each and have reported.
    pub fn new(workers: &[&str]) -> Self {
        let mut world = World::without_reports(workers);
        for worker in workers {
            world.report(worker, vec![], vec![]);
        }
        world
    }

    /// Creates a cell whose workers have not reported yet.
    pub fn without_reports(workers: &[&str]) -> Self {
        let mut cell = Cell::new(TIMING);
        let entries: Vec<Entry> = workers.iter().map(|id| entry(id, 4)).collect();
        cell.handle_listing(entries, 1_000);
        let mut world = World { cell, now: 1_000 };
        world.persist();
        world
    }

    /// Passes a listing of workers to the cell and persists the change. Returns the new workers.
    pub fn list(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let added = self.cell.handle_listing(entries, self.now);
        self.persist();
        added
    }

    pub fn submit(&mut self, id: &str, steps: Vec<Step>) {
        assert!(self.cell.admit(submission(id, steps), 1));
    }

    /// Resumes a job that a previous owner had started.
    pub fn resume(&mut self, id: &str, steps: Vec<Step>) {
        let record = Record {
            state: State::Running,
            run: 1,
            ..Record::default()
        };
        self.cell.resume(submission(id, steps), &record, 1);
    }

    /// Passes a report to the cell whose poll was sent at the current time.
    pub fn report(&mut self, worker: &str, running: Vec<Run>, ended: Vec<RunEnd>) {
        let report = Report {
            clock: self.now + 50_000,
            running,
            ended,
        };
        let id: Arc<str> = worker.into();
        self.cell.report(&id, report, self.now, self.now, 1);
        self.cell.next_poll(worker, self.now);
    }

    /// Runs a placement pass. Returns the ordered starts, by worker.
    pub fn starts(&mut self) -> Vec<(Arc<str>, Start)> {
        self.cell.place(self.now);
        let mut starts = Vec::new();
        for (worker, order) in self.cell.take_orders() {
            if let Order::Start(start) = order {
                starts.push((worker, start));
            }
        }
        starts
    }

    /// Takes all orders. Returns the runs that were ordered to stop, by worker.
    pub fn stops(&mut self) -> Vec<(Arc<str>, u64)> {
        let mut stops = Vec::new();
        for (worker, order) in self.cell.take_orders() {
            if let Order::Stop { run, .. } = order {
                stops.push((worker, run));
            }
        }
        stops
    }

    pub fn answer(&mut self, worker: &Arc<str>, start: &Start, outcome: Outcome) {
        let order = Order::Start(start.clone());
        self.cell.handle_outcome(worker, &order, outcome, self.now);
    }

    /// Persists the pending changes.
    pub fn persist(&mut self) {
        let change = self.cell.take_write_batch(100);
        self.cell.batch_written(&change);
    }
}

/// Creates a cell with `count` workers that have reported.
pub fn large_cell(count: usize) -> World {
    let names: Vec<String> = (0..count).map(|number| format!("w{number:05}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    World::new(&names)
}

/// State of the job [`JOB`].
pub fn state(world: &World) -> Option<State> {
    world.cell.state(&Id::new(JOB).unwrap())
}

/// Creates a world whose first start is ordered and not answered. Returns its worker and the start.
pub fn with_ordered_start(workers: &[&str], step: Step) -> (World, Arc<str>, Start) {
    let mut world = World::new(workers);
    world.submit(JOB, vec![step]);
    let (worker, start) = world.starts()[0].clone();
    (world, worker, start)
}

/// Creates a world whose first start is confirmed. Returns its worker and the start.
pub fn with_running_task(workers: &[&str], step: Step) -> (World, Arc<str>, Start) {
    let (mut world, worker, start) = with_ordered_start(workers, step);
    world.answer(&worker, &start, Outcome::Done);
    (world, worker, start)
}

/// The other of the workers `w1` and `w2`.
pub fn other_worker(worker: &str) -> &'static str {
    if worker == "w1" { "w2" } else { "w1" }
}

pub fn run(job: &str, index: u32, number: u64) -> Run {
    Run {
        job: Id::new(job).unwrap(),
        address: Address {
            time: 0,
            step: 0,
            index,
        },
        run: number,
        saved: None,
        figure: 0,
        ready: true,
    }
}

pub fn end(number: u64, job: &str, step: u16, run: u64, how: EndCause) -> RunEnd {
    RunEnd {
        number,
        job: Id::new(job).unwrap(),
        address: Address {
            time: 0,
            step,
            index: 0,
        },
        run,
        how,
        saved: None,
    }
}

/// Builds a report from runs, given by task and run number, and ends.
pub fn build_report<'a>(
    clock: u64,
    runs: impl Iterator<Item = (&'a (Id, Address), u64)>,
    ended: &[RunEnd],
) -> Report {
    let running = runs.map(|((job, address), run)| Run {
        job: job.clone(),
        address: *address,
        run,
        saved: None,
        figure: 0,
        ready: true,
    });
    Report {
        clock,
        running: running.collect(),
        ended: ended.to_vec(),
    }
}

/// The end of a run, numbered by its worker.
pub fn task_end(number: u64, (job, address): (Id, Address), run: u64, how: EndCause) -> RunEnd {
    RunEnd {
        number,
        job,
        address,
        run,
        how,
        saved: None,
    }
}
