//! The interface to the store that keeps what must last.

use {kernel::Failure, std::time::Duration};

/// One key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of the last change of this key.
    pub revision: u64,
    /// The store's revision when this was read: a watch goes on from here, since the history of
    /// an old change may be gone.
    pub store_revision: u64,
}

/// A page of keys in their order.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// The keys.
    pub items: Vec<Item>,
    /// There are more after the last one.
    pub more: bool,
    /// The store's revision when the page was read.
    pub store_revision: u64,
}

/// One change that a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Item),
    /// A key has gone.
    Deleted(String),
}

/// What a watch brought.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// Changes, and the revision to go on from.
    Events(Vec<Event>, u64),
    /// The history that was asked for is gone: read everything anew.
    Compacted,
}

/// One key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The lease that it lives under; 0 for none.
    pub lease: u64,
}

/// A change that takes effect in whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Keys and the revisions that they must have; 0 when the key must be absent.
    pub expect: Vec<(String, u64)>,
    /// Keys to write.
    pub put: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// The most entries of a change, which the store states.
pub const MAX_ENTRIES: usize = 32;

/// What came of a change that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResult {
    /// It took effect, as this revision.
    Done(u64),
    /// A condition does not hold; the keys of the conditions as they are, without absent ones.
    Conflict(Vec<Item>),
    /// The lease is over.
    NoLease,
}

/// A key-value store with conditions, watches and leases.
///
/// Every error's verdict tells whether the call may have taken effect.
pub trait Store: Send + Sync {
    /// Reads one key whose value is small. It takes no longer in all than other calls, since callers
    /// wait for it.
    ///
    /// # Errors
    ///
    /// The store gave no usable answer.
    fn get(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads one key whose value may be large. It goes on for as long as the value comes.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn get_large(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads one key at a tenth of the price of another read. The answer may be seconds old.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads a page of the keys that start with the prefix, after a key if one is given.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Failure>;

    /// Waits for changes of keys that start with the prefix, after a revision.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Failure>;

    /// Makes a change.
    ///
    /// # Errors
    ///
    /// `not-run`: it surely takes no effect. `may-have-run`: it has taken effect, or may do so
    /// later while its conditions hold.
    fn apply(&self, change: &Change) -> Result<ApplyResult, Failure>;

    /// Sees whether the store answers, as cheaply as can be.
    ///
    /// # Errors
    ///
    /// It does not.
    fn probe(&self) -> Result<(), Failure>;

    /// Opens a lease of about this length.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn grant(&self, length: Duration) -> Result<u64, Failure>;

    /// Renews a lease; false when it is over.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn renew(&self, lease: u64) -> Result<bool, Failure>;
}

/// Reads all keys that start with the prefix. Returns them with the revision of the first page:
/// changes after it may be missing, and a watch from there brings them.
///
/// # Errors
///
/// A page could not be read.
pub fn range_all(store: &dyn Store, prefix: &str) -> Result<(Vec<Item>, u64), Failure> {
    let mut page = store.range(prefix, None)?;
    let at = page.store_revision;
    let mut items = std::mem::take(&mut page.items);
    while page.more {
        let last = items.last().map(|item| item.key.clone());
        page = store.range(prefix, last.as_deref())?;
        if page.items.is_empty() {
            break;
        }
        items.append(&mut page.items);
    }
    Ok((items, at))
}
