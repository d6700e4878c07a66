//! Groups of records, written as one change that the head of the chain guards.

use {
    crate::{
        keys,
        message::{Head, Member, Owner},
        settings::{GROUP_RECORDS, Settings},
        store::{Change, Item, Put},
        tenure::Tenure,
    },
    job::Id,
    serde::Serialize,
};

/// The only cell so far; keys carry its number.
pub const CELL: u32 = 0;

/// One group.
pub struct Group {
    /// The change of the store.
    pub change: Change,
    /// What it covers of the cell.
    pub covers: cell::Change,
    /// It writes the owner's key anew.
    pub announces: bool,
    /// It gives the cell up.
    pub is_last: bool,
}

impl Group {
    /// Takes the next group of a tenure.
    pub fn build(settings: &Settings, tenure: &mut Tenure, forgotten: Vec<Id>) -> Self {
        let covers = tenure.cell.take_change(GROUP_RECORDS);
        let is_last = tenure.leaving.is_some() && covers.is_empty();
        let mut change = Change {
            expect: vec![(keys::head(CELL), tenure.head)],
            ..Change::default()
        };
        let head = Head {
            fence: tenure.fence,
            claim: 0,
        };
        change.put.push(put(keys::head(CELL), &head, 0));
        for (id, record) in &covers.records {
            change.put.push(put(keys::state(id), record, 0));
            if record.state.is_final() {
                change.remove.push(keys::job(id));
            }
        }
        if let Some(fleet) = &covers.fleet {
            let members: Vec<Member> = fleet.iter().cloned().map(Member::from).collect();
            change.put.push(put(keys::fleet(CELL), &members, 0));
        }
        if let Some(learned) = &covers.learned {
            change.put.push(put(keys::learned(CELL), learned, 0));
        }
        if is_last {
            change.remove.push(keys::owner(CELL));
        }
        let announces = tenure.announce && tenure.lease != 0 && !is_last;
        if announces {
            tenure.announce = false;
            let owner = own(settings);
            change
                .put
                .push(put(keys::owner(CELL), &owner, tenure.lease));
        }
        if covers.records.len() <= GROUP_RECORDS / 2 {
            for id in &forgotten {
                change.remove.push(keys::state(id));
                change.remove.push(keys::cancel(id));
            }
        }
        Group {
            change,
            covers,
            announces,
            is_last,
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

/// The record of this box as an owner.
pub fn own(settings: &Settings) -> Owner {
    Owner {
        name: settings.name.clone(),
        address: settings.address.clone(),
    }
}

/// A key and its value, encoded.
pub fn put<T: Serialize>(key: String, value: &T, lease: u64) -> Put {
    // Only maps with odd keys cannot be encoded, and no value here has any.
    let value = kernel::wire::encode(value).unwrap_or_default();
    Put { key, value, lease }
}
