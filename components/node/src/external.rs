//! The interfaces to workers and to the operators' configuration.

use {
    crate::store::Store,
    cell::{
        Advice, AdviceQuery, Entry, Listing, Machine, MaintenanceOrder, Order, Outcome, Poll,
        Refusal, Report, Wave, WaveStatus,
    },
    job::Config,
    kernel::Failure,
    serde::{Deserialize, Serialize},
    std::{pin::Pin, sync::Arc, time::Duration},
};

/// Why a poll of a worker brought no report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollError {
    /// The worker refused.
    Refused(Refusal),
    /// Another life of the worker has answered, which began then, in milliseconds since 1970. It was told nothing that binds
    /// it.
    OtherLife(u64),
    /// No usable answer.
    Silent(Failure),
}

/// What comes later, for a task.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Workers, as they are listed and spoken to.
pub trait Workers: Send + Sync {
    /// Lists all workers. An entry that cannot be read is no reason to fail.
    ///
    /// # Errors
    ///
    /// The list could not be read.
    fn list(&self) -> Result<Listing, Failure>;

    /// Sends an order under a fence to this life of a worker: one of the same name that began later does not get it.
    fn order<'a>(
        &'a self,
        worker: &'a Entry,
        fence: u64,
        order: &'a Order,
    ) -> BoxFuture<'a, Outcome>;

    /// Renews the leases of all that runs on this life of a worker, acknowledges ends, and reads its report. Where nobody
    /// knows yet whether this life is there, just the report is read.
    ///
    /// # Errors
    ///
    /// See [`PollError`].
    fn poll<'a>(
        &'a self,
        worker: &'a Entry,
        fence: u64,
        poll: Poll,
    ) -> BoxFuture<'a, Result<Report, PollError>>;
}

/// A configuration as it was found.
#[derive(Debug, Clone)]
pub struct ConfigSnapshot {
    /// The configuration.
    pub config: Config,
    /// The store's revision of its last change.
    pub revision: u64,
    /// The revision of the store at which it was the newest; a wait goes on from here.
    pub store_revision: u64,
    /// The bytes of its value.
    pub bytes: usize,
}

/// What a read of the configuration tells.
#[derive(Debug, Clone)]
pub enum ConfigRead {
    /// There is none yet.
    Absent,
    /// It is still that of the known revision; the revision of the store at which this is so.
    Unchanged(u64),
    /// Another one.
    Found(ConfigSnapshot),
}

/// What a wait for a change of the configuration tells.
#[derive(Debug, Clone)]
pub enum ConfigWait {
    /// None came.
    Unchanged,
    /// What came since cannot be told: it has to be read.
    Compacted,
    /// The newest of those that came.
    Found(ConfigSnapshot),
}

/// The operators' configuration.
pub trait ConfigSource: Send + Sync {
    /// Reads it. `known` is the revision of the one that the caller has, which need not be decoded again; 0
    /// for none.
    ///
    /// # Errors
    ///
    /// It could not be read or is not valid.
    fn read(&self, known: u64) -> Result<ConfigRead, Failure>;

    /// Reads it where the owner has just told which revision is the `newest`. An answer that may be old is as good where it has
    /// that one.
    ///
    /// # Errors
    ///
    /// As for `read`.
    fn read_newest(&self, known: u64, newest: u64) -> Result<ConfigRead, Failure>;

    /// Waits for a change after a revision of the store.
    ///
    /// # Errors
    ///
    /// As for `read`.
    fn wait(&self, after: u64, time: Duration) -> Result<ConfigWait, Failure>;
}

/// The service that tells which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks it.
    ///
    /// # Errors
    ///
    /// It gave no usable answer.
    fn advise(&self, question: &AdviceQuery) -> Result<Advice, Failure>;
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
    fn upkeep(&self, order: &MaintenanceOrder, owner: &str, fence: u64) -> bool;

    /// Tells the operators how far a wave is.
    ///
    /// # Errors
    ///
    /// It may not have been written.
    fn report_progress(&self, standing: &WaveStatus) -> Result<(), Failure>;
}

/// A data hall in which the operators want nothing started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallClosure {
    /// The data hall.
    pub hall: Arc<str>,
    /// Who asked for it, where that is told.
    pub by: Option<Arc<str>>,
}

/// The data halls that the operators have shut.
pub trait HallClosures: Send + Sync {
    /// Reads them. An entry that cannot be read shuts nothing and is no reason to fail.
    ///
    /// # Errors
    ///
    /// They could not be read.
    fn read(&self) -> Result<Vec<HallClosure>, Failure>;
}

/// All that a box reaches outside of itself.
#[derive(Clone)]
pub struct External {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The configuration.
    pub configs: Arc<dyn ConfigSource>,
    /// The service that advises on workers.
    pub advisor: Arc<dyn Advisor>,
    /// The machines.
    pub machines: Arc<dyn Machines>,
    /// The data halls that are shut.
    pub closures: Arc<dyn HallClosures>,
}
