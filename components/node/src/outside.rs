//! The interfaces to workers and to the operators' configuration.

use {
    crate::store::Store,
    cell::{
        Advice, Entry, Machine, Order, Outcome, Poll, Question, Reason, Report, Standing, Upkeep,
        Wave,
    },
    job::Config,
    kernel::Failure,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Why a poll of a worker brought no report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unheard {
    /// The worker refused.
    Refused(Reason),
    /// No usable answer.
    Silent(Failure),
}

/// Workers, as they are listed and spoken to.
pub trait Workers: Send + Sync {
    /// Lists all workers.
    ///
    /// # Errors
    ///
    /// The list could not be read.
    fn list(&self) -> Result<Vec<Entry>, Failure>;

    /// Sends an order under a fence.
    fn order(&self, worker: &Entry, fence: u64, order: &Order) -> Outcome;

    /// Renews the leases of all that runs on a worker, acknowledges ends, and reads its report.
    ///
    /// # Errors
    ///
    /// See [`Unheard`].
    fn poll(&self, worker: &Entry, fence: u64, poll: Poll) -> Result<Report, Unheard>;
}

/// A configuration as it was found.
#[derive(Debug, Clone)]
pub struct Found {
    /// The configuration.
    pub config: Config,
    /// The revision of the store that a wait may go on from.
    pub at: u64,
    /// The bytes of its value.
    pub bytes: usize,
}

/// The operators' configuration.
pub trait Configs: Send + Sync {
    /// Reads it; `None` before the first one.
    ///
    /// # Errors
    ///
    /// It could not be read or is not valid.
    fn read(&self) -> Result<Option<Found>, Failure>;

    /// Waits for a change after a revision. `None` when none came, or when the history is gone
    /// and it has to be read.
    ///
    /// # Errors
    ///
    /// As for `read`.
    fn wait(&self, after: u64, time: Duration) -> Result<Option<Found>, Failure>;
}

/// The service that tells which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks it.
    ///
    /// # Errors
    ///
    /// It gave no usable answer.
    fn advise(&self, question: &Question) -> Result<Advice, Failure>;
}

/// The machines that workers live on, and the operators' waves of upkeep.
pub trait Machines: Send + Sync {
    /// The waves that are not complete.
    ///
    /// # Errors
    ///
    /// They could not be read.
    fn waves(&self) -> Result<Vec<Wave>, Failure>;

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// The list could not be read.
    fn list(&self) -> Result<Vec<Machine>, Failure>;

    /// Lets a machine go down for its upkeep, under the fence of this owner. False when that was
    /// surely not done.
    fn upkeep(&self, order: &Upkeep, owner: &str, fence: u64) -> bool;

    /// Tells the operators how far a wave is.
    ///
    /// # Errors
    ///
    /// It may not have been written.
    fn tell(&self, standing: &Standing) -> Result<(), Failure>;
}

/// All that a box reaches outside of itself.
#[derive(Clone)]
pub struct Outside {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The configuration.
    pub configs: Arc<dyn Configs>,
    /// The service that advises on workers.
    pub advisor: Arc<dyn Advisor>,
    /// The machines.
    pub machines: Arc<dyn Machines>,
}
