//! A platform and its entry boxes.

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

/// How long the start may take.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How often the start is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time for one call.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A platform of stand-ins and the entry boxes that work on it.
pub struct Fleet {
    /// The sizes.
    pub deploy: Deploy,
    /// The stand-ins.
    pub platform: Platform,
    /// A client for callers and operators.
    pub client: Client,
    entries: RwLock<Vec<Entry>>,
}

impl Fleet {
    /// Starts the platform and the entry boxes `b1`, `b2` and so on.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the system has no room for threads.
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

    /// Starts one more entry box.
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

    /// The entry boxes.
    pub fn entries(&self) -> RwLockReadGuard<'_, Vec<Entry>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The entry boxes, to take some away.
    pub fn entries_mut(&self) -> RwLockWriteGuard<'_, Vec<Entry>> {
        self.entries.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the entry box away whose scheduler owns a cell; `None` when there is none.
    pub fn take_owner(&self, cell: &Arc<str>) -> Option<Entry> {
        let mut entries = self.entries_mut();
        let at = entries.iter().position(|entry| entry.owns(cell))?;
        Some(entries.remove(at))
    }

    /// The base address of some entry box's scheduler.
    pub fn any_sched(&self) -> String {
        let entries = self.entries();
        entries[fastrand::usize(..entries.len())].sched.url()
    }

    /// Brings the first table in and waits until every cell has an owner and all know all.
    ///
    /// # Errors
    ///
    /// It takes too long, as a sentence.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        let entry_count = || {
            self.platform
                .registry
                .published()
                .of_kind(Kind::Entry)
                .count()
        };
        wait_until(end, "the list of boxes did not show all in time", || {
            entry_count() >= self.deploy.entries
        })?;
        self.submit_first_table(end)?;
        wait_until(end, "the entry boxes were not ready in time", || {
            self.entries()
                .iter()
                .all(|entry| entry.is_ready(self.deploy.halls))
        })
    }

    fn submit_first_table(&self, end: Instant) -> Result<(), String> {
        let rows = sheet::parse(self.deploy.sheet).map_err(|faults| faults[0].to_string())?;
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

/// Waits until something is so.
///
/// # Errors
///
/// It is not so by the end; the text says what.
pub fn wait_until(end: Instant, text: &str, condition: impl Fn() -> bool) -> Result<(), String> {
    while !condition() {
        if Instant::now() > end {
            return Err(text.to_owned());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
