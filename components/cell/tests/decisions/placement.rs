//! Placement: which worker a task is started on, and when.

use {
    crate::common::{JOB, World, end, entry, large_cell, run, step, submission},
    job::{Id, Step, spec::Timetable},
    magpie_cell::{EndCause, Order, Outcome, Report, RunEnd, Start},
    std::{collections::HashSet, sync::Arc},
};

fn place(world: &mut World) -> Vec<Arc<str>> {
    world
        .starts()
        .into_iter()
        .map(|(worker, _)| worker)
        .collect()
}

#[test]
fn capacity_is_never_exceeded() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(20, 1_500)]);
    assert_eq!(place(&mut world).len(), 4);
}

#[test]
fn spread_limits_tasks_per_worker() {
    let mut world = World::new(&["w1", "w2"]);
    let mut apart = step(5, 100);
    apart.spread = 2;
    world.submit(JOB, vec![apart]);
    let placed = place(&mut world);
    assert_eq!(placed.len(), 4);
    assert_eq!(placed.iter().filter(|worker| &***worker == "w1").count(), 2);
}

#[test]
fn missing_label_prevents_start() {
    let mut world = World::new(&["w1"]);
    let mut labelled = step(1, 100);
    labelled.label = Some("b".into());
    world.submit(JOB, vec![labelled]);
    assert!(place(&mut world).is_empty());
}

#[test]
fn other_pool_gets_nothing() {
    let mut world = World::new(&["w1"]);
    let mut other = submission(JOB, vec![step(1, 100)]);
    other.queue.pool = "another".into();
    world.cell.admit(other, 1);
    assert!(place(&mut world).is_empty());
}

#[test]
fn data_rack_is_preferred() {
    let mut world = World::new(&["w1", "w2"]);
    let mut near = entry("w3", 4);
    near.labels = vec!["a".into(), "r7".into()];
    world.list(vec![entry("w1", 4), entry("w2", 4), near]);
    world.report("w3", vec![], vec![]);
    let mut data_bound = step(2, 1_000);
    data_bound.rack = Some("r7".into());
    world.submit(JOB, vec![data_bound]);
    assert_eq!(place(&mut world), ["w3".into(), "w3".into()]);
}

#[test]
fn leaving_worker_gets_nothing() {
    let mut world = World::new(&["w1"]);
    let mut leaving = entry("w1", 4);
    leaving.leaving = true;
    world.cell.handle_listing(vec![leaving], world.now);
    world.submit(JOB, vec![step(1, 100)]);
    assert!(place(&mut world).is_empty());
}

#[test]
fn unfenced_worker_gets_nothing() {
    let mut world = World::without_reports(&["w1"]);
    world.submit(JOB, vec![step(1, 100)]);
    assert!(place(&mut world).is_empty());
}

#[test]
fn failing_worker_is_quarantined() {
    let mut world = World::new(&["w1"]);
    let other = "00000000000000b2";
    world.submit(JOB, vec![step(1, 1_000)]);
    world.submit(other, vec![step(1, 1_000)]);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    let ends = vec![
        end(1, JOB, 0, 1, EndCause::Failed),
        end(2, other, 0, 1, EndCause::Failed),
    ];
    world.report("w1", vec![], ends);
    assert!(place(&mut world).is_empty());
    world.now += 3_000;
    world.report("w1", vec![], vec![]);
    assert_eq!(place(&mut world).len(), 1);
}

#[test]
fn urgent_job_goes_first() {
    let mut world = World::new(&["w1"]);
    let mut batch = submission(JOB, vec![step(1, 4_000)]);
    batch.queue.priority = 2;
    world.cell.admit(batch, 1);
    world.submit("00000000000000b2", vec![step(1, 4_000)]);
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.key.job.as_str(), "00000000000000b2");
}

#[test]
fn timetable_starts_when_due() {
    let mut world = World::new(&["w1"]);
    let mut timed = submission(JOB, vec![step(1, 100)]);
    timed.spec.timetable = Some(Timetable {
        times: 2,
        first: 1_000,
        interval: 500,
    });
    world.cell.admit(timed, 999);
    assert!(place(&mut world).is_empty());
    assert_eq!(world.cell.queued_jobs("queue"), 0);
    world.cell.activate_due_steps(1_000);
    assert_eq!(place(&mut world).len(), 1);
    world.cell.activate_due_steps(1_499);
    assert!(place(&mut world).is_empty());
    world.cell.activate_due_steps(1_500);
    assert_eq!(place(&mut world).len(), 1);
}

#[test]
fn gang_starts_as_a_whole() {
    let mut world = World::new(&["w1", "w2"]);
    let mut gang = step(6, 1_500);
    gang.gang = true;
    world.submit(JOB, vec![gang.clone()]);
    assert!(place(&mut world).is_empty());
    let other = entry("w3", 4);
    world.list(vec![entry("w1", 4), entry("w2", 4), other]);
    world.report("w3", vec![], vec![]);
    let starts = world.starts();
    assert_eq!(starts.len(), 6);
    let runs: HashSet<u64> = starts.iter().map(|(_, start)| start.run).collect();
    assert_eq!(runs.len(), 1);
    let (worker, start) = starts[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let mut done = end(1, JOB, 0, start.run, EndCause::Done);
    done.address = start.address;
    world.report(&worker, vec![], vec![done]);
    world.persist();
    let state = world.cell.state(&Id::new(JOB).unwrap());
    assert_eq!(state, Some(job::State::Completed));
}

#[test]
fn best_effort_tasks_reserve_no_processors() {
    let mut world = World::new(&["w1"]);
    let mut serving = step(2, 2_000);
    serving.lasting = true;
    serving.target = 50;
    serving.image = Some("s".into());
    world.submit(JOB, vec![serving]);
    assert_eq!(place(&mut world).len(), 2);
    let mut best_effort = step(4, 500);
    best_effort.fills = true;
    best_effort.image = Some("f".into());
    world.submit("00000000000000b2", vec![best_effort]);
    let placed = place(&mut world).len();
    assert!((1..4).contains(&placed), "{placed} were placed");
}

#[test]
fn long_running_task_restarts_after_any_end() {
    let mut world = World::new(&["w1"]);
    let mut long_running = step(1, 1_000);
    long_running.lasting = true;
    world.submit(JOB, vec![long_running]);
    for number in 1..=6 {
        let starts = world.starts();
        assert_eq!(starts.len(), 1);
        world.answer(&starts[0].0, &starts[0].1, Outcome::Done);
        let how = if number % 2 == 0 {
            EndCause::Done
        } else {
            EndCause::Failed
        };
        let ended = end(number, JOB, 0, starts[0].1.run, how);
        world.report("w1", vec![], vec![ended]);
        world.now += 10;
    }
}

/// Creates a worker with a best-effort task beside a serving task.
fn world_with_best_effort_task() -> World {
    let mut world = World::new(&["w1"]);
    let mut serving = step(1, 1_000);
    serving.lasting = true;
    serving.target = 50;
    serving.image = Some("s".into());
    let mut best_effort = step(1, 500);
    best_effort.fills = true;
    best_effort.image = Some("f".into());
    world.submit(JOB, vec![serving]);
    world.submit("00000000000000b2", vec![best_effort]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

fn ordered_paces(world: &mut World) -> Vec<u8> {
    let mut percents = Vec::new();
    for (_, order) in world.cell.take_orders() {
        if let magpie_cell::Order::Pace { percent, .. } = order {
            percents.push(percent);
        }
    }
    percents
}

fn report_tail(world: &mut World, tail: u64) {
    let (mut serving, best_effort) = (run(JOB, 0, 1), run("00000000000000b2", 0, 1));
    serving.figure = tail;
    let report = Report {
        clock: world.now + 50_000,
        running: vec![serving, best_effort],
        ended: vec![],
    };
    world
        .cell
        .report(&"w1".into(), report, world.now, world.now, 1);
}

#[test]
fn pace_pauses_interfering_task_at_once() {
    let mut world = world_with_best_effort_task();
    world.now += 500;
    report_tail(&mut world, 60);
    assert_eq!(ordered_paces(&mut world), [0]);
}

/// Best-effort tasks that were paused because a serving task exceeded its target for a second
/// resume in steps.
#[test]
fn pace_rises_in_steps() {
    let mut world = world_with_best_effort_task();
    for _ in 0..4 {
        world.now += 500;
        report_tail(&mut world, 60);
    }
    assert_eq!(ordered_paces(&mut world), [0]);
    world.now += 300;
    report_tail(&mut world, 10);
    assert_eq!(ordered_paces(&mut world), [20]);
    world.now += 300;
    report_tail(&mut world, 10);
    assert!(ordered_paces(&mut world).is_empty());
    world.now += 400;
    report_tail(&mut world, 10);
    assert_eq!(ordered_paces(&mut world), [40]);
}

/// Whatever the model predicts, best-effort tasks are paused when the serving task stays over its
/// target; it may miss the target for 4 s.
#[test]
fn pace_pauses_all_after_a_second() {
    let mut world = world_with_best_effort_task();
    let mut stopped = None;
    for _ in 0..4 {
        world.now += 500;
        report_tail(&mut world, 52);
        if ordered_paces(&mut world).contains(&0) {
            stopped.get_or_insert(world.now);
        }
    }
    assert!(stopped.is_some_and(|at| at <= 1_500 + 1_000));
}

/// Figures are noisy: a single one near the target is ignored while the job's other figures are
/// low.
#[test]
fn pace_ignores_single_figure_near_target() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(&names);
    let mut serving = step(6, 1_000);
    serving.lasting = true;
    serving.spread = 1;
    serving.target = 50;
    serving.image = Some("s".into());
    let mut best_effort = step(1, 1_500);
    best_effort.fills = true;
    best_effort.image = Some("f".into());
    world.submit(JOB, vec![serving]);
    world.submit("00000000000000b2", vec![best_effort]);
    let mut placed = Vec::new();
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
        placed.push((worker, start));
    }
    let is_best_effort = |(_, start): &&(Arc<str>, Start)| start.key.job.as_str() != JOB;
    let shared_worker = placed.iter().find(is_best_effort).unwrap().0.clone();
    for round in 0..8 {
        world.now += 500;
        for name in names {
            let mut running = Vec::new();
            for (worker, start) in placed.iter().filter(|(worker, _)| &**worker == name) {
                let mut run = run(start.key.job.as_str(), start.address.index, 1);
                let is_shared = *worker == shared_worker;
                run.figure = if start.key.job.as_str() != JOB {
                    1_500
                } else if is_shared && round == 6 {
                    46
                } else if is_shared {
                    25
                } else {
                    15
                };
                running.push(run);
            }
            world.report(name, running, vec![]);
        }
    }
    let all = ordered_paces(&mut world);
    assert!(!all.contains(&0), "{all:?}");
}

/// Creates a world whose only worker has failed its two tasks. Returns the ends, which are not
/// reported yet.
fn world_with_failures() -> (World, Vec<RunEnd>) {
    let mut world = World::new(&["w1"]);
    let other = "00000000000000b2";
    world.submit(JOB, vec![step(1, 1_000)]);
    world.submit(other, vec![step(1, 1_000)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    let ends = vec![
        end(1, JOB, 0, 1, EndCause::Failed),
        end(2, other, 0, 1, EndCause::Failed),
    ];
    (world, ends)
}

/// Creates a worker 3 s after it was quarantined, which may be probed; both jobs are cancelled.
fn quarantined_world() -> World {
    let (mut world, ends) = world_with_failures();
    for id in [JOB, "00000000000000b2"] {
        let id = Id::new(id).unwrap();
        world.cell.cancel(&id, world.now, 1);
    }
    world.report("w1", vec![], ends);
    world.now += 3_000;
    world
}

/// Guards against both attempts of a task being spent on the same faulty worker.
#[test]
fn failed_task_restarts_elsewhere() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let failed = end(1, JOB, 0, start.run, EndCause::Failed);
    world.report(&worker, vec![], vec![failed]);
    let restarts = world.starts();
    assert_eq!(restarts.len(), 1);
    assert_ne!(restarts[0].0, worker);
}

#[test]
fn quarantined_worker_gets_one_probe() {
    let (mut world, ends) = world_with_failures();
    world.report("w1", vec![], ends);
    world.now += 3_000;
    world.submit("00000000000000c3", vec![step(3, 1_000)]);
    world.report("w1", vec![], vec![]);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    world.answer(&probe[0].0, &probe[0].1, Outcome::Done);
    let mut done = end(3, "00000000000000c3", 0, 1, EndCause::Done);
    done.address = probe[0].1.address;
    world.report("w1", vec![], vec![done]);
    assert!(world.starts().len() >= 2);
}

/// Guards against a quarantine that never ends: the probe was a long-running task, and only its end
/// would have cleared the worker.
#[test]
fn long_running_probe_ends_quarantine() {
    let mut world = quarantined_world();
    let long_running = "00000000000000c3";
    let probe_step = Step {
        lasting: true,
        ..step(3, 1_000)
    };
    world.submit(long_running, vec![probe_step]);
    world.report("w1", vec![], vec![]);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    world.answer(&probe[0].0, &probe[0].1, Outcome::Done);
    let probed = || {
        let mut reported = run(long_running, 0, 1);
        reported.address = probe[0].1.address;
        vec![reported]
    };
    world.now += 2_900;
    world.report("w1", probed(), vec![]);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.report("w1", probed(), vec![]);
    assert_eq!(world.starts().len(), 2);
}

/// Guards against a quarantined worker that gets no other task, not even a long-running one, while
/// its probe, a batch task of an hour, runs.
#[test]
fn quarantined_worker_gets_next_probe_beside_long_one() {
    let (mut world, ends) = world_with_failures();
    world.report("w1", vec![], ends);
    world.now += 3_000;
    world.report("w1", vec![], vec![]);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    world.answer(&probe[0].0, &probe[0].1, Outcome::Done);
    let long_running = "00000000000000c3";
    let probe_step = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(long_running, vec![probe_step]);
    let mut long = run(probe[0].1.key.job.as_str(), 0, probe[0].1.run);
    long.address = probe[0].1.address;
    world.now += 2_900;
    world.report("w1", vec![long.clone()], vec![]);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.report("w1", vec![long], vec![]);
    assert_eq!(world.starts().len(), 1);
}

/// A probe that runs well clears the worker even if another task starts before the next report.
/// Reports come every 2 s; a placement pass in between started the next task as the new probe, and
/// only a report of the current probe cleared the worker. It got one task in 3 s and stayed
/// quarantined.
#[test]
fn long_running_probe_ends_quarantine_beside_later_starts() {
    let mut world = quarantined_world();
    let long_running = "00000000000000c3";
    let probe_step = Step {
        lasting: true,
        ..step(4, 1_000)
    };
    world.submit(long_running, vec![probe_step]);
    world.report("w1", vec![], vec![]);
    let mut listed = Vec::new();
    let mut started_at = Vec::new();
    // Passes every 100 ms, reports every 2 s, as without events that end a poll early.
    for pass in 0..=60 {
        if pass % 20 == 1 {
            world.report("w1", listed.clone(), vec![]);
        }
        for (worker, start) in world.starts() {
            world.answer(&worker, &start, Outcome::Done);
            let mut reported = run(long_running, 0, start.run);
            reported.address = start.address;
            listed.push(reported);
            started_at.push(world.now - 4_000);
        }
        world.now += 100;
    }
    assert_eq!(started_at.len(), 4, "starts at {started_at:?}");
}

/// Guards against consecutive best-effort tasks beside an overloaded serving task: the end of the
/// first made the worker appear healthy, and the next one interfered again.
#[test]
fn overloaded_serving_task_blocks_best_effort_task() {
    let mut world = world_with_best_effort_task();
    let other = "00000000000000c3";
    let mut best_effort = step(1, 500);
    best_effort.fills = true;
    best_effort.image = Some("f".into());
    world.now += 500;
    let mut serving = run(JOB, 0, 1);
    serving.figure = 60;
    let done = end(1, "00000000000000b2", 0, 1, EndCause::Done);
    world.report("w1", vec![serving.clone()], vec![done]);
    world.submit(other, vec![best_effort]);
    assert!(place(&mut world).is_empty());
    world.now += 500;
    serving.figure = 10;
    world.report("w1", vec![serving], vec![]);
    assert_eq!(place(&mut world).len(), 1);
}

/// A best-effort task may be placed while a poll is held, so polls of serving workers are short.
#[test]
fn poll_of_serving_worker_is_short() {
    let mut world = world_with_best_effort_task();
    let (serving, best_effort) = (run(JOB, 0, 1), run("00000000000000b2", 0, 1));
    world.report("w1", vec![serving.clone(), best_effort], vec![]);
    let done = end(1, "00000000000000b2", 0, 1, EndCause::Done);
    let report = Report {
        clock: world.now + 50_000,
        running: vec![serving],
        ended: vec![done],
    };
    world
        .cell
        .report(&"w1".into(), report, world.now, world.now, 1);
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().wait, 500);
}

/// Guards against trying every waiting job on every worker in each pass, which took seconds under
/// load. A step is skipped if it needs at least as much as one that has just found no capacity.
#[test]
fn larger_step_is_not_tried() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 3_500)]);
    assert_eq!(place(&mut world).len(), 1);
    for (id, cpu) in [
        ("00000000000000b2", 600),
        ("00000000000000c3", 900),
        ("00000000000000d4", 400),
    ] {
        world.submit(id, vec![step(1, cpu)]);
    }
    let before = world.cell.full_scans();
    assert_eq!(place(&mut world).len(), 1);
    assert_eq!(world.cell.full_scans() - before, 2);
}

/// Starts that cannot be sent yet stay in the queue, so that more urgent work that arrives later
/// goes first.
#[test]
fn limited_pass_follows_queue_order() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(6, 500)]);
    world.cell.place_up_to(world.now, 2);
    assert_eq!(world.cell.take_orders().len(), 2);
    let mut urgent = submission("00000000000000b2", vec![step(1, 500)]);
    urgent.queue.target = 1;
    urgent.queue.stretch = 1.0;
    world.cell.admit(urgent, 1);
    world.cell.place_up_to(world.now, 0);
    assert!(world.cell.take_orders().is_empty());
    world.cell.place_up_to(world.now, 1);
    let starts = world.cell.take_orders();
    let [(_, Order::Start(start))] = &starts[..] else {
        panic!("{starts:?}");
    };
    assert_eq!(start.key.job.as_str(), "00000000000000b2");
}

/// Work beyond the limit of a pass is placed in later passes, even if a pass has already skipped
/// it.
#[test]
fn limited_passes_place_all() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(7, 1_000)]);
    let mut placed = 0;
    for _ in 0..7 {
        world.cell.place_up_to(world.now, 1);
        placed += world.cell.take_orders().len();
    }
    assert_eq!(placed, 7);
}

/// A worker under backpressure gets no work until that ends.
#[test]
fn backpressured_worker_gets_nothing() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.set_backpressured(HashSet::from(["w1".into()]));
    world.submit(JOB, vec![step(8, 1_000)]);
    assert!(place(&mut world).iter().all(|id| &**id == "w2"));
    world.cell.set_backpressured(HashSet::new());
    assert_eq!(place(&mut world).len(), 4);
}

/// Bounds the time of a placement pass: with 3,000 workers a pass over the initial long-running
/// tasks took 3.2 s, longer than the owner's lease, and the next owners took as long.
#[test]
fn placement_pass_is_bounded() {
    let mut world = large_cell(3_000);
    world.submit(JOB, vec![step(6_000, 1_000)]);
    let first = world.starts().len();
    assert!((100..1_000).contains(&first), "{first}");
    let mut placed = first;
    for _ in 0..60 {
        placed += world.starts().len();
    }
    assert_eq!(placed, 6_000);
}

/// Passes cover different parts of a large cell, and all free capacity is found eventually.
#[test]
fn large_cell_is_fully_used() {
    let mut world = large_cell(1_200);
    world.submit(JOB, vec![step(4_801, 1_000)]);
    let mut used = HashSet::new();
    let mut placed = 0;
    for _ in 0..200 {
        let starts = place(&mut world);
        placed += starts.len();
        used.extend(starts);
    }
    assert_eq!((placed, used.len()), (4_800, 1_200));
}

/// A label that few workers have is found anywhere in a large cell.
#[test]
fn rare_label_is_found_in_large_cell() {
    let mut world = large_cell(1_200);
    let mut rare = entry("w99999", 4);
    rare.labels = vec!["rare".into(), "r1".into()];
    let names = (0..1_200).map(|number| entry(&format!("w{number:05}"), 4));
    world.list(names.chain([rare]).collect());
    world.report("w99999", vec![], vec![]);
    let mut labelled = step(2, 100);
    labelled.label = Some("rare".into());
    world.submit(JOB, vec![labelled]);
    assert_eq!(place(&mut world), ["w99999".into(), "w99999".into()]);
}
