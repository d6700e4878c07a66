//! Decides which cells this process claims, and which owners it monitors.

use {
    super::{Owned, Scheduler, Shared},
    crate::{cell_selection, claim::CellOwner, directory::Summary},
    infra::boxes::{Item, Kind, State},
    members::owner,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long an assignment must be stable before a cell is moved from a healthy owner. A cell that
/// was yielded is not claimed again within this time either.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A call that exchanges summaries with another scheduler.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the box.
    pub name: Arc<str>,
    /// Base URL of its scheduler.
    pub url: Arc<str>,
    /// The requested cell; `None` for all cells.
    pub cell: Option<Arc<str>>,
}

impl Scheduler {
    /// Publishes summaries of the owned cells to the directory, with the next heartbeat.
    pub(super) fn publish_summaries(&mut self, now: Instant) {
        let mut summaries = Vec::new();
        for (name, owned) in &mut self.cells {
            owned.heartbeat_count += 1;
            summaries.push(summary(name, owned, &self.shared, now));
        }
        self.directory.merge(summaries, now);
    }

    /// Merges the summaries of another process, and yields owned cells that have a newer epoch.
    pub fn merge(&mut self, summaries: Vec<Summary>, now: Instant) {
        self.directory.merge(summaries, now);
        let older = |name: &Arc<str>, owned: &Owned| {
            self.directory
                .get(name)
                .is_some_and(|known| known.epoch > owned.cell.epoch())
        };
        let superseded: Vec<Arc<str>> = self
            .cells
            .iter()
            .filter(|(name, owned)| older(name, owned))
            .map(|(name, _)| name.clone())
            .collect();
        for name in superseded {
            self.yield_cell(&name, "another box has a newer epoch", now);
        }
    }

    /// Returns the known summaries, of one cell or of all.
    pub fn summaries(&self, want: Option<&str>) -> Vec<Summary> {
        match want {
            Some(cell) => self.directory.get(cell).cloned().into_iter().collect(),
            None => self.directory.all(),
        }
    }

    /// Returns the live boxes with a scheduler that are not suspected, including this box.
    fn available_boxes(&self, now: Instant) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for item in self.list.of_kind(Kind::Entry) {
            let reachable =
                item.name == self.shared.name || !self.directory.is_suspect(&item.name, now);
            if item.state == State::Live && item.url("sched").is_some() && reachable {
                names.push(item.name.clone());
            }
        }
        names
    }

    /// Returns the cells that this process should take over.
    pub fn cells_to_claim(&mut self, now: Instant) -> Vec<Arc<str>> {
        let just_started = |since| now <= since + SETTLE_TIME / 2;
        if self.stopping || self.first_listing.is_none_or(just_started) {
            return Vec::new();
        }
        let mut claims = std::mem::take(&mut self.handovers);
        let cells = cell_selection::cells(&self.list);
        let owners = owner::assign(&cells, &self.available_boxes(now));
        for cell in cells {
            if owners.get(&cell) != Some(&self.shared.name) {
                self.assigned.remove(&cell);
                continue;
            }
            let since = *self.assigned.entry(cell.clone()).or_insert(now);
            if self.cells.contains_key(&cell) || claims.contains(&cell) {
                continue;
            }
            // A recently yielded cell is left to its new owner until that owner can be known here,
            // so that two boxes do not take the cell from each other in turns.
            let recently = |yielded: &Instant| now < *yielded + SETTLE_TIME;
            if self.yielded.get(&cell).is_some_and(recently) {
                continue;
            }
            // An unreachable owner is replaced at once, a healthy one when the assignment is
            // stable.
            if !self.directory.is_fresh(&cell, now) || now > since + SETTLE_TIME {
                claims.push(cell);
            }
        }
        claims
    }

    /// Records that the owner of a cell has handed it over.
    pub fn accept_handover(&mut self, cell: Arc<str>) {
        self.handovers.push(cell);
    }

    /// Returns the health checks of this process: the first successor of a cell monitors its owner,
    /// the second successor monitors both.
    pub fn watch_targets(&self, now: Instant) -> Vec<Target> {
        let cells = cell_selection::cells(&self.list);
        let names = self.live_boxes();
        let assigned = owner::assign(&cells, &self.available_boxes(now));
        let mut targets = Vec::new();
        for cell in &cells {
            let owner_name = self.directory.get(cell).map(|known| known.owner.clone());
            let Some(first) = owner_name.or_else(|| assigned.get(cell).cloned()) else {
                continue;
            };
            let assigned_without = |excluded: &[&Arc<str>]| {
                let remaining: Vec<Arc<str>> = names
                    .iter()
                    .filter(|name| !excluded.contains(name))
                    .cloned()
                    .collect();
                owner::assign(&cells, &remaining).get(cell).cloned()
            };
            let Some(second) = assigned_without(&[&first]) else {
                continue;
            };
            let third = assigned_without(&[&first, &second]);
            if second == self.shared.name {
                targets.extend(self.target_for(&first, cell));
            }
            if third.as_ref() == Some(&self.shared.name) {
                targets.extend(self.target_for(&first, cell));
                targets.extend(self.target_for(&second, cell));
            }
        }
        targets
    }

    fn live_boxes(&self) -> Vec<Arc<str>> {
        let live = |item: &&Item| item.state == State::Live && item.url("sched").is_some();
        self.list
            .of_kind(Kind::Entry)
            .filter(live)
            .map(|item| item.name.clone())
            .collect()
    }

    fn target_for(&self, name: &Arc<str>, cell: &Arc<str>) -> Option<Target> {
        if *name == self.shared.name {
            return None;
        }
        let item = self
            .list
            .of_kind(Kind::Entry)
            .find(|item| item.name == *name)?;
        Some(Target {
            name: name.clone(),
            url: item.url("sched")?.clone(),
            cell: Some(cell.clone()),
        })
    }

    /// Returns the other live boxes with a scheduler.
    pub fn exchange_targets(&self) -> Vec<Target> {
        let mut targets = Vec::new();
        for item in self.list.of_kind(Kind::Entry) {
            let Some(url) = item.url("sched") else {
                continue;
            };
            if item.state == State::Live && item.name != self.shared.name {
                targets.push(Target {
                    name: item.name.clone(),
                    url: url.clone(),
                    cell: None,
                });
            }
        }
        targets
    }

    /// Records whether another scheduler answered a call.
    pub fn record_call(&mut self, name: &Arc<str>, answered: bool, now: Instant) {
        self.directory.record_call(name, answered, now);
    }

    /// Returns the box that should take over a cell when this one stops.
    pub fn successor(&self, cell: &Arc<str>, now: Instant) -> Option<Target> {
        let cells = cell_selection::cells(&self.list);
        let mut alive = self.available_boxes(now);
        alive.retain(|name| *name != self.shared.name);
        let name = owner::assign(&cells, &alive).get(cell).cloned()?;
        self.target_for(&name, cell)
    }
}

fn summary(name: &Arc<str>, owned: &Owned, shared: &Shared, now: Instant) -> Summary {
    let cell = &owned.cell;
    let workers = cell.fleet.workers();
    let aside = workers
        .iter()
        .filter(|worker| worker.listed && !worker.is_schedulable(now))
        .count();
    Summary {
        cell: name.clone(),
        epoch: cell.epoch(),
        beat: owned.heartbeat_count,
        owner: shared.name.clone(),
        url: shared.url.clone(),
        holding: cell.is_active(),
        workers: workers.iter().filter(|worker| worker.listed).count() as u32,
        aside: aside as u32,
        total: cell.fleet.total(),
        free: cell.fleet.free(now),
        queued: cell.queued_tasks(),
        running: cell.running.len() as u32,
        starts: cell.counts.starts,
        finished: cell.counts.finished,
        evictions: cell.counts.evictions,
    }
}
