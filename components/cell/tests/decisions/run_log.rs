//! Log lines about runs: failures are logged at once, successful ends in batches.

use {
    crate::common::{JOB, World, end, step, with_ordered_start},
    log::{LevelFilter, Log, Metadata, Record, kv::Key},
    magpie_cell::{EndCause, Order, Outcome, RunEnd},
    std::{cell::RefCell, mem},
    test_case::test_case,
};

thread_local! {
    /// Log lines of the test on this thread.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Logger that keeps the lines of each test.
struct TestLogger;

impl Log for TestLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let value = |key: &str| {
            let value = record.key_values().get(Key::from_str(key));
            value.map_or(String::new(), |value| format!(" {value}"))
        };
        let keys = [
            "count",
            "job",
            "place",
            "worker",
            "run",
            "how",
            "runs",
            "tasks",
            "since",
            "starts",
            "sent",
            "unanswered",
        ];
        let values = keys.map(value).concat();
        LINES.with_borrow_mut(|lines| lines.push(format!("{}{values}", record.args())));
    }

    fn flush(&self) {}
}

/// Records the log lines of the test on this thread.
pub fn record_log() {
    // Another test may have set the logger.
    let _ = log::set_logger(&TestLogger);
    log::set_max_level(LevelFilter::Info);
}

/// Lines with this message since the last call.
pub fn lines(message: &str) -> Vec<String> {
    let mut lines = LINES.with_borrow_mut(mem::take);
    lines.retain(|line| line.starts_with(message));
    lines
}

/// Creates a world with one job of `tasks` running tasks on one worker, and records its log.
fn world_with_log(tasks: u32) -> World {
    record_log();
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(tasks, 10)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

/// The end of the first run of a task.
fn task_end(index: u32, how: EndCause) -> RunEnd {
    let mut end = end(u64::from(index) + 1, JOB, 0, 1, how);
    end.address.index = index;
    end
}

#[test]
fn successful_ends_are_batched_with_ages() {
    let mut world = world_with_log(3);
    world.now += 1_000;
    world.report(
        "w1",
        vec![],
        vec![task_end(0, EndCause::Done), task_end(1, EndCause::Done)],
    );
    world.now += 40;
    world.report("w1", vec![], vec![task_end(2, EndCause::Done)]);
    assert!(lines("Runs are done.").is_empty());
    world.now += 7;
    world.cell.log_done(world.now);
    let expected = format!("Runs are done. 3 {JOB}/0.1@w1:47 {JOB}/1.1@w1:47 {JOB}/2.1@w1:7");
    assert_eq!(lines("Runs are done."), [expected]);
    world.cell.log_done(world.now);
    assert!(lines("Runs are done.").is_empty());
}

#[test_case(EndCause::Failed)]
#[test_case(EndCause::Stopped)]
#[test_case(EndCause::Lapsed)]
fn unsuccessful_end_is_logged_at_once(how: EndCause) {
    let mut world = world_with_log(2);
    world.report("w1", vec![], vec![task_end(1, how)]);
    let expected = format!("A run has ended. {JOB} 1 w1 1 {how:?}");
    assert_eq!(lines("A run has ended."), [expected]);
}

/// A line that exceeds one atomic write could be split.
#[test]
fn batched_lines_are_bounded() {
    let mut world = world_with_log(150);
    let placed = lines("Tasks are placed.");
    let ends = (0..150)
        .map(|index| task_end(index, EndCause::Done))
        .collect();
    world.report("w1", vec![], ends);
    world.cell.log_done(world.now);
    let done = lines("Runs are done.");
    for lines in [&placed, &done] {
        assert_eq!(lines.len(), 2);
        assert!(lines.iter().all(|line| line.len() < 4_000));
        let expected: usize = lines.iter().map(|line| line.matches("@w1").count()).sum();
        assert_eq!(expected, 150);
    }
}

/// The text leaves out the job's specification, which may be long, and the ticket, which is secret.
#[test]
fn order_start_text() {
    let (_, _, mut start) = with_ordered_start(&["w1"], step(1, 10));
    start.ticket = Some("secret".into());
    start.deadline = 4_820_132;
    let order = Order::Start(start);
    assert_eq!(order.to_string(), format!("start {JOB}/0.1 by 4820132"));
}

#[test]
fn order_stop_and_pace_text() {
    let (_, _, start) = with_ordered_start(&["w1"], step(1, 10));
    let (key, address, run) = (start.key, start.address, start.run);
    let stop = Order::Stop {
        key: key.clone(),
        address,
        run,
    };
    assert_eq!(stop.to_string(), format!("stop {JOB}/0.1"));
    let pace = Order::Pace {
        key,
        address,
        run,
        percent: 30,
    };
    assert_eq!(pace.to_string(), format!("pace {JOB}/0.1 at 30%"));
}
