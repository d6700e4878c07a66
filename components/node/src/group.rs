//! Group commit: changed records of the cell that the owner writes to the store in one transaction.
//! The transaction is conditional on the head key, so that it fails once another owner has written.

use {
    crate::{
        keys,
        message::{Head, Owner, SealRecord, WorkerRecord},
        ownership::Ownership,
        settings::{GROUP_ENTRIES, GROUP_RECORDS, Settings},
        store::{Change, Item, Put},
    },
    job::Id,
    serde::Serialize,
};

/// Maximum number of expired job records that one group removes.
const MAX_EXPIRED: usize = 2;

/// Number of the only cell; it is part of the store keys.
pub const CELL: u32 = 0;

/// One group of records.
pub struct Group {
    /// The store transaction.
    pub change: Change,
    /// The changes of the cell that the group writes.
    pub cell_change: cell::WriteBatch,
    /// The group writes the owner's key again.
    pub republishes: bool,
    /// The group removes the owner's key and so releases the cell.
    pub is_release: bool,
    /// Jobs past their retention time, whose records the group removes.
    pub expired: Vec<Id>,
}

impl Group {
    /// Builds the next group from the changes of the cell. If space is left, it also removes
    /// the records of jobs that ended before `before`, in milliseconds since 1970.
    pub fn build(settings: &Settings, ownership: &mut Ownership, before: u64) -> Self {
        let cell_change = ownership.cell.take_write_batch(GROUP_ENTRIES);
        // Under load the cell always has unwritten changes, so the release does not wait for them.
        // The workers keep reporting unwritten ends, and the next owner reads them from their
        // reports.
        let is_release = ownership.handover.is_some();
        let mut change = conditional_change(ownership);
        put_records(&mut change, &cell_change, ownership.fence);
        if is_release {
            change.remove.push(keys::owner(CELL));
        }
        let republishes = ownership.republish && ownership.lease != 0 && !is_release;
        if republishes {
            ownership.republish = false;
            let owner = owner_record(settings);
            change
                .put
                .push(put(keys::owner(CELL), &owner, ownership.lease));
        }
        let mut expired = Vec::new();
        if cell_change.records.len() <= GROUP_RECORDS / 2 {
            expired = ownership.cell.ended_before(before, MAX_EXPIRED);
        }
        for id in &expired {
            change.remove.push(keys::state(id));
            change.remove.push(keys::cancel(id));
        }
        Group {
            change,
            cell_change,
            republishes,
            is_release,
            expired,
        }
    }

    /// Revision of the head among the `items` of a conflict, if the owner with this fence wrote it
    /// last.
    pub fn own_head(&self, items: &[Item], fence: u64) -> Option<u64> {
        let key = keys::head(CELL);
        let item = items.iter().find(|item| item.key == key)?;
        let head: Head = kernel::wire::decode(&item.value).ok()?;
        (head.fence == fence).then_some(item.revision)
    }
}

/// A transaction that writes the head, on condition that no other owner has written it.
fn conditional_change(ownership: &Ownership) -> Change {
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

/// Adds the changed job records, the list of workers and the seals of the owner with this fence to
/// a transaction.
fn put_records(change: &mut Change, cell_change: &cell::WriteBatch, fence: u64) {
    for (id, record) in &cell_change.records {
        change.put.push(put_compact(keys::state(id), record));
        if record.state.is_final() {
            change.remove.push(keys::job(id));
            if cell_change.separate_specs.contains(id) {
                change.remove.push(keys::text(id));
            }
        }
    }
    if let Some(fleet) = &cell_change.fleet {
        let workers: Vec<WorkerRecord> = fleet.iter().cloned().map(WorkerRecord::from).collect();
        change.put.push(put_compact(keys::fleet(CELL), &workers));
    }
    if let Some(seals) = &cell_change.seals {
        let seals = seals.clone();
        let record = SealRecord { fence, seals };
        change.put.push(put_compact(keys::seals(CELL), &record));
    }
}

/// The value of the owner's key for this box.
pub fn owner_record(settings: &Settings) -> Owner {
    Owner {
        name: settings.name.clone(),
        address: settings.address.clone(),
    }
}

/// Encodes a key and its value without field names, for values that are written tens of times a
/// second. With field names, job records took a fifth of what an owner sent on a link of 2 Mbit/s.
pub fn put_compact<T: Serialize>(key: String, value: &T) -> Put {
    let value = kernel::wire::encode_compact(value).unwrap_or_default();
    Put {
        key,
        value,
        lease: 0,
    }
}

/// Encodes a key and its value, attached to `lease` (0 for none).
pub fn put<T: Serialize>(key: String, value: &T, lease: u64) -> Put {
    // Encoding fails only for maps whose keys are not strings, which no value here has.
    let value = kernel::wire::encode(value).unwrap_or_default();
    Put { key, value, lease }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::{settings::Takeover, store::MAX_ENTRIES},
        cell::{Cell, Timing},
        job::{Queue, Spec, Step, Submission, spec::Size},
        kernel::actor::Responder,
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
            takeover: Takeover::Gradual,
            admission: true,
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
            fence: 0,
        }
    }

    /// A cell with unwritten records of two cancelled jobs.
    fn dirty_cell() -> Cell {
        let mut cell = Cell::new(TIMING);
        for id in ["00000000000000a1", "00000000000000b2"] {
            let id = Id::new(id).unwrap();
            cell.admit(submission(id.clone()), 1);
            cell.cancel(&id, 1, 1);
        }
        cell
    }

    /// The release of the cell must not wait until all changes are written: during a rolling
    /// restart under load, tasks ended all the time and the owner never ran out of changes to
    /// write.
    #[test]
    fn build_release_with_pending_records() {
        let mut ownership = Ownership::new(1, 2, dirty_cell(), 0);
        let (handover, _released) = Responder::channel();
        ownership.handover = Some(handover);
        let group = Group::build(&settings(), &mut ownership, 0);
        assert!(group.is_release && !group.cell_change.records.is_empty());
        assert!(group.change.remove.contains(&keys::owner(CELL)));
    }

    /// Records of ended jobs take two entries each, others take one; a group must stay within the
    /// limit of the store.
    #[test]
    fn build_within_entry_limit() {
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

    /// A batch that fills the group, with the fleet and the seals; the group also publishes the
    /// owner again.
    fn full_batch() -> cell::WriteBatch {
        let record = |number| {
            let id = Id::new(&format!("{number:016x}")).unwrap();
            (id, job::Record::default())
        };
        cell::WriteBatch {
            records: (0..GROUP_ENTRIES).map(record).collect(),
            fleet: Some(Vec::new()),
            seals: Some(Vec::new()),
            ..cell::WriteBatch::default()
        }
    }

    #[test]
    fn put_records_with_seals_within_entry_limit() {
        let mut ownership = Ownership::new(1, 2, Cell::new(TIMING), 0);
        ownership.republish = true;
        let mut change = Group::build(&settings(), &mut ownership, 0).change;
        put_records(&mut change, &full_batch(), 1);
        let entries = change.expect.len() + change.put.len() + change.remove.len();
        assert_eq!(entries, MAX_ENTRIES);
    }

    #[test]
    fn put_records_writes_seals_with_fence() {
        let mut change = Change::default();
        put_records(&mut change, &full_batch(), 7);
        let written = change.put.iter().find(|put| put.key == keys::seals(CELL));
        let record: SealRecord = kernel::wire::decode(&written.unwrap().value).unwrap();
        assert_eq!(record.fence, 7);
    }

    /// The cell may remove an expired job only once the group that removes its record is written.
    /// Otherwise the record stays in the store forever when the group is full or is not written.
    #[test]
    fn build_removes_expired_until_written() {
        let mut ownership = Ownership::new(1, 2, dirty_cell(), 0);
        let first = Group::build(&settings(), &mut ownership, 0);
        ownership.cell.batch_written(&first.cell_change);
        assert!(first.expired.is_empty());
        let second = Group::build(&settings(), &mut ownership, 10);
        assert_eq!(second.expired.len(), 2);
        assert!(
            second
                .change
                .remove
                .contains(&keys::state(&second.expired[0]))
        );
        let again = Group::build(&settings(), &mut ownership, 10);
        assert_eq!(again.expired.len(), 2);
        ownership.cell.remove_ended(&again.expired);
        assert!(
            Group::build(&settings(), &mut ownership, 10)
                .expired
                .is_empty()
        );
    }
}
