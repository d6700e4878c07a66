//! Maintenance waves of the owner: the notes for the next owner, and what becomes of the orders to
//! machines. See docs/design/waves.md.

use {
    crate::{
        core::Node,
        external::{Machines, StoredWave},
        permits::Permits,
    },
    cell::{MaintenanceOrder, MaintenanceOutcome, Wave, WaveStatus},
    std::collections::HashMap,
};

/// The notes of the current waves. Each is written only if no other owner has written it since it
/// was read.
pub struct Notes<'a> {
    machines: &'a dyn Machines,
    notes: HashMap<u64, Note>,
}

/// What is stored of a wave.
struct Note {
    status: Option<WaveStatus>,
    revision: u64,
    /// It holds the latest progress.
    is_written: bool,
}

impl<'a> Notes<'a> {
    /// Splits the stored waves into the waves and their notes.
    pub fn split(machines: &'a dyn Machines, stored: Vec<StoredWave>) -> (Vec<Wave>, Self) {
        let mut waves = Vec::new();
        let mut notes = HashMap::new();
        for StoredWave {
            wave,
            status,
            revision,
        } in stored
        {
            let note = Note {
                status,
                revision,
                is_written: false,
            };
            notes.insert(wave.number, note);
            waves.push(wave);
        }
        (waves, Notes { machines, notes })
    }

    /// Writes the progress of the waves where it has changed, for the owner with this fence.
    pub fn write(&mut self, permits: &Permits, fence: u64, statuses: Vec<WaveStatus>) {
        for status in statuses {
            let Some(note) = self.notes.get_mut(&status.wave) else {
                continue;
            };
            note.is_written = note.status.as_ref() == Some(&status);
            if note.is_written {
                continue;
            }
            let Some(permit) = permits.for_service(fence) else {
                continue;
            };
            let written = self
                .machines
                .report_progress(&status, note.revision, &permit);
            match written {
                Ok(revision) => {
                    *note = Note {
                        status: Some(status),
                        revision,
                        is_written: true,
                    };
                }
                Err(failure) => {
                    log::warn!(target: "owner", wave = status.wave, error:% = failure; "Could not report the progress of a maintenance wave.");
                }
            }
        }
    }

    /// True if the store surely has the progress that was last written. Only then may orders of the
    /// wave be sent: the next owner must know of them.
    pub fn are_written(&self, wave: u64) -> bool {
        self.notes.get(&wave).is_some_and(|note| note.is_written)
    }
}

/// Passes the outcome of an order to the cell.
pub fn handle_outcome(
    node: &Node,
    fence: u64,
    order: MaintenanceOrder,
    outcome: MaintenanceOutcome,
) {
    match outcome {
        MaintenanceOutcome::Begun => {
            node.actor
                .tell(move |core, _| core.maintenance_begun(fence, &order));
        }
        MaintenanceOutcome::Refused => {
            node.actor
                .tell(move |core, _| core.maintenance_refused(fence, &order));
        }
        MaintenanceOutcome::Unknown => {}
    }
}
