//! What logs tell of runs: a failure at once, runs that are done together.

use {
    crate::common::{JOB, World, end, ordered, step},
    log::{LevelFilter, Log, Metadata, Record, kv::Key},
    magpie_cell::{EndCause, Order, Outcome, RunEnd},
    std::{cell::RefCell, mem},
    test_case::test_case,
};

thread_local! {
    /// The lines of the test on this thread.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps lines for the test that causes them.
struct Keeper;

impl Log for Keeper {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let value = |key: &str| {
            let value = record.key_values().get(Key::from_str(key));
            value.map_or(String::new(), |value| format!(" {value}"))
        };
        let keys = [
            "count", "job", "place", "worker", "run", "how", "runs", "tasks",
        ];
        let values = keys.map(value).concat();
        LINES.with_borrow_mut(|lines| lines.push(format!("{}{values}", record.args())));
    }

    fn flush(&self) {}
}

/// The lines with this message since the last call.
fn lines(message: &str) -> Vec<String> {
    let mut lines = LINES.with_borrow_mut(mem::take);
    lines.retain(|line| line.starts_with(message));
    lines
}

/// A world with one running job of so many tasks on one worker, whose lines are kept.
fn world(tasks: u32) -> World {
    // Another test may have set it.
    let _ = log::set_logger(&Keeper);
    log::set_max_level(LevelFilter::Info);
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(tasks, 10)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

/// The end of the first run of a task.
fn end_of(index: u32, how: EndCause) -> RunEnd {
    let mut end = end(u64::from(index) + 1, JOB, 0, 1, how);
    end.address.index = index;
    end
}

#[test]
fn done_told_together_with_ages() {
    let mut world = world(3);
    world.now += 1_000;
    world.report(
        "w1",
        vec![],
        vec![end_of(0, EndCause::Done), end_of(1, EndCause::Done)],
    );
    world.now += 40;
    world.report("w1", vec![], vec![end_of(2, EndCause::Done)]);
    assert!(lines("Runs are done.").is_empty());
    world.now += 7;
    world.cell.log_done(world.now);
    let told = format!("Runs are done. 3 {JOB}/0.1@w1:47 {JOB}/1.1@w1:47 {JOB}/2.1@w1:7");
    assert_eq!(lines("Runs are done."), [told]);
    world.cell.log_done(world.now);
    assert!(lines("Runs are done.").is_empty());
}

#[test_case(EndCause::Failed)]
#[test_case(EndCause::Stopped)]
#[test_case(EndCause::Lapsed)]
fn other_end_told_at_once(how: EndCause) {
    let mut world = world(2);
    world.report("w1", vec![], vec![end_of(1, how)]);
    let told = format!("A run has ended. {JOB} 1 w1 1 {how:?}");
    assert_eq!(lines("A run has ended."), [told]);
}

/// A line that is too long for one write may come in pieces.
#[test]
fn done_of_one_report_bounded_lines() {
    let mut world = world(150);
    let placed = lines("Tasks are placed.");
    let ends = (0..150)
        .map(|index| end_of(index, EndCause::Done))
        .collect();
    world.report("w1", vec![], ends);
    world.cell.log_done(world.now);
    let done = lines("Runs are done.");
    for lines in [&placed, &done] {
        assert_eq!(lines.len(), 2);
        assert!(lines.iter().all(|line| line.len() < 4_000));
        let told: usize = lines.iter().map(|line| line.matches("@w1").count()).sum();
        assert_eq!(told, 150);
    }
}

/// The specification of a job may be long, and a ticket is for the worker alone.
#[test]
fn order_start_text() {
    let (_, _, mut start) = ordered(&["w1"], step(1, 10));
    start.ticket = Some("secret".into());
    start.deadline = 4_820_132;
    let order = Order::Start(start);
    assert_eq!(order.to_string(), format!("start {JOB}/0.1 by 4820132"));
}

#[test]
fn order_stop_and_pace_text() {
    let (_, _, start) = ordered(&["w1"], step(1, 10));
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
