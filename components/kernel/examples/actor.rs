//! An actor on its own thread, and threads that call it: `cargo run -p magpie-kernel --example actor`.

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
    let host = ActorThread::start("counter", |_, _| Counter { count: 0 })?;
    let mut threads = Vec::new();
    for number in 0..4 {
        let remote = host.remote().clone();
        threads.push(task::spawn(&format!("task-{number}"), move || {
            for _ in 0..1000 {
                remote.tell(|counter, _| counter.count += 1);
            }
        })?);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count: Result<u64, Failure> = host.remote().ask(|counter, _| counter.count);
    println!("{count:?}");
    Ok(())
}
