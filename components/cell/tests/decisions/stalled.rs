//! Jobs that stand still although most capacity is free.

use {
    crate::common::{JOB, World, step},
    test_case::test_case,
};

/// Maximum time without a run of a job that has ready tasks, in milliseconds, while most capacity
/// is free.
const MAX_IDLE: u64 = 3_000;

/// A job that waits beside free capacity is counted, one that waits for capacity is not.
#[test_case(1_000, 1; "free capacity")]
#[test_case(3_000, 0; "scarce capacity")]
fn log_stalled_counts_jobs(used: u64, expected: usize) {
    let mut world = World::new(&["w1"]);
    world.submit("00000000000000b1", vec![step(1, used)]);
    world.starts();
    world.submit(JOB, vec![step(1, 100)]);
    world.cell.set_closed_halls(["h1".into()].into());
    assert_eq!(world.cell.log_stalled(world.now), 0);
    world.now += MAX_IDLE + 1;
    world.cell.rerank(1, world.now);
    world.starts();
    assert_eq!(world.cell.log_stalled(world.now), expected);
}
