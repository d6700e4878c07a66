//! Storage of the specification texts of jobs, and a cache of texts read from the store.
//!
//! On narrow links a job is stored as two values: the part that placement needs, which the owner
//! receives for every job and a new owner reads for all jobs; and the specification text, which
//! only senders of start orders need. With the texts included, an owner of 235 workers received 85
//! KB of jobs per second, and a new owner read 1 MB in 5 s, while its lease expired after 2 s.

use {
    crate::{
        job_cache::JobCache,
        keys,
        settings::Settings,
        store::{Put, Store},
    },
    job::{Id, Submission},
    kernel::{Failure, sync::lock, verdict::Cause, wire},
    std::sync::{Arc, Mutex},
};

/// A specification text, empty until it has been read.
type Slot = Mutex<Option<Arc<str>>>;

/// Caches the specification texts that were read from the store last.
#[derive(Default)]
pub struct SpecCache {
    texts: Mutex<JobCache<Arc<Slot>>>,
}

impl SpecCache {
    /// The specification text of a job. Concurrent calls for the same job share one read of the
    /// store.
    ///
    /// # Errors
    ///
    /// The store gave no usable answer, or the job has ended.
    pub fn text(&self, store: &dyn Store, job: &Id) -> Result<Arc<str>, Failure> {
        let slot = self.slot(job);
        let mut text = lock(&slot);
        if let Some(text) = &*text {
            return Ok(text.clone());
        }
        Ok(text.insert(read(store, job)?).clone())
    }

    fn slot(&self, job: &Id) -> Arc<Slot> {
        let mut texts = lock(&self.texts);
        if let Some(slot) = texts.get(job) {
            return slot.clone();
        }
        let slot = Arc::new(Slot::default());
        texts.insert(job.clone(), slot.clone());
        slot
    }
}

/// Reads a specification text, which is stored under its own key or within the submission. Every
/// relay reads it separately. Since it never changes, the cheaper stale reads are tried first.
fn read(store: &dyn Store, job: &Id) -> Result<Arc<str>, Failure> {
    if let Some(item) = store.get_stale(&keys::text(job))? {
        return wire::decode(&item.value);
    }
    if let Some(item) = store.get_stale(&keys::job(job))? {
        let submission: Submission = wire::decode(&item.value)?;
        if !submission.spec.text.is_empty() {
            return Ok(submission.spec.text);
        }
    }
    if let Some(item) = store.get_large(&keys::text(job))? {
        return wire::decode(&item.value);
    }
    let Some(item) = store.get_large(&keys::job(job))? else {
        return Err(Failure::not_run(Cause::Refused, "the job has ended"));
    };
    let submission: Submission = wire::decode(&item.value)?;
    Ok(submission.spec.text)
}

/// The submission as it is sent to the owner by a box with these settings. On a narrow link the
/// specification text is empty and has to be read from the store on demand.
pub fn for_owner(settings: &Settings, submission: &Submission) -> Submission {
    let mut sent = submission.clone();
    if settings.has_narrow_link() {
        sent.spec.text = "".into();
    }
    sent
}

/// The writes that store a submission: one value, or two on a narrow link.
pub fn writes(settings: &Settings, submission: &Submission) -> Vec<Put> {
    let value = |message: Vec<u8>| match settings.has_narrow_link() {
        true => wire::compress(message),
        false => message,
    };
    let sent = for_owner(settings, submission);
    let mut writes = vec![put(keys::job(&submission.id), value(encode(&sent)))];
    if sent.spec.text != submission.spec.text {
        let text = encode(&submission.spec.text);
        writes.push(put(keys::text(&submission.id), value(text)));
    }
    writes
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put {
        key,
        value,
        lease: 0,
    }
}

/// Encodes a value. This fails only for unsupported map keys, which submissions do not have.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    wire::encode(value).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::{
            fixtures::{ReadOnly, Reads},
            store::Item,
        },
        std::sync::atomic::{AtomicU32, Ordering},
        test_case::test_case,
    };

    const JOB: &str = "00000000000000a1";

    /// A store with one specification text, which stale reads may miss.
    struct LaggingStore {
        lags: bool,
        /// The cost of all reads, in tenths of a call.
        cost: AtomicU32,
    }

    impl LaggingStore {
        fn item(&self, key: &str) -> Option<Item> {
            let is_text = key == keys::text(&Id::new(JOB).unwrap());
            is_text.then(|| Item {
                key: key.to_owned(),
                value: wire::encode(&"text").unwrap(),
                revision: 5,
                store_revision: 5,
            })
        }
    }

    impl Reads for LaggingStore {
        fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.get_large(key)
        }

        fn get_large(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.cost.fetch_add(10, Ordering::Relaxed);
            Ok(self.item(key))
        }

        fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.cost.fetch_add(1, Ordering::Relaxed);
            Ok(self.item(key).filter(|_| !self.lags))
        }
    }

    /// Twenty relays read the same text. With consistent reads only, this would cost 200 tenths of
    /// a call.
    #[test_case(false, 20; "stale reads have it")]
    #[test_case(true, 240; "stale reads miss it")]
    fn text_read_cost(lags: bool, cost: u32) {
        let store = ReadOnly(LaggingStore {
            lags,
            cost: AtomicU32::new(0),
        });
        for _ in 0..20 {
            let text = SpecCache::default().text(&store, &Id::new(JOB).unwrap());
            assert_eq!(&*text.unwrap(), "text");
        }
        assert_eq!(store.0.cost.into_inner(), cost);
    }
}
