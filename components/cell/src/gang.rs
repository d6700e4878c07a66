//! Placement of gangs: steps whose tasks start all together or not at all.

use {
    crate::{
        cell::{Cell, Rank},
        choose::cheapest,
        worker::{TaskKey, Worker},
    },
    job::{Address, Phase, Step},
    std::{collections::HashMap, sync::Arc},
};

/// A place and the worker chosen for it.
type Choice = (usize, Arc<str>);

/// Constraints for one attempt to place a gang.
struct Site {
    /// The rack to use; any if `None`.
    rack: Option<Arc<str>>,
    /// Suspected members go to separate workers, so that the next crash shows which of them caused
    /// it.
    is_separate: bool,
}

impl Cell {
    /// Places all members of a gang with one run number, or none.
    pub(crate) fn place_gang(
        &mut self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        now: u64,
    ) {
        let left = self.jobs.get(&rank.id).map_or(0, |job| {
            job.progress.remaining_tasks(address.time, address.step)
        });
        let has_unpersisted_crashes =
            |&place: &usize| self.has_unpersisted_crashes(&rank.id, place);
        let is_delayed =
            |&place: &usize| self.is_delayed(&rank.id, place) || self.is_unweighed(&rank.id, place);
        let is_blocked = self.has_task_over_limit(&rank.id)
            || places.iter().any(has_unpersisted_crashes)
            || places.iter().any(is_delayed);
        if places.len() < left as usize || is_blocked {
            self.mark_suspects_unplaceable(&rank.id, self.places(rank, address));
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
        self.mark_suspects_unplaceable(&rank.id, self.places(rank, address));
        self.request_advice(rank, address, step, now);
    }

    /// Stops the other members of a gang if this one surely does not start: they would only wait for
    /// it, and no member starts again before the last of them has ended.
    pub(crate) fn stop_gang(&mut self, key: &TaskKey, run: u64, now: u64) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if !job.progress.step(key.place).gang {
            return;
        }
        let address = job.progress.submission.spec.address(key.place);
        let mut members = Vec::new();
        for place in job.progress.places(address.time, address.step) {
            let member = TaskKey {
                job: key.job.clone(),
                place,
            };
            if let Phase::Placed(worker) = &job.progress.tasks[place].phase
                && let Some(slot) = self.slot(worker, &member)
                && slot.run == run
                && slot.stopping.is_none()
            {
                members.push((worker.clone(), member));
            }
        }
        for (worker, member) in members {
            self.stop(&worker, &member, now);
        }
    }

    /// Gives all members the same checkpoint to resume from; the checkpoint of any member will do.
    fn share_checkpoint(&mut self, rank: &Rank, places: &[usize]) {
        let Some(job) = self.jobs.get_mut(&rank.id) else {
            return;
        };
        let tasks = &mut job.progress.tasks;
        let saved = places
            .iter()
            .find_map(|&place| tasks[place].checkpoint.clone());
        for &place in places {
            tasks[place].checkpoint = saved.clone();
        }
    }

    /// Returns the attempts in order: on each rack if the step prefers one rack, then on all
    /// workers. With suspected members, each is first tried with suspects on separate workers.
    fn sites(&self, rank: &Rank, places: &[usize], step: &Step) -> Vec<Site> {
        let mut racks = Vec::new();
        if step.one_rack {
            let racks_of_workers = self.workers.values().map(|worker| worker.entry.rack());
            let mut names: Vec<&str> = racks_of_workers.collect();
            names.sort_unstable();
            names.dedup();
            racks.extend(names.into_iter().map(|name| Some(name.into())));
        }
        racks.push(None);
        let is_suspect = |&place: &usize| self.suspicion(&rank.id, place).needs_trial();
        // Suspects start together with the other members or not at all, and only a run can clear
        // them.
        let separations: &[bool] = match places.iter().any(is_suspect) {
            true => &[true, false],
            false => &[false],
        };
        let mut sites = Vec::new();
        for rack in racks {
            for &is_separate in separations {
                let rack = rack.clone();
                sites.push(Site { rack, is_separate });
            }
        }
        sites
    }

    /// Chooses workers for all members, each as if the earlier ones were placed already.
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
            let is_accepted = |id: &Arc<str>, worker: &Worker| {
                let is_on_rack = site
                    .rack
                    .as_ref()
                    .is_none_or(|rack| &**rack == worker.entry.rack());
                let before = taken.get(id).copied().unwrap_or_default();
                let is_alone = before == 0 || !site.is_separate || !suspicion.needs_trial();
                is_on_rack
                    && is_alone
                    && self.allows_trial(id, suspicion)
                    && job.is_advised(address, id, now)
                    && self.is_feasible(job, address, image, worker, before, now)
            };
            let cost = |worker: &Worker| self.cost(step, image, worker);
            let id = cheapest(self.workers.iter(), is_accepted, cost)?;
            *taken.entry(id.clone()).or_default() += 1;
            choices.push((place, id));
        }
        Some(choices)
    }
}
