//! Specifications that are read from the store where they are needed.
//!
//! On narrow links a job is kept in two values: what decides where its tasks run, which the owner hears of each job
//! and a new owner of all of them; and its specification, which only those need that order tasks to start. An owner of
//! 235 workers heard 85 KB a second of jobs with their specifications, and a new one read 1 MB in 5 s, while its
//! lease was over after 2 s.

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

/// A specification, once somebody has read it.
type Slot = Mutex<Option<Arc<str>>>;

/// The specifications that were read last.
#[derive(Default)]
pub struct SpecCache {
    texts: Mutex<JobCache<Arc<Slot>>>,
}

impl SpecCache {
    /// The specification of a job. Who needs one that is being read waits, since the same call brings it.
    ///
    /// # Errors
    ///
    /// The store gave no usable answer, or the job is over.
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

/// Reads a specification, which stands by itself or with the rest of its job. Each relay reads it for itself, and it is written
/// once: an old answer serves where it has the specification.
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
        return Err(Failure::not_run(Cause::Refused, "the job is over"));
    };
    let submission: Submission = wire::decode(&item.value)?;
    Ok(submission.spec.text)
}

/// A submission as the owner is to hear of it from a box with these settings: an empty specification is one that is
/// read where it is needed.
pub fn for_owner(settings: &Settings, submission: &Submission) -> Submission {
    let mut heard = submission.clone();
    if settings.has_narrow_link() {
        heard.spec.text = "".into();
    }
    heard
}

/// What keeps a submission: one value, or two on a narrow link.
pub fn writes(settings: &Settings, submission: &Submission) -> Vec<Put> {
    let value = |message: Vec<u8>| match settings.has_narrow_link() {
        true => wire::pack(message),
        false => message,
    };
    let heard = for_owner(settings, submission);
    let mut puts = vec![put(keys::job(&submission.id), value(encode(&heard)))];
    if heard.spec.text != submission.spec.text {
        let text = encode(&submission.spec.text);
        puts.push(put(keys::text(&submission.id), value(text)));
    }
    puts
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put {
        key,
        value,
        lease: 0,
    }
}

/// Only maps with odd keys cannot be encoded, and submissions have none.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    wire::encode(value).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::store::{ApplyResult, Change, Item, Page, WatchResult},
        std::{
            sync::atomic::{AtomicU32, Ordering},
            time::Duration,
        },
        test_case::test_case,
    };

    const JOB: &str = "00000000000000a1";

    /// A store with one specification, which old answers have or lack.
    struct Copies {
        lags: bool,
        /// What all reads have cost, in tenths of a call.
        price: AtomicU32,
    }

    fn unused<T>() -> Result<T, Failure> {
        Err(Failure::not_run(Cause::Refused, "not part of this store"))
    }

    impl Copies {
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

    impl Store for Copies {
        fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.get_large(key)
        }

        fn get_large(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.price.fetch_add(10, Ordering::Relaxed);
            Ok(self.item(key))
        }

        fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure> {
            self.price.fetch_add(1, Ordering::Relaxed);
            Ok(self.item(key).filter(|_| !self.lags))
        }

        fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Failure> {
            unused()
        }

        fn watch(&self, _: &str, _: u64, _: Duration) -> Result<WatchResult, Failure> {
            unused()
        }

        fn apply(&self, _: &Change) -> Result<ApplyResult, Failure> {
            unused()
        }

        fn probe(&self) -> Result<(), Failure> {
            unused()
        }

        fn grant(&self, _: Duration) -> Result<u64, Failure> {
            unused()
        }

        fn renew(&self, _: u64) -> Result<bool, Failure> {
            unused()
        }
    }

    /// Twenty relays that each needed a specification paid for a call each: 200 tenths.
    #[test_case(false, 20; "old answers have it")]
    #[test_case(true, 240; "old answers lack it")]
    fn text_price(lags: bool, price: u32) {
        let store = Copies {
            lags,
            price: AtomicU32::new(0),
        };
        for _ in 0..20 {
            let text = SpecCache::default().text(&store, &Id::new(JOB).unwrap());
            assert_eq!(&*text.unwrap(), "text");
        }
        assert_eq!(store.price.into_inner(), price);
    }
}
