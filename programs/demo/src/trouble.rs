//! Trouble, at set shares of the time: what fails on an ordinary bad day.

use {
    crate::world::{CUT_OFF, STOP_MOST, World},
    standin::{backend, ledger::Ledger, store},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// One kind of trouble, and when it comes, as a share of the time.
struct Trouble {
    at: f64,
    text: &'static str,
    make: fn(&World),
}

/// The trouble, in its order.
const TROUBLES: [Trouble; 8] = [
    Trouble {
        at: 0.10,
        text: "A backend server is about to leave.",
        make: backend_leaves,
    },
    Trouble {
        at: 0.20,
        text: "A backend server cuts some answers and drops some requests.",
        make: backend_cuts,
    },
    Trouble {
        at: 0.30,
        text: "The store loses some replies after the effect.",
        make: store_loses,
    },
    Trouble {
        at: 0.40,
        text: "A scheduler and a table are killed; their box is replaced.",
        make: box_dies,
    },
    Trouble {
        at: 0.55,
        text: "A worker restarts.",
        make: worker_restarts,
    },
    Trouble {
        at: 0.60,
        text: "Every task on one worker fails.",
        make: worker_fails,
    },
    Trouble {
        at: 0.65,
        text: "The store is down.",
        make: store_down,
    },
    Trouble {
        at: 0.80,
        text: "The store is back.",
        make: store_back,
    },
];

/// Makes all of it.
pub fn run(world: &Arc<World>, started: Instant, time: Duration, quiet: bool) {
    for trouble in TROUBLES {
        let due = started + time.mul_f64(trouble.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if !quiet {
            println!(
                "{:6.1} s  {}",
                started.elapsed().as_secs_f64(),
                trouble.text
            );
        }
        (trouble.make)(world);
    }
}

/// The list shows it as leaving; two seconds later the server itself takes nothing more.
fn backend_leaves(world: &World) {
    world.fleet.platform.registry.mark_leaving("s001");
    thread::sleep(Duration::from_secs(2));
    world.fleet.platform.backends[1].set_faults(backend::Faults {
        leaving: true,
        ..backend::Faults::default()
    });
}

fn backend_cuts(world: &World) {
    world.fleet.platform.backends[2].set_faults(backend::Faults {
        cut: 3,
        dropped: 3,
        ..backend::Faults::default()
    });
}

fn store_loses(world: &World) {
    world.fleet.platform.store.core().set_faults(store::Faults {
        lost: 4,
        ..store::Faults::default()
    });
}

/// The scheduler that owns the first hall's cell goes with its box, and another box comes.
fn box_dies(world: &World) {
    let Some(mut dead) = world.fleet.take_owner(&world.fleet.deploy.hall(0)) else {
        return world.breach("a cell had no owner before any trouble came to it");
    };
    dead.kill();
    // The platform notices late.
    thread::sleep(Duration::from_millis(500));
    world.fleet.platform.registry.remove(&dead.name);
    if let Err(error) = world.fleet.add("b9", dead.hall.clone()) {
        world.breach(&format!("the new box did not start: {error}"));
    }
    // Its gate finishes what is in flight.
    if !dead.gate.stop(Duration::ZERO, STOP_MOST) {
        world.breach(CUT_OFF);
    }
}

fn worker_restarts(world: &World) {
    world.fleet.platform.worker_set.with("w003", Ledger::reboot);
}

fn worker_fails(world: &World) {
    world
        .fleet
        .platform
        .worker_set
        .with("w005", |ledger| ledger.faults.failing = true);
}

fn store_down(world: &World) {
    world.fleet.platform.store.core().set_faults(store::Faults {
        down: true,
        ..store::Faults::default()
    });
}

fn store_back(world: &World) {
    world
        .fleet
        .platform
        .store
        .core()
        .set_faults(store::Faults::default());
}
