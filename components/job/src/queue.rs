//! What the operators configured: queues, and the limits of callers' requests.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, sync::Arc, time::Duration},
};

/// One queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The start of the paths that belong to it.
    pub prefix: Arc<str>,
    /// The pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// A job's objective is this many times its longest chain of work, and the target.
    pub stretch: f64,
    /// See `stretch`; in milliseconds.
    pub target: u64,
    /// Only some workers may run a step, which a service outside tells.
    pub advised: bool,
}

/// One pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: Arc<str>,
    /// Its workers refuse what does not fit; otherwise they start whatever they are told.
    pub rejects_overload: bool,
    /// Its machines are off.
    pub spare: bool,
}

/// The bounds of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body: usize,
    /// The largest head, in bytes.
    pub max_header: usize,
    /// The time for a head to arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// It only goes up.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// Bounds of requests.
    pub limits: Limits,
}

impl Config {
    /// The queue of a path: the host must be the same, and the longest prefix goes first.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let mut best: Option<&Arc<Queue>> = None;
        for queue in &self.queues {
            if &*queue.host != host || !path.starts_with(&*queue.prefix) {
                continue;
            }
            if best.is_some_and(|best| best.prefix.len() >= queue.prefix.len()) {
                continue;
            }
            best = Some(queue);
        }
        best
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// True for a pool that is named.
    pub fn has_pool(&self, name: &str) -> bool {
        self.pools.iter().any(|pool| &*pool.name == name)
    }

    /// The pools whose workers start whatever they are told.
    pub fn overcommitting_pools(&self) -> HashSet<Arc<str>> {
        let pools = self.pools.iter().filter(|pool| !pool.rejects_overload);
        pools.map(|pool| pool.name.clone()).collect()
    }
}
