//! Row of the table: a class of work with its kind, priority, weight and resource limits.

use {
    infra::Size,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Kind of work of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Latency-critical service with a latency target, which handles callers' requests.
    Service,
    /// Batch work, which terminates and may be evicted.
    Batch,
    /// Long-running work, which runs for weeks and may be moved.
    Standing,
}

impl Kind {
    /// Returns the name used in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Service => "service",
            Kind::Batch => "batch",
            Kind::Standing => "standing",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        for kind in [Kind::Service, Kind::Batch, Kind::Standing] {
            if kind.as_str() == text {
                return Ok(kind);
            }
        }
        Err(())
    }
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Class of work; unique in the table.
    pub class: Arc<str>,
    /// Team that owns the class.
    pub team: Arc<str>,
    /// Kind of work.
    pub kind: Kind,
    /// Priority, 0 to 9; higher values go first, and 9 is urgent.
    pub priority: u8,
    /// Weight of the class's share within its priority, 1 to 1000.
    pub weight: u32,
    /// Maximum number of processors in use, in thousandths; `None` for no limit.
    pub cpu: Option<u32>,
    /// Maximum memory in use, in megabytes; `None` for no limit.
    pub memory: Option<u32>,
    /// Maximum number of accelerators in use; `None` for no limit.
    pub accel: Option<u32>,
    /// Maximum number of running tasks; `None` for no limit.
    pub running: Option<u32>,
    /// Hardware generations that the class may use; empty for all.
    pub generations: Vec<Arc<str>>,
    /// Latency target of a service, in milliseconds; `None` for other kinds.
    pub target: Option<u32>,
    /// Maximum number of processors in use by the whole team, in thousandths; `None` for no limit.
    pub quota: Option<u32>,
    /// Version of the table that last changed the row; set by the table.
    #[serde(default)]
    pub revision: u64,
}

impl Row {
    /// Creates a batch row without limits.
    pub fn batch(class: &str) -> Self {
        Row {
            class: Arc::from(class),
            team: Arc::from("default"),
            kind: Kind::Batch,
            priority: 3,
            weight: 100,
            cpu: None,
            memory: None,
            accel: None,
            running: None,
            generations: Vec::new(),
            target: None,
            quota: None,
            revision: 0,
        }
    }

    /// True if the class may use this hardware generation.
    pub fn admits(&self, generation: &str) -> bool {
        self.generations.is_empty() || self.generations.iter().any(|g| &**g == generation)
    }

    /// Returns the resource limits as a size. Resources without a limit have the maximum value.
    pub fn ceiling(&self) -> Size {
        let or_max = |limit: Option<u32>| limit.unwrap_or(u32::MAX);
        Size::new(or_max(self.cpu), or_max(self.memory), or_max(self.accel))
    }
}
