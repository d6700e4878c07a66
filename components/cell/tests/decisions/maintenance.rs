//! Maintenance waves: limit, draining, and completion.

use {
    crate::common::{JOB, World, end, entry, other_worker, run, step},
    job::{Id, Step},
    magpie_cell::{EndCause, Machine, MaintenanceOrder, ORDER_LIFETIME, Order, Outcome, Run, Wave},
    std::{collections::HashMap, slice::from_ref},
    test_case::test_case,
};

fn wave(limit: usize) -> Wave {
    Wave {
        number: 3,
        machines: vec!["m1".into(), "m2".into()],
        limit,
        ..Wave::default()
    }
}

/// A machine that is up with this worker, or down for maintenance.
fn machine(name: &str, worker: Option<&str>) -> Machine {
    Machine {
        name: name.into(),
        up: worker.is_some(),
        in_maintenance: worker.is_none(),
        worker: worker.map(Into::into),
    }
}

fn both() -> [Machine; 2] {
    [machine("m1", Some("w1")), machine("m2", Some("w2"))]
}

fn order(machine: &str) -> MaintenanceOrder {
    MaintenanceOrder {
        wave: 3,
        machine: machine.into(),
    }
}

#[test]
fn wave_limit_is_respected() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    assert_eq!(orders, [order("m1")]);
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    assert!(
        world
            .cell
            .plan_maintenance(&[wave(1)], &down, world.now)
            .is_empty()
    );
    let back = [machine("m1", Some("w9")), machine("m2", Some("w2"))];
    let orders = world.cell.plan_maintenance(&[wave(1)], &back, world.now);
    assert_eq!(orders, [order("m2")]);
}

#[test]
fn wave_completes_when_machines_return() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.plan_maintenance(&[wave(2)], &both(), world.now);
    assert!(!world.cell.wave_statuses(&[wave(2)])[0].complete);
    let down = [machine("m1", None), machine("m2", None)];
    world.cell.plan_maintenance(&[wave(2)], &down, world.now);
    assert!(!world.cell.wave_statuses(&[wave(2)])[0].complete);
    let back = [machine("m1", Some("w8")), machine("m2", Some("w9"))];
    world.cell.plan_maintenance(&[wave(2)], &back, world.now);
    assert!(world.cell.wave_statuses(&[wave(2)])[0].complete);
}

/// A machine that left the fleet needs no maintenance, though it is not done; one that an owner
/// recorded is done.
#[test]
fn removed_and_recorded_machines_are_done() {
    let mut world = World::new(&["w1"]);
    let mut noted = wave(1);
    noted.done = vec!["m1".into()];
    let orders = world
        .cell
        .plan_maintenance(&[noted.clone()], &both()[..1], world.now);
    assert!(orders.is_empty());
    assert!(!world.cell.wave_statuses(from_ref(&noted))[0].complete);
    world.now += 10_000;
    let orders = world
        .cell
        .plan_maintenance(from_ref(&noted), &both()[..1], world.now);
    assert!(orders.is_empty());
    let status = &world.cell.wave_statuses(&[noted])[0];
    assert!(status.complete);
    assert_eq!(status.done, ["m1".into()]);
}

#[test]
fn drain_precedes_maintenance() {
    let mut world = World::new(&["w1", "w2"]);
    let mut long_running = step(1, 1_000);
    long_running.lasting = true;
    long_running.may_miss = Some(1);
    world.submit(JOB, vec![long_running]);
    let (worker, start) = world.starts()[0].clone();
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    let mut single = wave(1);
    let name = if &*worker == "w1" { "m1" } else { "m2" };
    single.machines = vec![name.into()];
    assert!(
        world
            .cell
            .plan_maintenance(&[single.clone()], &both(), world.now)
            .is_empty()
    );
    assert_eq!(world.stops(), [(worker.clone(), start.run)]);
    world.now += 10_000;
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    world.report(other_worker(&worker), vec![], vec![]);
    assert!(
        world
            .cell
            .plan_maintenance(&[single.clone()], &both(), world.now)
            .is_empty()
    );
    let ended = end(1, JOB, 0, start.run, EndCause::Stopped);
    world.report(&worker, vec![], vec![ended]);
    assert_ne!(world.starts()[0].0, worker);
    let orders = world.cell.plan_maintenance(&[single], &both(), world.now);
    assert_eq!(orders, [order(name)]);
}

#[test]
fn refused_order_is_repeated() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    world.cell.maintenance_refused(&orders[0]);
    let repeated = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    assert_eq!(repeated, orders);
}

/// Guards against a wave that is complete without the maintenance of a machine. Its order got no
/// answer and was not carried out, and its worker crashed and returned as another one, which
/// counted as proof.
#[test]
fn crash_after_unanswered_order_does_not_complete_wave() {
    let mut world = World::new(&["w1", "w2"]);
    let mut single = wave(1);
    single.machines.truncate(1);
    let waves = [single];
    world.cell.plan_maintenance(&waves, &both(), world.now);
    let crashed = [machine("m1", Some("w9"))];
    world.list(vec![entry("w9", 4)]);
    world.now += 2_000;
    world.cell.plan_maintenance(&waves, &crashed, world.now);
    assert!(!world.cell.wave_statuses(&waves)[0].complete);
    world.now += 10_000;
    let repeated = world.cell.plan_maintenance(&waves, &crashed, world.now);
    assert_eq!(repeated, [order("m1")]);
    let down = [machine("m1", None)];
    world.cell.plan_maintenance(&waves, &down, world.now);
    assert!(!world.cell.wave_statuses(&waves)[0].complete);
    world.cell.plan_maintenance(&waves, &crashed, world.now);
    assert!(world.cell.wave_statuses(&waves)[0].complete);
}

/// Guards against a wave that waits for good for a machine whose order got no answer and was not
/// carried out.
#[test]
fn unanswered_order_is_repeated() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    world.now += 700;
    assert!(
        world
            .cell
            .plan_maintenance(&[wave(1)], &both(), world.now)
            .is_empty()
    );
    world.now += 10_000;
    let repeated = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    assert_eq!(repeated, orders);
}

/// A machine whose maintenance was over before the order is done at the next listing.
#[test]
fn answered_order_completes_wave() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    world.cell.maintenance_begun(&orders[0]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    assert_eq!(orders, [order("m2")]);
    world.cell.maintenance_begun(&orders[0]);
    world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    assert!(world.cell.wave_statuses(&[wave(1)])[0].complete);
}

/// A machine that crashes after an order without an answer leaves its place to the next one.
#[test]
fn crashed_machine_does_not_hold_up_wave() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    let mut crashed = both();
    crashed[0].up = false;
    crashed[0].worker = None;
    world.now += 700;
    assert!(
        world
            .cell
            .plan_maintenance(&[wave(1)], &crashed, world.now)
            .is_empty()
    );
    world.now += 10_000;
    let orders = world.cell.plan_maintenance(&[wave(1)], &crashed, world.now);
    assert_eq!(orders, [order("m2")]);
}

/// True if a task that only this worker has room for starts there.
fn takes_work(world: &mut World, worker: &str) -> bool {
    world.list(vec![entry(worker, 64)]);
    world.report(worker, vec![], vec![]);
    world.submit(JOB, vec![step(1, 60_000)]);
    world.starts().iter().any(|(id, _)| **id == *worker)
}

/// Guards against a new owner that exceeds the limit, since a former one has ordered a machine down.
/// It knew only of its own orders.
#[test]
fn takeover_counts_machine_in_maintenance() {
    let mut world = World::new(&["w1", "w2"]);
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    assert!(
        world
            .cell
            .plan_maintenance(&[wave(1)], &down, world.now)
            .is_empty()
    );
}

/// The same for a machine that is noted as done and is still down.
#[test]
fn done_machine_counts_while_down() {
    let mut world = World::new(&["w1", "w2"]);
    let mut noted = wave(1);
    noted.done = vec!["m1".into()];
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    let orders = world.cell.plan_maintenance(&[noted], &down, world.now);
    assert!(orders.is_empty());
}

/// Guards against a worker that stays closed, and a wave that never ends, after a takeover during
/// the maintenance: the new owner ordered the machine again and waited for it to go down.
#[test]
fn takeover_completes_machine_in_maintenance() {
    let mut world = World::new(&["w1", "w2"]);
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    world.cell.plan_maintenance(&[wave(1)], &down, world.now);
    world.now += 2_000;
    let back = [machine("m1", Some("w9")), machine("m2", Some("w2"))];
    let orders = world.cell.plan_maintenance(&[wave(1)], &back, world.now);
    assert_eq!(orders, [order("m2")]);
    let status = &world.cell.wave_statuses(&[wave(1)])[0];
    assert_eq!(status.done, ["m1".into()]);
    assert!(takes_work(&mut world, "w9"));
}

/// A machine that was down before the takeover and is up again is done without another order.
#[test]
fn takeover_completes_machine_noted_as_begun() {
    let mut world = World::new(&["w1", "w2"]);
    let mut noted = wave(1);
    noted.begun = vec!["m1".into()];
    let orders = world
        .cell
        .plan_maintenance(&[noted.clone()], &both(), world.now);
    assert_eq!(orders, [order("m2")]);
    let status = &world.cell.wave_statuses(&[noted])[0];
    assert_eq!(status.done, ["m1".into()]);
    assert!(takes_work(&mut world, "w1"));
}

/// An order of the former owner counts, and is repeated when it can no longer be carried out. Its
/// answer completes the machine and reopens the worker.
#[test]
fn takeover_repeats_order_noted_as_sent() {
    let mut world = World::new(&["w1", "w2"]);
    let mut noted = wave(1);
    noted.sent = vec!["m1".into()];
    let waves = [noted];
    for _ in 0..7 {
        let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
        assert!(orders.is_empty());
        world.now += 700;
    }
    world.now += ORDER_LIFETIME;
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m1")]);
    world.cell.maintenance_begun(&orders[0]);
    world.now += 700;
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m2")]);
    assert!(takes_work(&mut world, "w1"));
}

/// Each order is in the notes before it is sent, and stays there until the machine is done.
#[test]
fn notes_name_each_order() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    let status = world.cell.wave_statuses(&[wave(1)]).remove(0);
    assert_eq!((status.sent, status.begun), (vec!["m1".into()], vec![]));
    world.cell.maintenance_begun(&orders[0]);
    let status = world.cell.wave_statuses(&[wave(1)]).remove(0);
    assert_eq!((status.sent, status.begun), (vec![], vec!["m1".into()]));
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    world.cell.plan_maintenance(&[wave(1)], &down, world.now);
    world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    let status = world.cell.wave_statuses(&[wave(1)]).remove(0);
    assert_eq!((status.sent, status.begun), (vec!["m2".into()], vec![]));
    assert_eq!(status.done, ["m1".into()]);
}

/// Two owners may each have drained as many machines as the limit. No order leaves while that many
/// are down.
#[test]
fn drained_machine_waits_for_one_that_is_down() {
    let mut world = World::new(&["w1", "w2"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(JOB, vec![long_running]);
    let (worker, start) = world.starts()[0].clone();
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    let mut single = wave(1);
    let other = other_worker(&worker).replace('w', "m");
    let name = worker.replace('w', "m");
    single.machines = vec![name.as_str().into(), other.as_str().into()];
    let waves = [single];
    world.cell.plan_maintenance(&waves, &both(), world.now);
    let ended = end(1, JOB, 0, start.run, EndCause::Stopped);
    world.report(&worker, vec![], vec![ended]);
    let mut listed = both();
    let index = usize::from(other == "m2");
    listed[index] = machine(&other, None);
    assert!(
        world
            .cell
            .plan_maintenance(&waves, &listed, world.now)
            .is_empty()
    );
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order(&name)]);
}

/// Guards against a wave that is complete by the maintenance of another one. Two owners had ordered
/// the machine down for one each, and it was down for one of them.
#[test]
fn maintenance_for_another_wave_proves_nothing() {
    let mut world = World::new(&["w1", "w2"]);
    let mut first = wave(1);
    first.machines.truncate(1);
    first.sent = vec!["m1".into()];
    let mut second = first.clone();
    second.number = 4;
    let waves = [first, second];
    let down = [machine("m1", None)];
    world.cell.plan_maintenance(&waves, &down, world.now);
    world.cell.plan_maintenance(&waves, &both(), world.now);
    let statuses = world.cell.wave_statuses(&waves);
    assert!(statuses.iter().all(|status| !status.complete));
}

/// A machine of two waves is down for one at a time, so that its return completes the right one.
#[test]
fn machine_of_two_waves_is_down_for_each() {
    let mut world = World::new(&["w1", "w2"]);
    let mut first = wave(1);
    first.machines.truncate(1);
    let mut second = first.clone();
    second.number = 4;
    let waves = [first, second];
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m1")]);
    world.cell.maintenance_begun(&orders[0]);
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    world.cell.plan_maintenance(&waves, &down, world.now);
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].wave, 4);
    let statuses = world.cell.wave_statuses(&waves);
    assert!(statuses[0].complete && !statuses[1].complete);
}

/// Guards against a machine that goes down beside as many as the limit: its order was refused and
/// delivered a second time. Its place went to the next one at once.
#[test]
fn refused_order_counts_while_machine_is_down() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    world.cell.maintenance_refused(&orders[0]);
    let mut crashed = both();
    crashed[0].up = false;
    crashed[0].worker = None;
    world.now += 700;
    let orders = world.cell.plan_maintenance(&[wave(1)], &crashed, world.now);
    assert!(orders.is_empty());
    world.now += ORDER_LIFETIME;
    let orders = world.cell.plan_maintenance(&[wave(1)], &crashed, world.now);
    assert_eq!(orders, [order("m2")]);
}

/// Guards against a new owner that takes a worker for empty which has not answered it yet, and sends
/// its machine down under a task.
#[test]
fn takeover_waits_for_report_before_maintenance() {
    let mut world = World::without_reports(&["w1", "w2"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.resume(JOB, vec![long_running]);
    world.cell.recover(world.now);
    let waves = [wave(1)];
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert!(orders.is_empty());
    world.now += 100;
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.report("w2", vec![], vec![]);
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert!(orders.is_empty());
    assert_eq!(world.stops(), [("w1".into(), 1)]);
    world.now += 100;
    let ended = end(1, JOB, 0, 1, EndCause::Stopped);
    world.report("w1", vec![], vec![ended]);
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m1")]);
}

/// A worker that never answers the new owner holds up the wave until its leases have expired.
#[test]
fn takeover_sends_silent_machine_down_after_leases() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.cell.recover(world.now);
    let waves = [wave(1)];
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert!(orders.is_empty());
    world.now += 10_000;
    world.cell.expire_leases(world.now);
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m1")]);
}

/// Guards against a wave that is complete without the maintenance of a machine that one listing
/// lacked.
#[test]
fn machine_missing_once_gets_maintenance() {
    let mut world = World::new(&["w1", "w2"]);
    let mut noted = wave(1);
    noted.done = vec!["m1".into()];
    let waves = [noted];
    world.cell.plan_maintenance(&waves, &both()[..1], world.now);
    assert!(!world.cell.wave_statuses(&waves)[0].complete);
    world.now += 700;
    let orders = world.cell.plan_maintenance(&waves, &both(), world.now);
    assert_eq!(orders, [order("m2")]);
    world.now += 60_000;
    world.cell.plan_maintenance(&waves, &both()[..1], world.now);
    assert!(!world.cell.wave_statuses(&waves)[0].complete);
}

/// A machine that was ordered down and is missing from a listing may still be down.
#[test]
fn machine_missing_once_counts_while_down() {
    let mut world = World::new(&["w1", "w2"]);
    let orders = world.cell.plan_maintenance(&[wave(1)], &both(), world.now);
    world.cell.maintenance_begun(&orders[0]);
    let down = [machine("m1", None), machine("m2", Some("w2"))];
    world.now += 2 * ORDER_LIFETIME;
    world.cell.plan_maintenance(&[wave(1)], &down, world.now);
    world.now += 700;
    let orders = world
        .cell
        .plan_maintenance(&[wave(1)], &both()[1..], world.now);
    assert!(orders.is_empty());
}

/// A world with a long-running task on a worker whose machine is drained for the wave of both. It
/// returns the name of the machine, and the wave, which has that machine first.
fn with_drained_machine() -> (World, String, Wave) {
    let mut world = World::new(&["w1", "w2"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(JOB, vec![long_running]);
    let (worker, start) = world.starts()[0].clone();
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    let name = worker.replace('w', "m");
    let mut wave = wave(1);
    if name == "m2" {
        wave.machines.reverse();
    }
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &both(), world.now);
    assert!(orders.is_empty());
    (world, name, wave)
}

/// Guards against a wave that waits for good for a machine that crashed while it was drained.
#[test]
fn crash_while_drained_does_not_hold_up_wave() {
    let (mut world, name, wave) = with_drained_machine();
    let mut crashed = both();
    for machine in &mut crashed {
        if *machine.name == *name {
            machine.up = false;
            machine.worker = None;
        }
    }
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &crashed, world.now);
    let other = other_worker(&name.replace('m', "w")).replace('w', "m");
    assert_eq!(orders, [order(&other)]);
}

/// Guards against an order for a machine that another owner has noted as done while this one
/// drained it.
#[test]
fn machine_noted_as_done_is_not_drained() {
    let (mut world, name, mut wave) = with_drained_machine();
    wave.done = vec![name.as_str().into()];
    world.report(&name.replace('m', "w"), vec![], vec![]);
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &both(), world.now);
    assert!(orders.iter().all(|order| *order.machine != *name));
    assert_eq!(orders.len(), 1);
}

/// Guards against a worker that stays closed when its wave, or its machine's part in it, is
/// withdrawn during draining.
#[test_case(&[]; "no wave remains")]
#[test_case(&["m2"]; "the machine is in no wave")]
fn withdrawn_wave_reopens_drained_worker(machines: &[&str]) {
    let mut world = World::new(&["w1"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(JOB, vec![long_running]);
    let (worker, start) = world.starts()[0].clone();
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    let list = [machine("m1", Some("w1"))];
    assert!(
        world
            .cell
            .plan_maintenance(&[wave(1)], &list, world.now)
            .is_empty()
    );
    world.submit("00000000000000b2", vec![step(1, 1_000)]);
    assert!(world.starts().is_empty());
    let mut remaining = wave(1);
    remaining.machines = machines.iter().map(|name| (*name).into()).collect();
    let waves = [remaining];
    let count = usize::from(!machines.is_empty());
    world
        .cell
        .plan_maintenance(&waves[..count], &list, world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Draining continues with the next incarnation of a worker that crashes while it is drained. The
/// drain state belonged to the old incarnation; the next one got long-running tasks, was never
/// drained, and the wave never completed.
#[test]
fn wave_continues_with_next_incarnation() {
    let mut world = World::new(&["w1", "w2"]);
    let wave = Wave {
        number: 3,
        machines: vec!["m1".into()],
        limit: 1,
        ..Wave::default()
    };
    let machine = |worker: &str| Machine {
        name: "m1".into(),
        up: true,
        in_maintenance: false,
        worker: Some(worker.into()),
    };
    let long_running = Step {
        lasting: true,
        spread: 1,
        ..step(2, 1_000)
    };
    world.submit(JOB, vec![long_running]);
    let mut listed = HashMap::new();
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
        let mut reported = run(JOB, 0, start.run);
        reported.address = start.address;
        listed.insert(worker, reported);
    }
    world.now += 100;
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &[machine("w1")], world.now);
    assert!(orders.is_empty());
    // Another incarnation of the worker replaces the first.
    world
        .cell
        .end_incarnation(&"w1".into(), "another incarnation answers", world.now);
    world.list(vec![entry("w3", 4), entry("w2", 4)]);
    let mut orders_to_next = Vec::new();
    let mut moved_job: Option<Id> = None;
    let mut number = 0;
    let mut on_next: Vec<Run> = Vec::new();
    for _ in 0..300 {
        world.now += 100;
        let running = listed.get("w2").cloned().into_iter().collect();
        world.report("w2", running, vec![]);
        world.report("w3", on_next.clone(), vec![]);
        world.cell.rerank(world.now, world.now);
        world.cell.place(world.now);
        for (worker, order) in world.cell.take_orders() {
            match &order {
                Order::Start(start) if &*worker == "w3" => {
                    world
                        .cell
                        .handle_outcome(&worker, &order, Outcome::Done, world.now);
                    let mut reported = run(JOB, 0, start.run);
                    reported.address = start.address;
                    on_next.push(reported);
                    moved_job = Some(start.key.job.clone());
                }
                Order::Stop { run, address, .. } if &*worker == "w3" => {
                    on_next.clear();
                    number += 1;
                    let mut ended = end(number, JOB, 0, *run, EndCause::Stopped);
                    ended.address = *address;
                    world.report("w3", vec![], vec![ended]);
                }
                _ => {}
            }
        }
        world.persist();
        let orders = world
            .cell
            .plan_maintenance(from_ref(&wave), &[machine("w3")], world.now);
        for order in &orders {
            world.cell.maintenance_begun(order);
        }
        orders_to_next.extend(orders);
    }
    assert!(
        moved_job.is_some(),
        "no task started on the next incarnation"
    );
    assert_eq!(
        orders_to_next.len(),
        1,
        "the machine gets no maintenance order in 30 s"
    );
}
