//! What callers were told, by job, and when there was trouble. All times are microseconds of the run.

use std::collections::BTreeMap;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;
/// A time that has not come.
pub const NEVER: Micros = Micros::MAX;

/// What a caller asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To take the job.
    Submit,
    /// To cancel it.
    Cancel,
    /// For its state.
    State,
}

/// One request of a caller, and its answer.
#[derive(Debug, Clone)]
pub struct Said {
    /// What was asked.
    pub asked: Asked,
    /// The number of the box.
    pub to: usize,
    /// When it was sent.
    pub sent: Micros,
    /// When the answer came, or the connection broke.
    pub heard: Micros,
    /// The status of the answer; 0 for none.
    pub status: u16,
    /// The state that the answer shows; empty for none.
    pub state: String,
    /// The box had been untroubled for some time when this was sent, and until it was answered.
    pub calm: bool,
}

impl Said {
    /// True when the box says that the request was surely not carried out.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    fn is_done(&self, asked: Asked) -> bool {
        self.asked == asked && self.status == 200
    }
}

/// One job and all that was said about it.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// Its name.
    pub id: String,
    /// Tasks of each step; each step but the first comes after the one before.
    pub steps: Vec<u32>,
    /// It runs until it is cancelled.
    pub lasting: bool,
    /// The step and the number of a task that crashes its workers.
    pub crashing: Option<(usize, u32)>,
    /// All requests, in the order in which they were sent.
    pub said: Vec<Said>,
}

impl Job {
    /// When it was first confirmed to be taken.
    pub fn accepted(&self) -> Option<Micros> {
        self.first(|said| said.is_done(Asked::Submit))
    }

    /// When its cancellation was first confirmed.
    pub fn cancelled(&self) -> Option<Micros> {
        self.first(|said| said.is_done(Asked::Cancel))
    }

    /// When it was first shown so.
    pub fn shown(&self, state: &str) -> Option<Micros> {
        self.first(|said| said.state == state)
    }

    /// True when someone wanted to cancel it.
    pub fn is_unwanted(&self) -> bool {
        self.said.iter().any(|said| said.asked == Asked::Cancel)
    }

    fn first(&self, is_so: impl Fn(&Said) -> bool) -> Option<Micros> {
        let found = self.said.iter().filter(|said| is_so(said));
        found.map(|said| said.heard).min()
    }

    /// The names of the tasks of a step.
    pub fn tasks(&self, step: usize) -> impl Iterator<Item = String> {
        let count = self.steps.get(step).copied().unwrap_or(0);
        (0..count).map(move |index| format!("{}.0.{step}.{index}", self.id))
    }
}

/// All jobs by name.
pub type Jobs = BTreeMap<String, Job>;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The name of the task.
    pub task: String,
    /// The life of the worker.
    pub worker: String,
    /// When it began.
    pub begun: Micros,
    /// When it ended; [`NEVER`] while it goes on.
    pub ended: Micros,
    /// How it ended; empty while it goes on.
    pub how: &'static str,
    /// Its end was acknowledged.
    pub noted: bool,
}

impl Run {
    /// The job and the step of the task.
    pub fn parts(&self) -> (&str, usize) {
        let mut parts = self.task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|text| text.parse().ok());
        (job, step.unwrap_or(0))
    }
}

/// The stretches of trouble, in the order of their starts.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    stretches: Vec<(Micros, Micros)>,
}

impl Trouble {
    /// One stretch without an end.
    pub fn always() -> Self {
        Trouble {
            stretches: vec![(0, NEVER)],
        }
    }

    /// Notes that there is trouble now; looks less than `gap` apart are one stretch.
    pub fn note(&mut self, now: Micros, gap: Micros) {
        match self.stretches.last_mut() {
            Some((_, until)) if *until + gap >= now => *until = now,
            _ => self.stretches.push((now, now)),
        }
    }

    /// True when there was none at all in this time.
    pub fn is_calm(&self, from: Micros, to: Micros) -> bool {
        let mut stretches = self.stretches.iter();
        !stretches.any(|(start, end)| *start <= to && *end >= from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn trouble_is_calm_between() {
        let mut trouble = Trouble::default();
        for now in [10, 12, 14, 30] {
            trouble.note(now, 5);
        }
        assert!(!trouble.is_calm(0, 10));
        assert!(!trouble.is_calm(13, 13));
        assert!(trouble.is_calm(15, 29));
        assert!(trouble.is_calm(31, 100));
    }
}
