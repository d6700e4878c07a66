//! Faults injected at fixed points of the run.

use {
    crate::context::{Context, GATE_ABORT_BREACH, STOP_TIMEOUT},
    standin::{backend, ledger::Ledger, store},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// One fault and when it is injected, as a share of the run time.
struct FaultEvent {
    at: f64,
    text: &'static str,
    inject: fn(&Context),
}

/// All faults, in order of time.
const FAULT_SCHEDULE: [FaultEvent; 8] = [
    FaultEvent {
        at: 0.10,
        text: "A backend server starts to leave.",
        inject: drain_backend,
    },
    FaultEvent {
        at: 0.20,
        text: "A backend server cuts off some responses and drops some requests.",
        inject: cut_backend,
    },
    FaultEvent {
        at: 0.30,
        text: "The store loses some replies after their writes took effect.",
        inject: lose_store_replies,
    },
    FaultEvent {
        at: 0.40,
        text: "A scheduler and a table are killed; their box is replaced.",
        inject: kill_box,
    },
    FaultEvent {
        at: 0.55,
        text: "A worker restarts.",
        inject: restart_worker,
    },
    FaultEvent {
        at: 0.60,
        text: "Every task on one worker fails.",
        inject: fail_worker_tasks,
    },
    FaultEvent {
        at: 0.65,
        text: "The store is down.",
        inject: stop_store,
    },
    FaultEvent {
        at: 0.80,
        text: "The store is up again.",
        inject: restore_store,
    },
];

/// Injects all faults at their times.
pub fn run(context: &Arc<Context>, started: Instant, time: Duration, quiet: bool) {
    for fault in FAULT_SCHEDULE {
        let due = started + time.mul_f64(fault.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if !quiet {
            println!("{:6.1} s  {}", started.elapsed().as_secs_f64(), fault.text);
        }
        (fault.inject)(context);
    }
}

/// The list shows the server as leaving; two seconds later the server itself refuses requests.
fn drain_backend(context: &Context) {
    context.fleet.platform.registry.mark_leaving("s001");
    thread::sleep(Duration::from_secs(2));
    context.fleet.platform.backends[1].set_faults(backend::Faults {
        leaving: true,
        ..backend::Faults::default()
    });
}

fn cut_backend(context: &Context) {
    context.fleet.platform.backends[2].set_faults(backend::Faults {
        cut: 3,
        dropped: 3,
        ..backend::Faults::default()
    });
}

fn lose_store_replies(context: &Context) {
    context
        .fleet
        .platform
        .store
        .core()
        .set_faults(store::Faults {
            lost: 4,
            ..store::Faults::default()
        });
}

/// Kills the box whose scheduler owns the first hall's cell, and starts another box.
fn kill_box(context: &Context) {
    let Some(mut dead) = context.fleet.take_owner(&context.fleet.deploy.hall(0)) else {
        return context.breach("the cell had no owner before its box was killed");
    };
    dead.kill();
    // The platform notices the loss with a delay.
    thread::sleep(Duration::from_millis(500));
    context.fleet.platform.registry.remove(&dead.name);
    if let Err(error) = context.fleet.add("b9", dead.hall.clone()) {
        context.breach(&format!("the new box did not start: {error}"));
    }
    // The gate of the killed box completes its requests in flight.
    if !dead.gate.stop(Duration::ZERO, STOP_TIMEOUT) {
        context.breach(GATE_ABORT_BREACH);
    }
}

fn restart_worker(context: &Context) {
    context
        .fleet
        .platform
        .worker_set
        .with("w003", Ledger::reboot);
}

fn fail_worker_tasks(context: &Context) {
    context
        .fleet
        .platform
        .worker_set
        .with("w005", |ledger| ledger.faults.failing = true);
}

fn stop_store(context: &Context) {
    context
        .fleet
        .platform
        .store
        .core()
        .set_faults(store::Faults {
            down: true,
            ..store::Faults::default()
        });
}

fn restore_store(context: &Context) {
    context
        .fleet
        .platform
        .store
        .core()
        .set_faults(store::Faults::default());
}
