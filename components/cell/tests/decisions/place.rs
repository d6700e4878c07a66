//! Which worker a task is given, and when it may start.

use {
    crate::common::{JOB, World, end, entry, large, run, step, submission},
    job::{Id, Step, spec::Timetable},
    magpie_cell::{EndCause, Order, Outcome, Report, RunEnd, Start},
    std::{collections::HashSet, sync::Arc},
};

fn workers(world: &mut World) -> Vec<Arc<str>> {
    world
        .starts()
        .into_iter()
        .map(|(worker, _)| worker)
        .collect()
}

#[test]
fn room_is_never_passed() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(20, 1_500)]);
    assert_eq!(workers(&mut world).len(), 4);
}

#[test]
fn spread_bounds_tasks_on_a_worker() {
    let mut world = World::new(&["w1", "w2"]);
    let mut apart = step(5, 100);
    apart.spread = 2;
    world.submit(JOB, vec![apart]);
    let placed = workers(&mut world);
    assert_eq!(placed.len(), 4);
    assert_eq!(placed.iter().filter(|worker| &***worker == "w1").count(), 2);
}

#[test]
fn label_must_be_there() {
    let mut world = World::new(&["w1"]);
    let mut odd = step(1, 100);
    odd.label = Some("b".into());
    world.submit(JOB, vec![odd]);
    assert!(workers(&mut world).is_empty());
}

#[test]
fn other_pool_gets_nothing() {
    let mut world = World::new(&["w1"]);
    let mut other = submission(JOB, vec![step(1, 100)]);
    other.queue.pool = "another".into();
    world.cell.admit(other, 1);
    assert!(workers(&mut world).is_empty());
}

#[test]
fn rack_of_the_data_goes_first() {
    let mut world = World::new(&["w1", "w2"]);
    let mut near = entry("w3", 4);
    near.labels = vec!["a".into(), "r7".into()];
    world.list(vec![entry("w1", 4), entry("w2", 4), near]);
    world.report("w3", vec![], vec![]);
    let mut bound = step(2, 1_000);
    bound.rack = Some("r7".into());
    world.submit(JOB, vec![bound]);
    assert_eq!(workers(&mut world), ["w3".into(), "w3".into()]);
}

#[test]
fn leaving_worker_gets_nothing() {
    let mut world = World::new(&["w1"]);
    let mut leaving = entry("w1", 4);
    leaving.leaving = true;
    world.cell.handle_listing(vec![leaving], world.now);
    world.submit(JOB, vec![step(1, 100)]);
    assert!(workers(&mut world).is_empty());
}

#[test]
fn unfenced_worker_gets_nothing() {
    let mut world = World::unheard(&["w1"]);
    world.submit(JOB, vec![step(1, 100)]);
    assert!(workers(&mut world).is_empty());
}

#[test]
fn failing_worker_is_set_aside() {
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
    assert!(workers(&mut world).is_empty());
    world.now += 3_000;
    world.report("w1", vec![], vec![]);
    assert_eq!(workers(&mut world).len(), 1);
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
fn timetable_not_before_due() {
    let mut world = World::new(&["w1"]);
    let mut timed = submission(JOB, vec![step(1, 100)]);
    timed.spec.timetable = Some(Timetable {
        times: 2,
        first: 1_000,
        interval: 500,
    });
    world.cell.admit(timed, 999);
    assert!(workers(&mut world).is_empty());
    assert_eq!(world.cell.queued_jobs("queue"), 0);
    world.cell.ready_due_steps(1_000);
    assert_eq!(workers(&mut world).len(), 1);
    world.cell.ready_due_steps(1_499);
    assert!(workers(&mut world).is_empty());
    world.cell.ready_due_steps(1_500);
    assert_eq!(workers(&mut world).len(), 1);
}

#[test]
fn gang_starts_whole_with_one_run() {
    let mut world = World::new(&["w1", "w2"]);
    let mut gang = step(6, 1_500);
    gang.gang = true;
    world.submit(JOB, vec![gang.clone()]);
    assert!(workers(&mut world).is_empty());
    let third = entry("w3", 4);
    world.list(vec![entry("w1", 4), entry("w2", 4), third]);
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
    world.write();
    let state = world.cell.state(&Id::new(JOB).unwrap());
    assert_eq!(state, Some(job::State::Completed));
}

#[test]
fn filling_tasks_take_no_processors() {
    let mut world = World::new(&["w1"]);
    let mut serving = step(2, 2_000);
    serving.lasting = true;
    serving.target = 50;
    serving.image = Some("s".into());
    world.submit(JOB, vec![serving]);
    assert_eq!(workers(&mut world).len(), 2);
    let mut filling = step(4, 500);
    filling.fills = true;
    filling.image = Some("f".into());
    world.submit("00000000000000b2", vec![filling]);
    let placed = workers(&mut world).len();
    assert!((1..4).contains(&placed), "{placed} were placed");
}

#[test]
fn lasting_task_starts_again_whatever_its_end() {
    let mut world = World::new(&["w1"]);
    let mut lasting = step(1, 1_000);
    lasting.lasting = true;
    world.submit(JOB, vec![lasting]);
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

/// A worker whose serving task is over its target, with a filling task beside it.
fn shared_world() -> World {
    let mut world = World::new(&["w1"]);
    let mut serving = step(1, 1_000);
    serving.lasting = true;
    serving.target = 50;
    serving.image = Some("s".into());
    let mut filling = step(1, 500);
    filling.fills = true;
    filling.image = Some("f".into());
    world.submit(JOB, vec![serving]);
    world.submit("00000000000000b2", vec![filling]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

fn paced(world: &mut World) -> Vec<u8> {
    let mut percents = Vec::new();
    for (_, order) in world.cell.take_orders() {
        if let magpie_cell::Order::Pace { percent, .. } = order {
            percents.push(percent);
        }
    }
    percents
}

fn figures(world: &mut World, tail: u64) {
    let (mut serving, filling) = (run(JOB, 0, 1), run("00000000000000b2", 0, 1));
    serving.figure = tail;
    let report = Report {
        clock: world.now + 50_000,
        running: vec![serving, filling],
        ended: vec![],
    };
    world
        .cell
        .report(&"w1".into(), report, world.now, world.now, 1);
}

#[test]
fn pace_stops_harmful_at_once() {
    let mut world = shared_world();
    world.now += 500;
    figures(&mut world, 60);
    assert_eq!(paced(&mut world), [0]);
}

/// What was stopped for a serving task that stayed over its target for a second comes back in steps.
#[test]
fn pace_rises_step_by_step() {
    let mut world = shared_world();
    for _ in 0..4 {
        world.now += 500;
        figures(&mut world, 60);
    }
    assert_eq!(paced(&mut world), [0]);
    world.now += 300;
    figures(&mut world, 10);
    assert_eq!(paced(&mut world), [20]);
    world.now += 300;
    figures(&mut world, 10);
    assert!(paced(&mut world).is_empty());
    world.now += 400;
    figures(&mut world, 10);
    assert_eq!(paced(&mut world), [40]);
}

/// Whatever was learned, a serving task that stays over its target stops what fills beside it: the target may
/// be missed for 4 s.
#[test]
fn pace_stops_all_after_a_second() {
    let mut world = shared_world();
    let mut stopped = None;
    for _ in 0..4 {
        world.now += 500;
        figures(&mut world, 52);
        if paced(&mut world).contains(&0) {
            stopped.get_or_insert(world.now);
        }
    }
    assert!(stopped.is_some_and(|at| at <= 1_500 + 1_000));
}

/// Figures are rough: one of them near the target says nothing while the job's others are low.
#[test]
fn pace_stays_after_one_figure_near_target() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(&names);
    let mut serving = step(6, 1_000);
    serving.lasting = true;
    serving.spread = 1;
    serving.target = 50;
    serving.image = Some("s".into());
    let mut filling = step(1, 1_500);
    filling.fills = true;
    filling.image = Some("f".into());
    world.submit(JOB, vec![serving]);
    world.submit("00000000000000b2", vec![filling]);
    let mut held = Vec::new();
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
        held.push((worker, start));
    }
    let is_filling = |(_, start): &&(Arc<str>, Start)| start.key.job.as_str() != JOB;
    let beside = held.iter().find(is_filling).unwrap().0.clone();
    for round in 0..8 {
        world.now += 500;
        for name in names {
            let mut running = Vec::new();
            for (worker, start) in held.iter().filter(|(worker, _)| &**worker == name) {
                let mut run = run(start.key.job.as_str(), start.address.index, 1);
                let is_beside = *worker == beside;
                run.figure = if start.key.job.as_str() != JOB {
                    1_500
                } else if is_beside && round == 6 {
                    46
                } else if is_beside {
                    25
                } else {
                    15
                };
                running.push(run);
            }
            world.report(name, running, vec![]);
        }
    }
    let all = paced(&mut world);
    assert!(!all.contains(&0), "{all:?}");
}

/// A world whose only worker has failed its two tasks just now; the ends are still to be reported.
fn failing() -> (World, Vec<RunEnd>) {
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

/// The same 3 s after the ends were reported, with both jobs cancelled: the worker may be tried again.
fn set_aside() -> World {
    let (mut world, ends) = failing();
    for id in [JOB, "00000000000000b2"] {
        let id = Id::new(id).unwrap();
        world.cell.cancel(&id, world.now, 1);
    }
    world.report("w1", vec![], ends);
    world.now += 3_000;
    world
}

/// Seen on a day with workers that fail all they start: the second and last attempt of a task was
/// spent on the worker that had failed the first.
#[test]
fn failed_task_goes_elsewhere() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let failed = end(1, JOB, 0, start.run, EndCause::Failed);
    world.report(&worker, vec![], vec![failed]);
    let again = world.starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, worker);
}

#[test]
fn faulty_worker_gets_one_probe() {
    let (mut world, ends) = failing();
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

/// Seen on days with orders that come late: a worker that was set aside was tried with a task that lasts, and got
/// nothing more for the rest of the day, since that task never ended.
#[test]
fn faulty_worker_is_cleared_by_lasting_probe() {
    let mut world = set_aside();
    let lasting = "00000000000000c3";
    let watch = Step {
        lasting: true,
        ..step(3, 1_000)
    };
    world.submit(lasting, vec![watch]);
    world.report("w1", vec![], vec![]);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    world.answer(&probe[0].0, &probe[0].1, Outcome::Done);
    let probed = || {
        let mut own = run(lasting, 0, 1);
        own.address = probe[0].1.address;
        vec![own]
    };
    world.now += 2_900;
    world.report("w1", probed(), vec![]);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.report("w1", probed(), vec![]);
    assert_eq!(world.starts().len(), 2);
}

/// Found by a review of what holds others back for as long as a task runs: a worker that was set aside was tried with a
/// batch task of an hour, and got nothing else for that hour, lasting tasks included.
#[test]
fn faulty_worker_gets_next_probe_beside_long_one() {
    let (mut world, ends) = failing();
    world.report("w1", vec![], ends);
    world.now += 3_000;
    world.report("w1", vec![], vec![]);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    world.answer(&probe[0].0, &probe[0].1, Outcome::Done);
    let lasting = "00000000000000c3";
    let watch = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(lasting, vec![watch]);
    let mut long = run(probe[0].1.key.job.as_str(), 0, probe[0].1.run);
    long.address = probe[0].1.address;
    world.now += 2_900;
    world.report("w1", vec![long.clone()], vec![]);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.report("w1", vec![long], vec![]);
    assert_eq!(world.starts().len(), 1);
}

/// The story: a worker that had failed its tasks was tried with a lasting task, which ran well; its next report, which is
/// 2 s apart from the last, would have cleared it. A pass of placement came before that, and put the next task there as the
/// new probe. The worker took one task in 3 s from then on and stayed set aside.
///
/// The cause: the next probe may start once the last one has run for 3 s, and takes its place; what clears the worker is
/// a report of the present probe alone.
#[test]
fn lasting_probe_clears_whatever_starts_before_its_report() {
    let mut world = set_aside();
    let lasting = "00000000000000c3";
    let watch = Step {
        lasting: true,
        ..step(4, 1_000)
    };
    world.submit(lasting, vec![watch]);
    world.report("w1", vec![], vec![]);
    let mut listed = Vec::new();
    let mut taken = Vec::new();
    // Passes each 100 ms, reports each 2 s, as where no poll has anything to tell.
    for pass in 0..=60 {
        if pass % 20 == 1 {
            world.report("w1", listed.clone(), vec![]);
        }
        for (worker, start) in world.starts() {
            world.answer(&worker, &start, Outcome::Done);
            let mut own = run(lasting, 0, start.run);
            own.address = start.address;
            listed.push(own);
            taken.push(world.now - 4_000);
        }
        world.now += 100;
    }
    assert_eq!(taken.len(), 4, "starts at {taken:?}");
}

/// Seen on a day with filling tasks one after the other beside the same serving task: the end of
/// the first made the worker look well again, and the next one went on disturbing.
#[test]
fn over_target_takes_no_filling_task() {
    let mut world = shared_world();
    let third = "00000000000000c3";
    let mut filling = step(1, 500);
    filling.fills = true;
    filling.image = Some("f".into());
    world.now += 500;
    let mut serving = run(JOB, 0, 1);
    serving.figure = 60;
    let done = end(1, "00000000000000b2", 0, 1, EndCause::Done);
    world.report("w1", vec![serving.clone()], vec![done]);
    world.submit(third, vec![filling]);
    assert!(workers(&mut world).is_empty());
    world.now += 500;
    serving.figure = 10;
    world.report("w1", vec![serving], vec![]);
    assert_eq!(workers(&mut world).len(), 1);
}

/// A filling task may be placed while a poll is held: it must not be held for long.
#[test]
fn poll_of_serving_worker_is_short() {
    let mut world = shared_world();
    let (serving, filling) = (run(JOB, 0, 1), run("00000000000000b2", 0, 1));
    world.report("w1", vec![serving.clone(), filling], vec![]);
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

/// Under a burst each waiting job was tried on each worker in each pass, for seconds. What is at
/// least as large as something that has just found no room finds none either.
#[test]
fn larger_need_is_not_tried() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 3_500)]);
    assert_eq!(workers(&mut world).len(), 1);
    for (id, cpu) in [
        ("00000000000000b2", 600),
        ("00000000000000c3", 900),
        ("00000000000000d4", 400),
    ] {
        world.submit(id, vec![step(1, cpu)]);
    }
    let before = world.cell.full_scans();
    assert_eq!(workers(&mut world).len(), 1);
    assert_eq!(world.cell.full_scans() - before, 2);
}

/// What cannot be told to workers soon waits in the queue, where more urgent work that comes goes before it.
#[test]
fn place_some_goes_by_the_line() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(6, 500)]);
    world.cell.place_some(world.now, 2);
    assert_eq!(world.cell.take_orders().len(), 2);
    let mut urgent = submission("00000000000000b2", vec![step(1, 500)]);
    urgent.queue.target = 1;
    urgent.queue.stretch = 1.0;
    world.cell.admit(urgent, 1);
    world.cell.place_some(world.now, 0);
    assert!(world.cell.take_orders().is_empty());
    world.cell.place_some(world.now, 1);
    let starts = world.cell.take_orders();
    let [(_, Order::Start(start))] = &starts[..] else {
        panic!("{starts:?}");
    };
    assert_eq!(start.key.job.as_str(), "00000000000000b2");
}

/// The rest is placed once there is room on the wire, also where it had been looked at in vain.
#[test]
fn place_some_loses_nothing() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(7, 1_000)]);
    let mut placed = 0;
    for _ in 0..7 {
        world.cell.place_some(world.now, 1);
        placed += world.cell.take_orders().len();
    }
    assert_eq!(placed, 7);
}

/// Work goes to other workers while one is held back, and to it again at once.
#[test]
fn hold_back_and_free_again() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.set_backpressured(HashSet::from(["w1".into()]));
    world.submit(JOB, vec![step(8, 1_000)]);
    assert!(workers(&mut world).iter().all(|id| &**id == "w2"));
    world.cell.set_backpressured(HashSet::new());
    assert_eq!(workers(&mut world).len(), 4);
}

/// Seen with 3,000 workers: one pass over the lasting tasks at the start of a day took 3.2 s, and others took the cell
/// over, whose passes took as long.
#[test]
fn pass_of_large_cell_is_bounded() {
    let mut world = large(3_000);
    world.submit(JOB, vec![step(6_000, 1_000)]);
    let first = world.starts().len();
    assert!((100..1_000).contains(&first), "{first}");
    let mut placed = first;
    for _ in 0..60 {
        placed += world.starts().len();
    }
    assert_eq!(placed, 6_000);
}

/// The tasks of a pass go to different parts of the workers, and room anywhere is found in the end.
#[test]
fn large_cell_is_used_whole() {
    let mut world = large(1_200);
    world.submit(JOB, vec![step(4_801, 1_000)]);
    let mut used = HashSet::new();
    let mut placed = 0;
    for _ in 0..200 {
        let starts = workers(&mut world);
        placed += starts.len();
        used.extend(starts);
    }
    assert_eq!((placed, used.len()), (4_800, 1_200));
}

/// Few workers bear a label; the right ones are found wherever they stand.
#[test]
fn label_is_found_in_large_cell() {
    let mut world = large(1_200);
    let mut rare = entry("w99999", 4);
    rare.labels = vec!["rare".into(), "r1".into()];
    let names = (0..1_200).map(|number| entry(&format!("w{number:05}"), 4));
    world.list(names.chain([rare]).collect());
    world.report("w99999", vec![], vec![]);
    let mut odd = step(2, 100);
    odd.label = Some("rare".into());
    world.submit(JOB, vec![odd]);
    assert_eq!(workers(&mut world), ["w99999".into(), "w99999".into()]);
}
