//! Specifications that are read from the store where they are needed.
//!
//! On narrow links a job is kept in two values: what decides where its tasks run, which the owner hears of each job
//! and a new owner of all of them; and its specification, which only those need that order tasks to start. An owner of
//! 235 workers heard 85 KB a second of jobs with their specifications, and a new one read 1 MB in 5 s, while its
//! lease was over after 2 s.

use {
    crate::{
        keys,
        settings::Settings,
        store::{Put, Store},
        texts::Texts,
    },
    job::{Id, Submission},
    kernel::{Failure, sync::lock, verdict::Cause, wire},
    std::sync::{Arc, Mutex},
};

/// A specification, once somebody has read it.
type Slot = Mutex<Option<Arc<str>>>;

/// The specifications that were read last.
#[derive(Default)]
pub struct Fetched {
    texts: Mutex<Texts<Arc<Slot>>>,
}

impl Fetched {
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
        texts.keep(job.clone(), slot.clone());
        slot
    }
}

/// Reads a specification, which stands by itself or with the rest of its job.
fn read(store: &dyn Store, job: &Id) -> Result<Arc<str>, Failure> {
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
pub fn heard(settings: &Settings, submission: &Submission) -> Submission {
    let mut heard = submission.clone();
    if settings.is_narrow() {
        heard.spec.text = "".into();
    }
    heard
}

/// What keeps a submission: one value, or two on a narrow link.
pub fn puts(settings: &Settings, submission: &Submission) -> Vec<Put> {
    let value = |message: Vec<u8>| match settings.is_narrow() {
        true => wire::pack(message),
        false => message,
    };
    let heard = heard(settings, submission);
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
