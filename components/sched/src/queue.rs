//! The lines of jobs by class, and what each class and team uses.

use {
    infra::Size,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// One class's line.
#[derive(Debug, Default)]
pub struct ClassQueue {
    /// The jobs with tasks that may be started, the first first.
    pub jobs: VecDeque<Arc<str>>,
    /// What its running tasks are committed.
    pub used: Size,
    /// How many of its tasks run.
    pub running: u32,
}

/// All lines of a cell.
#[derive(Debug, Default)]
pub struct Queues {
    classes: BTreeMap<Arc<str>, ClassQueue>,
    team_usage: BTreeMap<Arc<str>, Size>,
}

impl Queues {
    /// A class's line, made when there is none.
    pub fn class_mut(&mut self, class: &Arc<str>) -> &mut ClassQueue {
        self.classes.entry(class.clone()).or_default()
    }

    /// All lines.
    pub fn classes(&self) -> &BTreeMap<Arc<str>, ClassQueue> {
        &self.classes
    }

    /// What a team's running tasks are committed.
    pub fn team_usage(&self, team: &str) -> Size {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// A task of the class starts.
    pub fn add_running(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let line = self.class_mut(class);
        line.used = line.used.plus(size);
        line.running += 1;
        if let Some(team) = team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(size);
        }
    }

    /// A task of the class ended.
    pub fn remove_running(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let line = self.class_mut(class);
        line.used = line.used.minus(size);
        line.running = line.running.saturating_sub(1);
        if let Some(team) = team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.minus(size);
        }
    }

    /// Works out anew what each team uses, after classes may have changed their teams.
    pub fn recount_teams<'a>(&mut self, team_of: impl Fn(&str) -> Option<&'a Arc<str>>) {
        self.team_usage.clear();
        for (class, line) in &self.classes {
            let Some(team) = team_of(class) else { continue };
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(line.used);
        }
    }
}
