//! What operators and relays withdraw from placement for a time: closed data halls, saturated
//! connections and machines under maintenance.

use {
    super::NetSim,
    magpie_cell::{Machine, Wave},
    std::{collections::HashSet, ops::Range, sync::Arc},
};

/// Downtime of a machine under maintenance, in milliseconds.
const MAINTENANCE_TIME: u64 = 1_500;
/// How many machines of a wave may be down at once.
const MAX_DOWN: usize = 8;

/// What is withdrawn, and until when.
#[derive(Debug, Default)]
pub struct Operators {
    halls: Vec<(Arc<str>, u64)>,
    saturated: Vec<(Range<usize>, u64)>,
    waves: Vec<(Wave, u64)>,
    /// The number of waves so far.
    wave_count: u64,
}

/// The name of a data hall.
pub fn hall(number: usize) -> Arc<str> {
    format!("h{number}").into()
}

fn machine_name(number: usize) -> Arc<str> {
    format!("m{number:04}").into()
}

impl Operators {
    pub fn close_hall(&mut self, number: usize, until: u64) {
        self.halls.push((hall(number), until));
    }

    pub fn saturate(&mut self, range: Range<usize>, until: u64) {
        self.saturated.push((range, until));
    }

    pub fn maintain(&mut self, range: Range<usize>, until: u64) {
        self.wave_count += 1;
        let wave = Wave {
            number: self.wave_count,
            machines: range.map(machine_name).collect(),
            limit: MAX_DOWN,
            ..Wave::default()
        };
        self.waves.push((wave, until));
    }
}

impl NetSim {
    /// Passes the current state to the owner, and takes machines down that it has drained.
    pub(super) fn run_operators(&mut self) {
        let now = self.now;
        if self.stalls.is_none() {
            return;
        }
        self.operators.halls.retain(|(_, until)| now < *until);
        self.operators.saturated.retain(|(_, until)| now < *until);
        self.operators.waves.retain(|(_, until)| now < *until);
        let halls = self.operators.halls.iter().map(|(hall, _)| hall.clone());
        self.cell.set_closed_halls(halls.collect());
        let ranges = self.operators.saturated.iter();
        let saturated: HashSet<Arc<str>> = ranges
            .flat_map(|(range, _)| &self.machines[range.clone()])
            .map(|machine| machine.id.clone())
            .collect();
        self.cell.set_backpressured(saturated);
        let waves = self.operators.waves.iter().map(|(wave, _)| wave.clone());
        let waves: Vec<Wave> = waves.collect();
        let machines = self.machines.iter().enumerate();
        let machines: Vec<Machine> = machines
            .map(|(number, machine)| {
                let is_up = machine.returns_at.is_none();
                Machine {
                    name: machine_name(number),
                    up: is_up,
                    in_maintenance: machine.in_maintenance && !is_up,
                    worker: is_up.then(|| machine.name.clone()),
                }
            })
            .collect();
        for order in self.cell.plan_maintenance(&waves, &machines, now) {
            let number: usize = order.machine[1..].parse().unwrap();
            let machine = &mut self.machines[number];
            if machine.returns_at.is_none() {
                machine.crashes_at = Some(now);
                machine.downtime = (MAINTENANCE_TIME, 0);
                machine.in_maintenance = true;
            }
        }
        for status in self.cell.wave_statuses(&waves) {
            let mut known = self.operators.waves.iter_mut();
            if let Some((wave, _)) = known.find(|(wave, _)| wave.number == status.wave) {
                (wave.done, wave.sent, wave.begun) = (status.done, status.sent, status.begun);
            }
        }
    }
}
