//! Which cells this process is to own, and whom it watches over.

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

/// How long an assignment must stand before a cell is moved without need.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// One call that keeps the directory fresh.
#[derive(Debug, Clone)]
pub struct Target {
    /// The box.
    pub name: Arc<str>,
    /// The base address of its scheduler.
    pub url: Arc<str>,
    /// The cell asked for; `None` for all.
    pub cell: Option<Arc<str>>,
}

impl Scheduler {
    /// Puts the cells owned here into the directory, with their next beat.
    pub(super) fn publish_summaries(&mut self, now: Instant) {
        let mut summaries = Vec::new();
        for (name, owned) in &mut self.cells {
            owned.heartbeat += 1;
            summaries.push(summary(name, owned, &self.shared, now));
        }
        self.directory.merge(summaries, now);
    }

    /// Takes summaries over that another process knows, and gives up cells that have a newer owner.
    pub fn merge(&mut self, summaries: Vec<Summary>, now: Instant) {
        self.directory.merge(summaries, now);
        let older = |name: &Arc<str>, owned: &Owned| {
            self.directory
                .get(name)
                .is_some_and(|known| known.epoch > owned.cell.epoch())
        };
        let lost: Vec<Arc<str>> = self
            .cells
            .iter()
            .filter(|(name, owned)| older(name, owned))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.yield_cell(&name, "another has a newer epoch", now);
        }
    }

    /// The summaries known here, of one cell or of all.
    pub fn summaries(&self, want: Option<&str>) -> Vec<Summary> {
        match want {
            Some(cell) => self.directory.get(cell).cloned().into_iter().collect(),
            None => self.directory.all(),
        }
    }

    /// The live boxes that have a scheduler and are not suspected, with this one.
    fn available_boxes(&self, now: Instant) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for item in self.list.of_kind(Kind::Entry) {
            let answers =
                item.name == self.shared.name || !self.directory.is_suspect(&item.name, now);
            if item.state == State::Live && item.url("sched").is_some() && answers {
                names.push(item.name.clone());
            }
        }
        names
    }

    /// The cells to be taken over by this process now.
    pub fn cells_to_claim(&mut self, now: Instant) -> Vec<Arc<str>> {
        let young = |since| now <= since + SETTLE_TIME / 2;
        if self.stopping || self.first_listing.is_none_or(young) {
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
            // Who took it from here lately is heard of first, so that two do not take it in turns.
            let lately = |at: &Instant| now < *at + SETTLE_TIME;
            if self.yielded.get(&cell).is_some_and(lately) {
                continue;
            }
            // A silent owner is replaced at once; one that lives, once the assignment is settled.
            if !self.directory.is_fresh(&cell, now) || now > since + SETTLE_TIME {
                claims.push(cell);
            }
        }
        claims
    }

    /// Notes that a cell was handed over by its owner.
    pub fn accept_handover(&mut self, cell: Arc<str>) {
        self.handovers.push(cell);
    }

    /// The calls by which this process watches over the owners whose successor it is: the first
    /// successor watches the owner, the second watches both.
    pub fn watch_targets(&self, now: Instant) -> Vec<Target> {
        let cells = cell_selection::cells(&self.list);
        let names = self.live_boxes();
        let assigned = owner::assign(&cells, &self.available_boxes(now));
        let mut targets = Vec::new();
        for cell in &cells {
            let holder = self.directory.get(cell).map(|known| known.owner.clone());
            let Some(first) = holder.or_else(|| assigned.get(cell).cloned()) else {
                continue;
            };
            let without = |gone: &[&Arc<str>]| {
                let left: Vec<Arc<str>> = names
                    .iter()
                    .filter(|name| !gone.contains(name))
                    .cloned()
                    .collect();
                owner::assign(&cells, &left).get(cell).cloned()
            };
            let Some(second) = without(&[&first]) else {
                continue;
            };
            let third = without(&[&first, &second]);
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

    /// The other boxes that have a scheduler.
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

    /// Notes how a call on another scheduler went.
    pub fn record_call(&mut self, name: &Arc<str>, answered: bool, now: Instant) {
        self.directory.record_call(name, answered, now);
    }

    /// The successor to hand a cell over to.
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
    let slots = cell.fleet.workers();
    let aside = slots
        .iter()
        .filter(|slot| slot.listed && !slot.is_schedulable(now))
        .count();
    Summary {
        cell: name.clone(),
        epoch: cell.epoch(),
        beat: owned.heartbeat,
        owner: shared.name.clone(),
        url: shared.url.clone(),
        holding: cell.is_active(),
        workers: slots.iter().filter(|slot| slot.listed).count() as u32,
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
