//! Queues for which an external service chooses the workers.

use {
    crate::common::{JOB, World, step, submission},
    magpie_cell::{Advice, AdviceQuery, Outcome, Refusal},
};

fn world_with_external_placement() -> World {
    let mut world = World::new(&["w1", "w2"]);
    let mut job = submission(JOB, vec![step(2, 1_000)]);
    job.queue.advised = true;
    world.cell.admit(job, 1);
    world
}

fn question(world: &mut World) -> AdviceQuery {
    assert!(world.starts().is_empty());
    let mut questions = world.cell.take_advice_queries();
    assert_eq!(questions.len(), 1);
    questions.remove(0)
}

fn asked_ids(question: &AdviceQuery) -> Vec<&str> {
    question
        .workers
        .iter()
        .map(|candidate| &*candidate.id)
        .collect()
}

fn advice(worker: &str) -> Advice {
    Advice {
        tickets: vec![(worker.into(), "ticket".into())],
        valid_for: 3_000,
    }
}

#[test]
fn starts_only_with_ticket() {
    let mut world = world_with_external_placement();
    let asked = question(&mut world);
    assert_eq!(asked.workers.len(), 2);
    world
        .cell
        .handle_advice(&asked, Some(advice("w2")), world.now);
    let starts = world.starts();
    assert_eq!(starts.len(), 2);
    for (worker, start) in &starts {
        assert_eq!(&**worker, "w2");
        assert_eq!(start.ticket.as_deref(), Some("ticket"));
    }
}

#[test]
fn asks_again_after_failed_question() {
    let mut world = world_with_external_placement();
    let asked = question(&mut world);
    assert!(world.starts().is_empty() && world.cell.take_advice_queries().is_empty());
    world.cell.handle_advice(&asked, None, world.now);
    assert!(world.starts().is_empty() && world.cell.take_advice_queries().is_empty());
    world.now += 200;
    assert_eq!(question(&mut world), asked);
}

#[test]
fn ticket_expires() {
    let mut world = world_with_external_placement();
    let asked = question(&mut world);
    world
        .cell
        .handle_advice(&asked, Some(advice("w2")), world.now);
    world.now += 2_000;
    world.cell.expire_tickets(world.now);
    world.report("w1", vec![], vec![]);
    world.report("w2", vec![], vec![]);
    let repeated = question(&mut world);
    assert_eq!(asked_ids(&repeated), ["w2"]);
}

#[test]
fn refused_ticket_is_dropped() {
    let mut world = world_with_external_placement();
    let asked = question(&mut world);
    world
        .cell
        .handle_advice(&asked, Some(advice("w2")), world.now);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Refused(Refusal::Ticket));
    }
    world.now += 600;
    world.report("w2", vec![], vec![]);
    assert_eq!(asked_ids(&question(&mut world)), ["w2"]);
}
