//! Gangs: members begin to work when all of one run are there, and end together.

use {
    super::NetSim,
    job::{Address, Id},
    magpie_cell::EndCause,
    std::collections::BTreeMap,
};

/// How long a member waits for the others, in milliseconds.
const GANG_WAIT: u64 = 3_000;

/// The members of one run: their machines and addresses.
type Members = BTreeMap<(Id, u32, u16, u64), Vec<(usize, Address)>>;

impl NetSim {
    /// Lets complete gangs begin, and ends incomplete ones.
    pub(super) fn run_gangs(&mut self) {
        if self.stalls.is_none() {
            return;
        }
        let now = self.now;
        for ((job, _, step, run), members) in self.gang_members() {
            let count = self.submission(&job).spec.steps[step as usize].count as usize;
            for &(machine, address) in &members {
                let machine = &mut self.machines[machine];
                let task = (job.clone(), address);
                let active = machine.runs.get_mut(&task).unwrap();
                let has_waited = now >= active.began + GANG_WAIT;
                match active.waits {
                    Some(work) if members.len() == count => {
                        active.waits = None;
                        active.began = now;
                        active.until = now + work;
                    }
                    Some(_) if has_waited => machine.end(task, run, EndCause::Alone, now),
                    None if members.len() < count => {
                        machine.end(task, run, EndCause::Broken, now);
                    }
                    _ => {}
                }
            }
        }
    }

    fn gang_members(&self) -> Members {
        let mut gangs = Members::new();
        for (number, machine) in self.machines.iter().enumerate() {
            for ((job, address), active) in &machine.runs {
                if !self.submission(job).spec.steps[address.step as usize].gang {
                    continue;
                }
                let gang = (job.clone(), address.time, address.step, active.run);
                gangs.entry(gang).or_default().push((number, *address));
            }
        }
        gangs
    }
}
