//! One row: a class of work, its weights and its limits.

use {
    infra::Size,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// What kind of work a class is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Latency-critical: it has a target and answers callers.
    Service,
    /// Ends by itself and may be evicted.
    Batch,
    /// Runs for weeks and may be moved.
    Standing,
}

impl Kind {
    /// The word in the table.
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

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The class of work; no other row has it.
    pub class: Arc<str>,
    /// The team that the class belongs to.
    pub team: Arc<str>,
    /// What kind of work it is.
    pub kind: Kind,
    /// The higher goes first, 0 to 9; 9 is urgent.
    pub priority: u8,
    /// The share inside a priority, 1 to 1000.
    pub weight: u32,
    /// The most processors in use at once, in thousandths; `None` for no ceiling.
    pub cpu: Option<u32>,
    /// The most memory in use at once, in megabytes.
    pub memory: Option<u32>,
    /// The most accelerators in use at once.
    pub accel: Option<u32>,
    /// The most tasks that run at once.
    pub running: Option<u32>,
    /// The hardware generations it may use; empty for all.
    pub generations: Vec<Arc<str>>,
    /// The latency target of a service, in milliseconds.
    pub target: Option<u32>,
    /// The most processors that the whole team may use at once, in thousandths.
    pub quota: Option<u32>,
    /// Goes up with each change of the row; set by the table.
    #[serde(default)]
    pub revision: u64,
}

impl Row {
    /// A batch row without any limits.
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

    /// True when the class may use this hardware generation.
    pub fn admits(&self, generation: &str) -> bool {
        self.generations.is_empty() || self.generations.iter().any(|g| &**g == generation)
    }

    /// The ceiling as an amount; kinds without one are the largest amount.
    pub fn ceiling(&self) -> Size {
        let most = |limit: Option<u32>| limit.unwrap_or(u32::MAX);
        Size::new(most(self.cpu), most(self.memory), most(self.accel))
    }
}
