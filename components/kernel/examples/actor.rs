//! An actor on its own thread, and threads that call it.
//!
//! Run with `cargo run -p magpie-kernel --example actor`.

use {
    kernel::{ActorThread, Failure, task},
    magpie_kernel as kernel,
    std::io,
};

/// A counter that threads share without a lock.
struct Counter {
    count: u64,
}

fn main() -> io::Result<()> {
    let thread = ActorThread::start("counter", |_, _| Counter { count: 0 })?;
    let mut threads = Vec::new();
    for number in 0..4 {
        let actor = thread.actor_ref().clone();
        threads.push(task::spawn(&format!("task-{number}"), move || {
            for _ in 0..1000 {
                actor.tell(|counter, _| counter.count += 1);
            }
        })?);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count: Result<u64, Failure> = thread.actor_ref().ask(|counter, _| counter.count);
    println!("{count:?}");
    Ok(())
}
