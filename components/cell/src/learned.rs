//! What an owner has learned and persists for the next one.

use {
    crate::interference::Interference,
    policy::durations::Queues,
    serde::{Deserialize, Serialize},
};

/// What an owner has learned. Former versions have stored the interference model alone, which is
/// decoded too.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Stored")]
pub struct Learned {
    /// Which best-effort images slow down which serving images.
    pub(crate) interference: Interference,
    /// How long steps take, by queue.
    pub(crate) durations: Queues,
    /// How long jobs take, by queue.
    pub(crate) run_times: Queues,
}

/// The stored forms. They differ in the number of their fields, also without field names.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    All(All),
    Model(Interference),
}

/// The fields of [`Learned`].
#[derive(Deserialize)]
struct All {
    interference: Interference,
    durations: Queues,
    run_times: Queues,
}

impl From<Stored> for Learned {
    fn from(stored: Stored) -> Self {
        match stored {
            Stored::All(all) => Learned {
                interference: all.interference,
                durations: all.durations,
                run_times: all.run_times,
            },
            Stored::Model(interference) => interference.into(),
        }
    }
}

impl From<Interference> for Learned {
    fn from(interference: Interference) -> Self {
        Learned {
            interference,
            ..Learned::default()
        }
    }
}
