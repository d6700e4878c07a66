//! Gangs: tasks of a step that run only all at once.

use {
    crate::{
        cell::{Cell, Rank},
        choose::cheapest,
        worker::Worker,
    },
    job::{Address, Step},
    std::{collections::HashMap, sync::Arc},
};

/// A task and the worker chosen for it.
type Choice = (usize, Arc<str>);

impl Cell {
    /// A gang starts whole or not at all, with one run number.
    pub(crate) fn place_gang(
        &mut self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        now: u64,
    ) {
        let left = self
            .jobs
            .get(&rank.id)
            .map_or(0, |job| job.progress.left(address.time, address.step));
        if places.len() < left as usize || self.is_condemned(&rank.id) {
            return;
        }
        let racks = self.racks(step);
        for rack in racks {
            let Some(choices) = self.choose_gang(rank, address, places, step, &rack, now) else {
                continue;
            };
            let runs = choices.iter().map(|(place, _)| self.next_run(rank, *place));
            let run = runs.max().unwrap_or(1);
            self.share_checkpoint(rank, places);
            for (place, id) in choices {
                self.start(rank, place, run, &id, now);
            }
            return;
        }
        self.ask(rank, address, step, now);
    }

    /// All members must go on from the same checkpoint; any member's is good.
    fn share_checkpoint(&mut self, rank: &Rank, places: &[usize]) {
        let Some(job) = self.jobs.get_mut(&rank.id) else {
            return;
        };
        let tasks = &mut job.progress.tasks;
        let saved = places.iter().find_map(|&place| tasks[place].saved.clone());
        for &place in places {
            tasks[place].saved = saved.clone();
        }
    }

    /// The racks to try for a gang: each by itself where it wants one rack, then all together.
    fn racks(&self, step: &Step) -> Vec<Option<Arc<str>>> {
        let mut racks = Vec::new();
        if step.one_rack {
            let own = self.workers.values().map(|worker| worker.entry.rack());
            let mut names: Vec<&str> = own.collect();
            names.sort_unstable();
            names.dedup();
            racks.extend(names.into_iter().map(|name| Some(name.into())));
        }
        racks.push(None);
        racks
    }

    /// Chooses workers for all members as if those before were placed already.
    fn choose_gang(
        &self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        rack: &Option<Arc<str>>,
        now: u64,
    ) -> Option<Vec<Choice>> {
        let job = self.jobs.get(&rank.id)?;
        let image = self.image(step);
        let mut taken: HashMap<Arc<str>, u64> = HashMap::new();
        let mut choices = Vec::new();
        for &place in places {
            let suspicion = self.suspicion(&rank.id, place);
            let will_do = |id: &Arc<str>, worker: &Worker| {
                let is_here = rack
                    .as_ref()
                    .is_none_or(|rack| &**rack == worker.entry.rack());
                let before = taken.get(id).copied().unwrap_or_default();
                let is_alone = !suspicion.is_tried() || before == 0;
                is_here
                    && is_alone
                    && self.may_try(id, suspicion)
                    && job.is_advised(address, id, now)
                    && self.suits(job, address, image, worker, before, now)
            };
            let cost = |worker: &Worker| self.cost(step, image, worker);
            let id = cheapest(self.workers.iter(), will_do, cost)?;
            *taken.entry(id.clone()).or_default() += 1;
            choices.push((place, id));
        }
        Some(choices)
    }
}
