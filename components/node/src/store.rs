//! The interface to the durable key-value store: transactions, watches and leases.

use {kernel::Failure, std::time::Duration};

/// One key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change of this key.
    pub revision: u64,
    /// Revision of the store at the time of the read. A watch continues from here, since the
    /// history since the last change of the key may have been compacted.
    pub store_revision: u64,
}

/// A page of keys in their order.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// The keys.
    pub items: Vec<Item>,
    /// More keys follow after the last one.
    pub more: bool,
    /// Revision of the store when the page was read.
    pub store_revision: u64,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Deleted(String),
}

/// The result of a watch.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// Changes, and the revision to continue the watch from.
    Events(Vec<Event>, u64),
    /// The requested history has been compacted; the keys have to be read again.
    Compacted,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// A transaction, which is applied as a whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Conditions: keys and their expected revisions; 0 when the key must be absent.
    pub expect: Vec<(String, u64)>,
    /// Keys to write.
    pub put: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// Maximum number of entries of a transaction, as documented by the store.
pub const MAX_ENTRIES: usize = 32;

/// The result of a transaction that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResult {
    /// It was applied, as this revision.
    Done(u64),
    /// A condition does not hold; holds the current items of the conditions, without absent keys.
    Conflict(Vec<Item>),
    /// The lease has expired.
    NoLease,
}

/// A key-value store with conditions, watches and leases.
///
/// The verdict of an error states whether the call may have taken effect.
pub trait Store: Send + Sync {
    /// Reads one key whose value is small. The total time is limited as for other calls, since
    /// callers wait for the result.
    ///
    /// # Errors
    ///
    /// The store gave no valid answer in time.
    fn get(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads one key whose value may be large. The read continues as long as data arrives.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn get_large(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads one key at a tenth of the cost of a consistent read. The answer may be seconds old.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads a page of the keys with this prefix, those after the key `after` if it is given.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Failure>;

    /// Waits up to `wait` for changes of keys with this prefix after a revision.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Failure>;

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// `not-run`: the transaction was not applied and will not be. `may-have-run`: it was applied,
    /// or may still be while its conditions hold.
    fn apply(&self, change: &Change) -> Result<ApplyResult, Failure>;

    /// Checks with the cheapest call whether the store answers.
    ///
    /// # Errors
    ///
    /// The store gave no valid answer in time.
    fn probe(&self) -> Result<(), Failure>;

    /// Grants a lease of about this length and returns its number.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn grant(&self, length: Duration) -> Result<u64, Failure>;

    /// Renews a lease; false when it has expired.
    ///
    /// # Errors
    ///
    /// As for `get`.
    fn renew(&self, lease: u64) -> Result<bool, Failure>;
}

/// Reads all keys with this prefix, page by page. Returns them with the store revision of the first
/// page. Changes after that revision may be missing, and a watch from it reports them.
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
