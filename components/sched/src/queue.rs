//! The job queues of a cell by class, and the allocations of each class and team.

use {
    infra::Size,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// The queue of one class.
#[derive(Debug, Default)]
pub struct ClassQueue {
    /// Jobs with ready tasks, in the order in which they were queued.
    pub jobs: VecDeque<Arc<str>>,
    /// Allocation of its running tasks.
    pub used: Size,
    /// Number of its running tasks.
    pub running: u32,
}

/// All queues of a cell.
#[derive(Debug, Default)]
pub struct Queues {
    classes: BTreeMap<Arc<str>, ClassQueue>,
    team_usage: BTreeMap<Arc<str>, Size>,
}

impl Queues {
    /// Returns the queue of a class, created if needed.
    pub fn class_mut(&mut self, class: &Arc<str>) -> &mut ClassQueue {
        self.classes.entry(class.clone()).or_default()
    }

    /// Returns all queues by class.
    pub fn classes(&self) -> &BTreeMap<Arc<str>, ClassQueue> {
        &self.classes
    }

    /// Returns the allocation of a team's running tasks.
    pub fn team_usage(&self, team: &str) -> Size {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Adds a started task to the usage of its class and team.
    pub fn add_running(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let queue = self.class_mut(class);
        queue.used = queue.used.plus(size);
        queue.running += 1;
        if let Some(team) = team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(size);
        }
    }

    /// Subtracts an ended task from the usage of its class and team.
    pub fn remove_running(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let queue = self.class_mut(class);
        queue.used = queue.used.minus(size);
        queue.running = queue.running.saturating_sub(1);
        if let Some(team) = team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.minus(size);
        }
    }

    /// Recomputes the usage of each team, since classes may have moved to other teams.
    pub fn recount_teams<'a>(&mut self, team_of: impl Fn(&str) -> Option<&'a Arc<str>>) {
        self.team_usage.clear();
        for (class, queue) in &self.classes {
            let Some(team) = team_of(class) else { continue };
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(queue.used);
        }
    }
}
