//! What a caller submits: steps of tasks, their needs and their order.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The longest text of a specification, in bytes; the callers' interface states it.
pub const MAX_TEXT: usize = 4_000;
/// The most steps of a job; a bound of our own, an order of magnitude above what callers send.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a job over all its times; a bound of our own that keeps a record small.
pub const MAX_TASKS: usize = 20_000;

/// The most processors, in thousandths of a core, memory, in MiB, and accelerators that a task may ask for: a thousand times
/// what the largest machine of the users has. Sums of them stay far below what numbers hold.
const MAX_AMOUNT: u64 = 1_000_000_000;
/// The longest estimate of a task, in milliseconds: a year.
const MAX_ESTIMATE: u64 = 366 * 86_400_000;
/// The latest time that a timetable names, in milliseconds since 1970: some 30,000 years on.
const MAX_WALL: u64 = 1_000_000_000_000_000;

/// The name of a job, chosen by its caller: 16 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(Arc<str>);

impl Id {
    /// A name from its text; `None` when it is not 16 hexadecimal digits.
    pub fn new(text: &str) -> Option<Self> {
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        (text.len() == 16 && hex).then(|| Id(text.into()))
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What one task takes of a worker.
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
    /// True when this fits into what is free.
    pub fn fits(self, free: Size) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.gpus <= free.gpus
    }

    /// The sum of both.
    pub fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpus: self.gpus + other.gpus,
        }
    }

    /// What is left of this without the other, never below nothing.
    pub fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Size,
    /// The caller's guess of a task's run time, in milliseconds.
    pub estimate: u64,
    /// Numbers of earlier steps that must be done before.
    pub after: Vec<u16>,
    /// Tasks save checkpoints and can go on from them elsewhere.
    pub checkpoints: bool,
    /// Tasks run only as a group, all at once.
    pub gang: bool,
    /// The tasks are slowed down when they are on more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; elsewhere the work is slowed down.
    pub rack: Option<Arc<str>>,
    /// The most tasks of the step on one worker; 0 is no bound.
    pub spread: u32,
    /// Copies of a task may run side by side.
    pub copies: bool,
    /// Tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// For a lasting task that answers users: the tail of its answer times to be kept, in
    /// milliseconds; 0 for none.
    pub target: u64,
    /// Tasks take no room for processors and get what others leave unused.
    pub fills: bool,
    /// How many tasks of a lasting step may be stopped by us at a time; `None` when not stated.
    pub may_miss: Option<u32>,
}

/// When the steps are to run, for a job with a timetable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// How many times.
    pub times: u32,
    /// The first time, in milliseconds since 1970.
    pub first: u64,
    /// From one time to the next, in milliseconds.
    pub interval: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The caller's text, handed to each task as it is.
    pub text: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// The timetable, if there is one.
    pub timetable: Option<Timetable>,
}

/// Which task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The number of the time.
    pub time: u32,
    /// The number of the step.
    pub step: u16,
    /// The number within the step.
    pub index: u32,
}

/// Why a job is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InvalidSpec {
    /// the specification has more than 4,000 bytes
    LongText,
    /// a job needs 1 to 64 steps
    Steps,
    /// step {0} has no tasks
    Empty(usize),
    /// step {0} may only come after earlier steps
    Order(usize),
    /// step {0} asks for no processors
    NoCpu(usize),
    /// the job has more than 20,000 tasks
    Tasks,
    /// a timetable with more than one time needs an interval
    Interval,
    /// step {0} asks for more than any worker has, or takes longer than any task
    Amount(usize),
    /// the timetable is out of range
    Timetable,
}

impl Step {
    /// True when what it asks for can be added up.
    fn is_bounded(&self) -> bool {
        let Size { cpu, memory, gpus } = self.size;
        let largest = cpu.max(memory).max(gpus);
        largest <= MAX_AMOUNT && self.estimate.max(self.target) <= MAX_ESTIMATE
    }
}

impl std::error::Error for InvalidSpec {}

impl Spec {
    /// Checks what a caller sent.
    ///
    /// # Errors
    ///
    /// The first flaw found.
    pub fn validate(&self) -> Result<(), InvalidSpec> {
        if self.text.len() > MAX_TEXT {
            return Err(InvalidSpec::LongText);
        }
        self.validate_bounds()?;
        for (number, step) in self.steps.iter().enumerate() {
            if step.size.cpu == 0 && step.size.gpus == 0 {
                return Err(InvalidSpec::NoCpu(number));
            }
        }
        if let Some(timetable) = self.timetable
            && timetable.times > 1
            && timetable.interval == 0
        {
            return Err(InvalidSpec::Interval);
        }
        Ok(())
    }

    /// Checks that it can be worked with, whoever wrote it: its numbers can be added up, and its steps refer to each
    /// other.
    ///
    /// # Errors
    ///
    /// The first flaw found.
    pub fn validate_bounds(&self) -> Result<(), InvalidSpec> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidSpec::Steps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(InvalidSpec::Empty(number));
            }
            if step.after.iter().any(|&earlier| earlier as usize >= number) {
                return Err(InvalidSpec::Order(number));
            }
            if !step.is_bounded() {
                return Err(InvalidSpec::Amount(number));
            }
        }
        if let Some(timetable) = self.timetable
            && timetable.first.max(timetable.interval) > MAX_WALL
        {
            return Err(InvalidSpec::Timetable);
        }
        let tasks = self.tasks_per_time().saturating_mul(self.times() as usize);
        if tasks > MAX_TASKS {
            return Err(InvalidSpec::Tasks);
        }
        Ok(())
    }

    /// How many times the steps run.
    pub fn times(&self) -> u32 {
        self.timetable.map_or(1, |timetable| timetable.times.max(1))
    }

    /// The number of tasks of one time.
    pub fn tasks_per_time(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// When a time is due, in milliseconds since 1970; 0 without a timetable.
    pub fn due(&self, time: u32) -> u64 {
        self.timetable.map_or(0, |timetable| {
            timetable.first + u64::from(time) * timetable.interval
        })
    }

    /// True when a step lasts, so that the job ends only when it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// The place of a task among all tasks of the job; `None` when there is no such task.
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

    /// The task at a place among all tasks of the job.
    pub fn address(&self, place: usize) -> Address {
        let round = self.tasks_per_time().max(1);
        let mut rest = place % round;
        let mut number = 0;
        for (step, at) in self.steps.iter().zip(0u16..) {
            number = at;
            if rest < step.count as usize {
                break;
            }
            rest -= step.count as usize;
        }
        Address {
            time: (place / round) as u32,
            step: number,
            index: rest as u32,
        }
    }

    /// The longest chain of estimates from each step to the end, in milliseconds.
    pub fn critical_paths(&self) -> Vec<u64> {
        let mut chains: Vec<u64> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            let chain = chains[number];
            for &earlier in &self.steps[number].after {
                let earlier = earlier as usize;
                chains[earlier] = chains[earlier].max(self.steps[earlier].estimate + chain);
            }
        }
        chains
    }
}
