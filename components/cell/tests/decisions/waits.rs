//! Lasting tasks that wait: none stands still while there is room for it.

use {
    crate::{
        common::{JOB, step},
        farm::Farm,
    },
    job::Step,
};

/// Nine lasting tasks, each on a worker of its own.
fn apart() -> Step {
    Step {
        lasting: true,
        spread: 1,
        ..step(9, 1_000)
    }
}

/// The story: a lasting job had nine tasks, each on a worker of its own. One of the workers was lost for good. Eight tasks
/// went on; the last one did not run again for 39 s, beside workers with room, until another box took the cell over and
/// started it at once.
///
/// Here: a new owner has just adopted all runs, six of the workers fall silent, and five of them come back just after they
/// were given up. The order of events and the cause are not proven yet.
#[test]
fn last_suspect_runs_once_others_are_back() {
    let mut farm = Farm::new(66, 1_000);
    farm.submit(JOB, apart());
    farm.run(3_000);
    let holders: Vec<usize> = (0..9)
        .map(|place| farm.holder(JOB, place).unwrap())
        .collect();
    farm.hand_over(&farm.records());
    farm.run(300);
    for &machine in &holders[3..8] {
        farm.cut_off(machine..machine + 1, true);
    }
    farm.remove(holders[8]);
    farm.run(5_500);
    for &machine in &holders[3..8] {
        farm.cut_off(machine..machine + 1, false);
    }
    farm.run(20_000);
    for place in 0..9 {
        assert!(
            farm.holder(JOB, place).is_some(),
            "task {place} does not run"
        );
    }
}
