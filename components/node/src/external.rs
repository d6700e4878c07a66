//! Interfaces to the external services of a box: workers, machines, the operators' configuration,
//! closed data halls and the placement advisor.

use {
    crate::{
        permits::{Permit, PollPermit},
        store::Store,
    },
    cell::{
        Advice, AdviceQuery, Entry, Listing, Machine, MaintenanceOrder, MaintenanceOutcome, Order,
        Outcome, Poll, Refusal, Report, Wave, WaveStatus,
    },
    job::Config,
    kernel::Failure,
    serde::{Deserialize, Serialize},
    std::{pin::Pin, sync::Arc, time::Duration},
};

/// Why a poll of a worker returned no report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollError {
    /// The worker refused the poll.
    Refused(Refusal),
    /// Another incarnation of the worker has answered, which was started at this time, in
    /// milliseconds since 1970. The poll had no effect on it.
    OtherLife(u64),
    /// The worker gave no valid answer in time.
    Silent(Failure),
}

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The workers: their listing, and calls to each of them.
pub trait Workers: Send + Sync {
    /// Lists all workers. Entries that cannot be decoded are not an error.
    ///
    /// # Errors
    ///
    /// The list could not be read.
    fn list(&self) -> Result<Listing, Failure>;

    /// Sends an order under the fence of a permit to this incarnation of a worker. A later
    /// incarnation with the same name does not receive it. The permit is checked at each attempt;
    /// without it the order is not sent.
    fn order<'a>(
        &'a self,
        worker: &'a Entry,
        permit: &'a Permit,
        order: &'a Order,
    ) -> BoxFuture<'a, Outcome>;

    /// Renews the leases of all tasks on this incarnation of a worker, acknowledges the ends of
    /// tasks, and reads its report. Only reads the report while it is unknown whether this
    /// incarnation still exists. Renews no lease that the permit does not allow.
    ///
    /// # Errors
    ///
    /// See [`PollError`].
    fn poll<'a>(
        &'a self,
        worker: &'a Entry,
        permit: &'a PollPermit,
        poll: Poll,
    ) -> BoxFuture<'a, Result<Report, PollError>>;
}

/// A configuration with the store revisions at which it was read.
#[derive(Debug, Clone)]
pub struct ConfigSnapshot {
    /// The configuration.
    pub config: Config,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of the store at which it was the newest; a wait for changes continues from here.
    pub store_revision: u64,
    /// Size of the stored value, in bytes.
    pub bytes: usize,
}

/// The result of a read of the configuration.
#[derive(Debug, Clone)]
pub enum ConfigRead {
    /// There is no configuration yet.
    Absent,
    /// The known revision is still the newest, as of this revision of the store.
    Unchanged(u64),
    /// A configuration of another revision than the known one.
    Found(ConfigSnapshot),
}

/// The result of a wait for a change of the configuration.
#[derive(Debug, Clone)]
pub enum ConfigWait {
    /// The configuration has not changed.
    Unchanged,
    /// The history has been compacted; the configuration has to be read.
    Compacted,
    /// The newest configuration since then.
    Found(ConfigSnapshot),
}

/// Source of the operators' configuration.
pub trait ConfigSource: Send + Sync {
    /// Reads the configuration. `known` is the revision that the caller has, which is not decoded
    /// again; 0 for none.
    ///
    /// # Errors
    ///
    /// The configuration could not be read or is invalid.
    fn read(&self, known: u64) -> Result<ConfigRead, Failure>;

    /// Reads the configuration when a heartbeat of the owner has given the `newest` revision. A
    /// stale read is sufficient if it returns that revision.
    ///
    /// # Errors
    ///
    /// As for `read`.
    fn read_newest(&self, known: u64, newest: u64) -> Result<ConfigRead, Failure>;

    /// Waits up to `time` for a change after a revision of the store.
    ///
    /// # Errors
    ///
    /// As for `read`.
    fn wait(&self, after: u64, time: Duration) -> Result<ConfigWait, Failure>;
}

/// The external placement service, which selects the workers that may run a step.
pub trait Advisor: Send + Sync {
    /// Requests advice for a step.
    ///
    /// # Errors
    ///
    /// The service gave no valid answer in time.
    fn advise(&self, query: &AdviceQuery) -> Result<Advice, Failure>;
}

/// A maintenance wave and what owners have last written of it.
#[derive(Debug, Clone)]
pub struct StoredWave {
    /// The wave.
    pub wave: Wave,
    /// The progress as written; `None` if nothing was reported yet.
    pub status: Option<WaveStatus>,
    /// Revision of the notes; 0 if there are none.
    pub revision: u64,
}

/// The machines that host workers, and the operators' maintenance waves.
pub trait Machines: Send + Sync {
    /// Lists the maintenance waves that are not complete.
    ///
    /// # Errors
    ///
    /// The waves could not be read.
    fn waves(&self) -> Result<Vec<StoredWave>, Failure>;

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// The list could not be read.
    fn list(&self) -> Result<Vec<Machine>, Failure>;

    /// Takes a machine down for maintenance, under the fence of the permit. Nothing is sent if the
    /// permit is not valid any more.
    fn start_maintenance(
        &self,
        order: &MaintenanceOrder,
        owner: &str,
        permit: &Permit,
    ) -> MaintenanceOutcome;

    /// Reports the progress of a maintenance wave to the operators, and notes it for the next
    /// owner, if the notes still have this revision. Returns the new one.
    ///
    /// # Errors
    ///
    /// The report may not have been written, another owner has written one since, or the permit is
    /// not valid any more.
    fn report_progress(
        &self,
        status: &WaveStatus,
        revision: u64,
        permit: &Permit,
    ) -> Result<u64, Failure>;
}

/// A data hall that the operators have closed: no tasks are started in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallClosure {
    /// The data hall.
    pub hall: Arc<str>,
    /// The operator who closed it, if known.
    pub by: Option<Arc<str>>,
}

/// Source of the data halls that the operators have closed.
pub trait HallClosures: Send + Sync {
    /// Reads the closed data halls. An entry that cannot be decoded closes no hall and is not an
    /// error.
    ///
    /// # Errors
    ///
    /// The closed data halls could not be read.
    fn read(&self) -> Result<Vec<HallClosure>, Failure>;
}

/// Clients of all external services of a box.
#[derive(Clone)]
pub struct External {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The configuration.
    pub configs: Arc<dyn ConfigSource>,
    /// The placement advisor.
    pub advisor: Arc<dyn Advisor>,
    /// The machines.
    pub machines: Arc<dyn Machines>,
    /// The closed data halls.
    pub closures: Arc<dyn HallClosures>,
}
