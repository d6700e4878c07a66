//! The specification of a job as submitted by a caller (steps, resource requirements, dependencies,
//! timetable) and its validation.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The maximum length of a specification's text, in bytes, as documented in the callers' API.
pub const MAX_TEXT: usize = 4_000;
/// The maximum number of steps of a job, an order of magnitude above what callers send.
pub const MAX_STEPS: usize = 64;
/// The maximum number of tasks of a job over all its times; it bounds the size of a record.
pub const MAX_TASKS: usize = 20_000;

/// The maximum of each resource that a task may request (thousandths of a core, MiB, accelerators): a
/// thousand times the users' largest machine. Sums of such amounts cannot overflow.
const MAX_RESOURCE: u64 = 1_000_000_000;
/// The maximum estimated run time of a task, in milliseconds: one year.
const MAX_ESTIMATE: u64 = 366 * 86_400_000;
/// The latest time at which a task may be due, in milliseconds since 1970: about 30,000 years ahead.
/// It bounds the last time of a timetable, so that no time overflows.
pub const MAX_UNIX_MS: u64 = 1_000_000_000_000_000;

/// The id of a job, chosen by its caller: 16 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(Arc<str>);

impl Id {
    /// Parses an id; `None` unless it is 16 hexadecimal digits.
    pub fn new(text: &str) -> Option<Self> {
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        (text.len() == 16 && hex).then(|| Id(text.into()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An amount of each resource: what a task requires, or what a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Size {
    /// Whether each resource fits into the free amount.
    pub fn fits(self, free: Size) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.gpus <= free.gpus
    }

    /// Returns the sum of each resource.
    pub fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpus: self.gpus + other.gpus,
        }
    }

    /// Returns the difference of each resource, at least 0.
    pub fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// A step: a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources of each task.
    pub size: Size,
    /// The caller's estimate of a task's run time, in milliseconds.
    pub estimate: u64,
    /// Numbers of the earlier steps that this step depends on.
    pub after: Vec<u16>,
    /// Tasks write checkpoints, from which they can resume on another worker.
    pub checkpoints: bool,
    /// Gang scheduling: tasks run only all at the same time.
    pub gang: bool,
    /// Tasks run slower when they are spread over more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; tasks run slower on other racks.
    pub rack: Option<Arc<str>>,
    /// The maximum number of the step's tasks on one worker; 0 means no limit.
    pub spread: u32,
    /// Several copies of a task may run at the same time.
    pub copies: bool,
    /// Long-running: tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that tasks run; tasks with the same image are assumed to have the same load profile.
    pub image: Option<Arc<str>>,
    /// The tail latency target of a long-running task that serves users' requests, in milliseconds;
    /// 0 for none.
    pub target: u64,
    /// Best-effort: tasks reserve no processors and use those left idle by other tasks.
    pub fills: bool,
    /// The disruption budget of a long-running step: how many of its tasks the scheduler may stop at
    /// the same time; `None` when not given.
    pub may_miss: Option<u32>,
}

/// The times at which a job with a timetable runs its steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// The number of times.
    pub times: u32,
    /// The first time, in milliseconds since 1970.
    pub first: u64,
    /// The interval between two times, in milliseconds.
    pub interval: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The caller's text, passed unchanged to each task.
    pub text: Arc<str>,
    /// The steps, each after the steps it depends on.
    pub steps: Vec<Step>,
    /// The timetable; `None` runs the steps once, immediately.
    pub timetable: Option<Timetable>,
}

/// The position of a task within its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The number of the time in the timetable, from 0.
    pub time: u32,
    /// The number of the step, from 0.
    pub step: u16,
    /// The index of the task within the step, from 0.
    pub index: u32,
}

/// Why a specification is invalid. The doc comment of a variant is its error message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InvalidSpec {
    /// the specification has more than 4,000 bytes
    TextTooLong,
    /// a job needs 1 to 64 steps
    StepCount,
    /// step {0} has no tasks
    NoTasks(usize),
    /// step {0} may only come after earlier steps
    StepOrder(usize),
    /// step {0} asks for no processors
    NoProcessors(usize),
    /// the job has more than 20,000 tasks
    TooManyTasks,
    /// a timetable with more than one time needs an interval
    NoInterval,
    /// step {0} asks for more than any worker has, or takes longer than any task
    OutOfRange(usize),
    /// a time of the timetable is later than 1,000,000,000,000,000 ms after 1970
    TimetableOutOfRange,
}

impl Step {
    /// Whether all amounts are within the bounds under which sums cannot overflow.
    fn is_in_range(&self) -> bool {
        let Size { cpu, memory, gpus } = self.size;
        let largest = cpu.max(memory).max(gpus);
        largest <= MAX_RESOURCE && self.estimate.max(self.target) <= MAX_ESTIMATE
    }
}

impl Timetable {
    /// Whether all of its times can be represented and are at most [`MAX_UNIX_MS`].
    fn is_in_range(&self) -> bool {
        let last = u64::from(self.times.saturating_sub(1))
            .checked_mul(self.interval)
            .and_then(|span| span.checked_add(self.first));
        last.is_some_and(|last| last.max(self.interval) <= MAX_UNIX_MS)
    }
}

impl std::error::Error for InvalidSpec {}

impl Spec {
    /// Validates a specification sent by a caller.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), InvalidSpec> {
        if self.text.len() > MAX_TEXT {
            return Err(InvalidSpec::TextTooLong);
        }
        self.validate_bounds()?;
        for (number, step) in self.steps.iter().enumerate() {
            if step.size.cpu == 0 && step.size.gpus == 0 {
                return Err(InvalidSpec::NoProcessors(number));
            }
        }
        if let Some(timetable) = self.timetable
            && timetable.times > 1
            && timetable.interval == 0
        {
            return Err(InvalidSpec::NoInterval);
        }
        Ok(())
    }

    /// Validates what the scheduler relies on, also for specifications read from the store: sums of
    /// amounts cannot overflow, and steps depend only on earlier steps.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate_bounds(&self) -> Result<(), InvalidSpec> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidSpec::StepCount);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(InvalidSpec::NoTasks(number));
            }
            if step.after.iter().any(|&earlier| earlier as usize >= number) {
                return Err(InvalidSpec::StepOrder(number));
            }
            if !step.is_in_range() {
                return Err(InvalidSpec::OutOfRange(number));
            }
        }
        if self
            .timetable
            .is_some_and(|timetable| !timetable.is_in_range())
        {
            return Err(InvalidSpec::TimetableOutOfRange);
        }
        let tasks = self.tasks_per_time().saturating_mul(self.times() as usize);
        if tasks > MAX_TASKS {
            return Err(InvalidSpec::TooManyTasks);
        }
        Ok(())
    }

    /// Returns the number of times that the steps run; 1 without a timetable.
    pub fn times(&self) -> u32 {
        self.timetable.map_or(1, |timetable| timetable.times.max(1))
    }

    /// Returns the number of tasks of one time.
    pub fn tasks_per_time(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Returns when a time is due, in milliseconds since 1970; 0 without a timetable.
    pub fn due(&self, time: u32) -> u64 {
        self.timetable.map_or(0, |timetable| {
            timetable.first + u64::from(time) * timetable.interval
        })
    }

    /// Whether a step is long-running, so that the job ends only when it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Returns the place of a task, which is its index among all tasks of the job; `None` when there
    /// is no such task.
    pub fn place(&self, address: Address) -> Option<usize> {
        let step = self.steps.get(address.step as usize)?;
        if address.index >= step.count || address.time >= self.times() {
            return None;
        }
        let before: usize = self.steps[..address.step as usize]
            .iter()
            .map(|step| step.count as usize)
            .sum();
        Some(address.time as usize * self.tasks_per_time() + before + address.index as usize)
    }

    /// Returns the address of the task at a place.
    pub fn address(&self, place: usize) -> Address {
        let round = self.tasks_per_time().max(1);
        let mut index = place % round;
        let mut number = 0;
        for (step, current) in self.steps.iter().zip(0u16..) {
            number = current;
            if index < step.count as usize {
                break;
            }
            index -= step.count as usize;
        }
        Address {
            time: (place / round) as u32,
            step: number,
            index: index as u32,
        }
    }

    /// Returns for each step the critical path from its start to the end of the job: the longest sum
    /// of estimates along its dependents, in milliseconds.
    pub fn critical_paths(&self) -> Vec<u64> {
        self.critical_paths_with(|step| step.estimate)
    }

    /// Returns the critical paths if each step takes as long as `length` returns, in milliseconds.
    pub fn critical_paths_with(&self, length: impl Fn(&Step) -> u64) -> Vec<u64> {
        self.critical_paths_by(|_, step| length(step))
    }

    /// Like [`Spec::critical_paths_with`], with the number of each step.
    pub fn critical_paths_by(&self, length: impl Fn(usize, &Step) -> u64) -> Vec<u64> {
        let steps = self.steps.iter().enumerate();
        let lengths: Vec<u64> = steps.map(|(number, step)| length(number, step)).collect();
        let mut paths = lengths.clone();
        for number in (0..self.steps.len()).rev() {
            let path = paths[number];
            for &earlier in &self.steps[number].after {
                let earlier = earlier as usize;
                paths[earlier] = paths[earlier].max(lengths[earlier] + path);
            }
        }
        paths
    }
}
