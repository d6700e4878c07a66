//! A platform of stand-ins with its entry boxes, and its start-up.

use {
    crate::entry::Entry,
    infra::boxes::Kind,
    kernel::{Client, Failure},
    standin::{Deploy, Platform, deploy::Addresses},
    std::{
        io,
        sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
        thread,
        time::{Duration, Instant},
    },
    table::{
        Edit, RowEdit,
        message::{Outcome, Submit},
        sheet,
    },
};

/// Time limit for start-up.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time-out of one call.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A platform of stand-ins and the entry boxes running on it.
pub struct Fleet {
    /// Deployment sizes.
    pub deploy: Deploy,
    /// The platform of stand-ins.
    pub platform: Platform,
    /// HTTP client for callers and operators.
    pub client: Client,
    entries: RwLock<Vec<Entry>>,
}

impl Fleet {
    /// Starts the platform and the entry boxes `b1`, `b2` and so on.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(deploy: Deploy, seed: u64) -> io::Result<Self> {
        let platform = Platform::start(&deploy, Addresses::free(), seed)?;
        let fleet = Fleet {
            platform,
            client: Client::new(None),
            entries: RwLock::default(),
            deploy,
        };
        for number in 0..fleet.deploy.entries {
            fleet.add(&format!("b{}", number + 1), fleet.deploy.hall(number))?;
        }
        Ok(fleet)
    }

    /// Starts another entry box.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub fn add(&self, name: &str, hall: Arc<str>) -> io::Result<()> {
        let entry = Entry::start(name, hall, &self.platform.store.url(), &self.platform.boxes)?;
        self.platform.registry.put(entry.item());
        self.entries_mut().push(entry);
        Ok(())
    }

    /// Returns the entry boxes for reading.
    pub fn entries(&self) -> RwLockReadGuard<'_, Vec<Entry>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entry boxes for changes.
    pub fn entries_mut(&self) -> RwLockWriteGuard<'_, Vec<Entry>> {
        self.entries.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the entry box whose scheduler owns the cell, or `None` if there is
    /// none.
    pub fn take_owner(&self, cell: &Arc<str>) -> Option<Entry> {
        let mut entries = self.entries_mut();
        let index = entries.iter().position(|entry| entry.owns(cell))?;
        Some(entries.remove(index))
    }

    /// Returns the base URL of the scheduler of a random entry box.
    pub fn any_sched(&self) -> String {
        let entries = self.entries();
        entries[fastrand::usize(..entries.len())].sched.url()
    }

    /// Submits the first table and waits until every cell has an owner known to all entry boxes.
    ///
    /// # Errors
    ///
    /// Describes the step that did not complete in time.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        let entry_count = || {
            self.platform
                .registry
                .published()
                .of_kind(Kind::Entry)
                .count()
        };
        wait_until(
            end,
            "the list of boxes did not show all entry boxes in time",
            || entry_count() >= self.deploy.entries,
        )?;
        self.submit_first_table(end)?;
        wait_until(end, "not all entry boxes were ready in time", || {
            self.entries()
                .iter()
                .all(|entry| entry.is_ready(self.deploy.halls))
        })
    }

    fn submit_first_table(&self, end: Instant) -> Result<(), String> {
        let rows = sheet::parse(self.deploy.sheet).map_err(|errors| errors[0].to_string())?;
        let rows = rows.into_iter().map(|row| RowEdit {
            class: row.class.clone(),
            revision: 0,
            row: Some(row),
        });
        let edit = Edit {
            id: fastrand::u64(..),
            who: Arc::from("trial"),
            rows: rows.collect(),
        };
        let url = format!("{}/table/edit", self.entries()[0].table.url());
        let submit = Submit { edit };
        loop {
            let outcome: Result<Outcome, Failure> = self.client.post(&url, &submit, TIMEOUT);
            match outcome {
                Ok(Outcome::Accepted(_)) => return Ok(()),
                Ok(Outcome::Refused(refusal)) => return Err(refusal.to_string()),
                Err(failure) if Instant::now() > end => return Err(failure.to_string()),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns `text` if the condition does not hold by `end`.
pub fn wait_until(end: Instant, text: &str, condition: impl Fn() -> bool) -> Result<(), String> {
    while !condition() {
        if Instant::now() > end {
            return Err(text.to_owned());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
