//! The operators' configuration: queues, worker pools, and limits of callers' requests.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, sync::Arc, time::Duration},
};

/// One queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host name in callers' requests.
    pub host: Arc<str>,
    /// The path prefix routed to this queue.
    pub prefix: Arc<str>,
    /// The pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task after which its job fails.
    pub attempts: u32,
    /// Factor of a job's completion objective: `stretch` times its critical path, plus `target`.
    pub stretch: f64,
    /// Constant part of the completion objective, in milliseconds.
    pub target: u64,
    /// Each step is restricted to the workers that the external advisor service allows.
    pub advised: bool,
}

/// One pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: Arc<str>,
    /// Workers refuse tasks that do not fit; otherwise they start every task that is ordered.
    pub rejects_overload: bool,
    /// The pool's machines are powered off.
    pub spare: bool,
}

/// Limits of callers' HTTP requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum body size, in bytes.
    pub max_body: usize,
    /// The maximum size of the request headers, in bytes.
    pub max_header: usize,
    /// The time within which the headers must arrive.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body: 256 * 1024,
            max_header: 16 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The version, which only increases.
    pub version: u64,
    /// The configured queues.
    pub queues: Vec<Arc<Queue>>,
    /// The configured worker pools.
    pub pools: Vec<Pool>,
    /// Limits of callers' requests.
    pub limits: Limits,
}

impl Config {
    /// Returns the queue of a request: the host must be equal, and the longest matching prefix wins.
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

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Whether a pool with this name is configured.
    pub fn has_pool(&self, name: &str) -> bool {
        self.pools.iter().any(|pool| &*pool.name == name)
    }

    /// Returns the pools whose workers do not refuse tasks that exceed their capacity.
    pub fn overcommitting_pools(&self) -> HashSet<Arc<str>> {
        let pools = self.pools.iter().filter(|pool| !pool.rejects_overload);
        pools.map(|pool| pool.name.clone()).collect()
    }
}
