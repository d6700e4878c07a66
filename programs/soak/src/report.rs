//! Prints breaches and the summary of a run.

use {
    crate::{check::Breach, history::Micros, waves::rules, world::World},
    kernel::sync::lock,
    std::path::Path,
};

/// Prints a breach with the history of its job.
pub fn print_breach(world: &World, breach: &Breach) {
    println!("breach: {breach}");
    let mut lines: Vec<(Micros, String)> = Vec::new();
    if let Some(job) = lock(&world.jobs).get(&breach.of) {
        println!("  steps {:?}, long-running {}", job.steps, job.long_running);
        for exchange in &job.exchanges {
            let text = format!(
                "b{} {:?}: {} {} at {} us, fault-free {}",
                exchange.to,
                exchange.kind,
                exchange.status,
                exchange.state,
                exchange.answered,
                exchange.fault_free
            );
            lines.push((exchange.sent, text));
        }
    }
    let (asked, log) = (world.waves.asked(), world.waves.log());
    lines.extend(rules::history(&breach.of, &asked, &log, |time| {
        world.at(time)
    }));
    for run in world.runs() {
        if run.parts().0 != breach.of {
            continue;
        }
        lines.push((
            run.started,
            format!("{} starts on {}", run.task, run.worker),
        ));
        if !run.outcome.is_empty() {
            let (outcome, acknowledged) = (run.outcome, run.acknowledged);
            let text = format!(
                "{} {outcome} on {}, acknowledged {acknowledged}",
                run.task, run.worker
            );
            lines.push((run.ended, text));
        }
    }
    lines.sort();
    for (at, text) in lines {
        println!("  {at:>9} us  {text}");
    }
}

/// Prints one line that summarises the run.
pub fn print_summary(world: &World, seed: u64, stalls: u32, logs: &Path) {
    let jobs = lock(&world.jobs);
    let accepted = jobs.values().filter(|job| job.accepted().is_some()).count();
    let cancelled = jobs.values().filter(|job| job.cancelled().is_some());
    let (total, cancelled) = (jobs.len(), cancelled.count());
    drop(jobs);
    let (runs, versions, crashes) = (world.runs().len(), world.latest(), world.crashes());
    let (stops, closures) = (world.judged_stops(), world.judged_closures());
    let breaches = world.breaches().len();
    let idle = lock(&world.idle);
    let (judged, closing, moments) = (idle.judged.len(), idle.closing.len(), idle.moments);
    drop(idle);
    println!(
        "seed {seed}: {breaches} breaches; {total} jobs, {accepted} accepted, {cancelled} cancelled; {runs} runs, {crashes} crashes under tasks, {stops} stops in calm; {judged} jobs judged for standing still at {moments} moments, {closing} after the load; {closures} halls shut for long; {versions} versions; {stalls} stalls of the stand-ins"
    );
    print_waves(world, seed);
    if judged == 0 {
        println!("seed {seed}: no job was judged for standing still");
    }
    if breaches > 0 {
        println!("seed {seed}: logs of the boxes lie in {}", logs.display());
    }
}

/// Prints one line about the maintenance waves, if the run has any.
fn print_waves(world: &World, seed: u64) {
    if !world.waves.is_used() {
        return;
    }
    let (asked, log) = (world.waves.asked(), world.waves.log());
    let completed = asked.iter().filter(|(_, asked)| asked.completed.is_some());
    println!(
        "seed {seed}: {} waves requested, {} completed; {} orders, {} machines down for maintenance",
        asked.len(),
        completed.count(),
        log.orders.len(),
        log.maintenance.len()
    );
}
