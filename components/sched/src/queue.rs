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
pub struct Line {
    /// The jobs with tasks that may be started, the first first.
    pub jobs: VecDeque<Arc<str>>,
    /// What its running tasks are committed.
    pub used: Size,
    /// How many of its tasks run.
    pub running: u32,
}

/// All lines of a cell.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Arc<str>, Line>,
    teams: BTreeMap<Arc<str>, Size>,
}

impl Queue {
    /// A class's line, made when there is none.
    pub fn line(&mut self, class: &Arc<str>) -> &mut Line {
        self.lines.entry(class.clone()).or_default()
    }

    /// All lines.
    pub fn lines(&self) -> &BTreeMap<Arc<str>, Line> {
        &self.lines
    }

    /// What a team's running tasks are committed.
    pub fn team(&self, team: &str) -> Size {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// A task of the class starts.
    pub fn enter(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let line = self.line(class);
        line.used = line.used.plus(size);
        line.running += 1;
        if let Some(team) = team {
            let used = self.teams.entry(team.clone()).or_default();
            *used = used.plus(size);
        }
    }

    /// A task of the class ended.
    pub fn leave(&mut self, class: &Arc<str>, team: Option<&Arc<str>>, size: Size) {
        let line = self.line(class);
        line.used = line.used.minus(size);
        line.running = line.running.saturating_sub(1);
        if let Some(team) = team {
            let used = self.teams.entry(team.clone()).or_default();
            *used = used.minus(size);
        }
    }

    /// Works out anew what each team uses, after classes may have changed their teams.
    pub fn recount<'a>(&mut self, team_of: impl Fn(&str) -> Option<&'a Arc<str>>) {
        self.teams.clear();
        for (class, line) in &self.lines {
            let Some(team) = team_of(class) else { continue };
            let used = self.teams.entry(team.clone()).or_default();
            *used = used.plus(line.used);
        }
    }
}
