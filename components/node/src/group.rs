//! Groups of records, written as one change that the head of the chain guards.

use {
    crate::{
        keys,
        message::{Head, Owner, WorkerRecord},
        ownership::Ownership,
        settings::{GROUP_ENTRIES, GROUP_RECORDS, Settings},
        store::{Change, Item, Put},
    },
    job::Id,
    serde::Serialize,
};

/// How many records of old jobs go with one group.
const FORGET_AT_ONCE: usize = 2;

/// The only cell so far; keys carry its number.
pub const CELL: u32 = 0;

/// One group.
pub struct Group {
    /// The change of the store.
    pub change: Change,
    /// What it covers of the cell.
    pub covers: cell::WriteBatch,
    /// It writes the owner's key anew.
    pub announces: bool,
    /// It gives the cell up.
    pub is_last: bool,
    /// Jobs that ended long ago, whose records it removes.
    pub forgets: Vec<Id>,
}

impl Group {
    /// Takes the next group of a ownership. Records of jobs that ended before a time, in milliseconds
    /// since 1970, are removed with it where it has room.
    pub fn build(settings: &Settings, ownership: &mut Ownership, before: u64) -> Self {
        let covers = ownership.cell.take_write_batch(GROUP_ENTRIES);
        // What is not written by then stays listed by its workers, and the next owner takes it from
        // there: under load there is always something more to write.
        let is_last = ownership.handover.is_some();
        let mut change = guarded(ownership);
        put_records(&mut change, &covers);
        if is_last {
            change.remove.push(keys::owner(CELL));
        }
        let announces = ownership.republish && ownership.lease != 0 && !is_last;
        if announces {
            ownership.republish = false;
            let owner = owner_record(settings);
            change
                .put
                .push(put(keys::owner(CELL), &owner, ownership.lease));
        }
        let mut forgets = Vec::new();
        if covers.records.len() <= GROUP_RECORDS / 2 {
            forgets = ownership.cell.ended_before(before, FORGET_AT_ONCE);
        }
        for id in &forgets {
            change.remove.push(keys::state(id));
            change.remove.push(keys::cancel(id));
        }
        Group {
            change,
            covers,
            announces,
            is_last,
            forgets,
        }
    }

    /// The head's revision, where it shows that this owner wrote it last.
    pub fn own_head(&self, items: &[Item], fence: u64) -> Option<u64> {
        let key = keys::head(CELL);
        let item = items.iter().find(|item| item.key == key)?;
        let head: Head = kernel::wire::decode(&item.value).ok()?;
        (head.fence == fence).then_some(item.revision)
    }
}

/// A change that writes the head anew, on the condition that nobody else has written it.
fn guarded(ownership: &Ownership) -> Change {
    let head = Head {
        fence: ownership.fence,
        claim: 0,
    };
    Change {
        expect: vec![(keys::head(CELL), ownership.head)],
        put: vec![put(keys::head(CELL), &head, 0)],
        ..Change::default()
    }
}

/// Adds what has changed of the cell: states of jobs and the list of workers.
fn put_records(change: &mut Change, covers: &cell::WriteBatch) {
    for (id, record) in &covers.records {
        change.put.push(put_compact(keys::state(id), record));
        if record.state.is_final() {
            change.remove.push(keys::job(id));
            if covers.separate_specs.contains(id) {
                change.remove.push(keys::text(id));
            }
        }
    }
    if let Some(fleet) = &covers.fleet {
        let members: Vec<WorkerRecord> = fleet.iter().cloned().map(WorkerRecord::from).collect();
        change.put.push(put_compact(keys::fleet(CELL), &members));
    }
}

/// The record of this box as an owner.
pub fn owner_record(settings: &Settings) -> Owner {
    Owner {
        name: settings.name.clone(),
        address: settings.address.clone(),
    }
}

/// A key and its value, encoded without the names of fields: for what is written tens of times a second. Records of
/// states took a fifth of what an owner sent on a link of 2 Mbit/s.
pub fn put_compact<T: Serialize>(key: String, value: &T) -> Put {
    let value = kernel::wire::encode_compact(value).unwrap_or_default();
    Put {
        key,
        value,
        lease: 0,
    }
}

/// A key and its value, encoded.
pub fn put<T: Serialize>(key: String, value: &T, lease: u64) -> Put {
    // Only maps with odd keys cannot be encoded, and no value here has any.
    let value = kernel::wire::encode(value).unwrap_or_default();
    Put { key, value, lease }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::store::MAX_ENTRIES,
        cell::{Cell, Timing},
        job::{Queue, Spec, Step, Submission, spec::Size},
        kernel::host::Answerer,
        std::time::Duration,
    };

    fn settings() -> Settings {
        Settings {
            name: "b1".into(),
            hall: "h1".into(),
            share: 500,
            link: 2_500,
            own_workers: 70,
            address: "127.0.0.1:1".into(),
            timing: TIMING,
            drain: Duration::from_secs(2),
            retention: Duration::from_secs(150),
        }
    }

    const TIMING: Timing = Timing {
        lease: 6_000,
        stop: 900,
        pace: 100,
    };

    fn submission(id: Id) -> Submission {
        let step = Step {
            count: 1,
            size: Size {
                cpu: 1_000,
                ..Size::default()
            },
            ..Step::default()
        };
        Submission {
            id,
            spec: Spec {
                text: "text".into(),
                steps: vec![step],
                timetable: None,
            },
            queue: Queue {
                name: "queue".into(),
                host: "host".into(),
                prefix: "/".into(),
                pool: "pool".into(),
                priority: 0,
                attempts: 1,
                stretch: 1.0,
                target: 1,
                advised: false,
            },
            accepted: 1,
        }
    }

    /// A cell in which two jobs were cancelled, which is to be written down.
    fn dirty_cell() -> Cell {
        let mut cell = Cell::new(TIMING);
        for id in ["00000000000000a1", "00000000000000b2"] {
            let id = Id::new(id).unwrap();
            cell.admit(submission(id.clone()), 1);
            cell.cancel(&id, 1, 1);
        }
        cell
    }

    /// Seen while all boxes were restarted in turn under load: new ends came all the time, and the
    /// owner waited in vain until there was nothing to write.
    #[test]
    fn build_last_with_records() {
        let mut ownership = Ownership::new(1, 2, dirty_cell(), 0);
        let (leaving, _released) = Answerer::pair();
        ownership.handover = Some(leaving);
        let group = Group::build(&settings(), &mut ownership, 0);
        assert!(group.is_last && !group.covers.records.is_empty());
        assert!(group.change.remove.contains(&keys::owner(CELL)));
    }

    /// Records of ended jobs take two entries each, others one.
    #[test]
    fn build_keeps_to_the_entries() {
        let mut cell = Cell::new(TIMING);
        for number in 0..60 {
            let id = Id::new(&format!("{number:016x}")).unwrap();
            cell.admit(submission(id.clone()), 1);
            cell.cancel(&id, 1, 1);
        }
        let mut ownership = Ownership::new(1, 2, cell, 0);
        ownership.republish = true;
        let change = Group::build(&settings(), &mut ownership, 10).change;
        let entries = change.expect.len() + change.put.len() + change.remove.len();
        assert!(
            entries <= MAX_ENTRIES && entries > MAX_ENTRIES / 2,
            "{entries}"
        );
    }

    /// Records of old jobs stayed in the store for good when the group that removed them had no room
    /// or was not written: the cell had forgotten them by then.
    #[test]
    fn build_forgets_with_the_write() {
        let mut ownership = Ownership::new(1, 2, dirty_cell(), 0);
        let first = Group::build(&settings(), &mut ownership, 0);
        ownership.cell.batch_written(&first.covers);
        assert!(first.forgets.is_empty());
        let second = Group::build(&settings(), &mut ownership, 10);
        assert_eq!(second.forgets.len(), 2);
        assert!(
            second
                .change
                .remove
                .contains(&keys::state(&second.forgets[0]))
        );
        let again = Group::build(&settings(), &mut ownership, 10);
        assert_eq!(again.forgets.len(), 2);
        ownership.cell.remove_ended(&again.forgets);
        assert!(
            Group::build(&settings(), &mut ownership, 10)
                .forgets
                .is_empty()
        );
    }
}
