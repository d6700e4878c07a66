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

/// Where a gang may be placed.
struct Site {
    /// The rack; any where there is none.
    rack: Option<Arc<str>>,
    /// Suspects among the members go to workers of their own, so that the next crash tells them apart.
    is_apart: bool,
}

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
        let has_unpersisted_crashes =
            |&place: &usize| self.has_unpersisted_crashes(&rank.id, place);
        let is_held =
            self.has_task_over_limit(&rank.id) || places.iter().any(has_unpersisted_crashes);
        if places.len() < left as usize || is_held {
            return;
        }
        for site in self.sites(rank, places, step) {
            let Some(choices) = self.choose_gang(rank, address, places, step, &site, now) else {
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
        self.request_advice(rank, address, step, now);
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

    /// Where to try a gang: on each rack by itself where it wants one rack, then on all together.
    fn sites(&self, rank: &Rank, places: &[usize], step: &Step) -> Vec<Site> {
        let mut racks = Vec::new();
        if step.one_rack {
            let own = self.workers.values().map(|worker| worker.entry.rack());
            let mut names: Vec<&str> = own.collect();
            names.sort_unstable();
            names.dedup();
            racks.extend(names.into_iter().map(|name| Some(name.into())));
        }
        racks.push(None);
        let is_suspect = |&place: &usize| self.suspicion(&rank.id, place).needs_trial();
        // Suspects start together with the others or never, and just a run can clear them.
        let ways: &[bool] = match places.iter().any(is_suspect) {
            true => &[true, false],
            false => &[false],
        };
        let mut sites = Vec::new();
        for rack in racks {
            for &is_apart in ways {
                let rack = rack.clone();
                sites.push(Site { rack, is_apart });
            }
        }
        sites
    }

    /// Chooses workers for all members as if those before were placed already.
    fn choose_gang(
        &self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        site: &Site,
        now: u64,
    ) -> Option<Vec<Choice>> {
        let job = self.jobs.get(&rank.id)?;
        let image = self.image(step);
        let mut taken: HashMap<Arc<str>, u64> = HashMap::new();
        let mut choices = Vec::new();
        for &place in places {
            let suspicion = self.suspicion(&rank.id, place);
            let will_do = |id: &Arc<str>, worker: &Worker| {
                let is_here = site
                    .rack
                    .as_ref()
                    .is_none_or(|rack| &**rack == worker.entry.rack());
                let before = taken.get(id).copied().unwrap_or_default();
                let is_alone = before == 0 || !site.is_apart || !suspicion.needs_trial();
                is_here
                    && is_alone
                    && self.allows_trial(id, suspicion)
                    && job.is_advised(address, id, now)
                    && self.is_feasible(job, address, image, worker, before, now)
            };
            let cost = |worker: &Worker| self.cost(step, image, worker);
            let id = cheapest(self.workers.iter(), will_do, cost)?;
            *taken.entry(id.clone()).or_default() += 1;
            choices.push((place, id));
        }
        Some(choices)
    }
}
