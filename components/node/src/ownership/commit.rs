//! Group commit of the owner: when the next group of records is written, and how its result is
//! applied.

use {
    crate::{
        core::Core,
        group::Group,
        settings::{GROUP_INTERVAL, GROUP_RECORDS},
        store::ApplyResult,
        time,
    },
    kernel::{
        Failure,
        actor::Responder,
        stakker::{Cx, after},
        wall_clock,
    },
    std::time::Duration,
};

impl Core {
    /// Answers the writer with the next group, once there is something to write and the minimum
    /// interval has passed.
    pub(crate) fn next_group(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        responder: Responder<Option<Group>>,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            responder.send(None);
            return;
        };
        ownership.writer = Some(responder);
        self.wake_writer(cx);
    }

    /// Sends the writer a group if it is waiting and there is something to write, or sets a timer
    /// for the end of the minimum interval.
    pub(crate) fn wake_writer(&mut self, cx: &mut Cx<'_, Self>) {
        let settings = self.node.settings.clone();
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let has_work = ownership.cell.is_dirty()
            || ownership.republish
            || ownership.handover.is_some()
            || !ownership.held.is_empty();
        if ownership.writer.is_none() || !has_work {
            return;
        }
        let elapsed = time::now().saturating_sub(ownership.group_sent);
        // A full group is written at once.
        let is_full = ownership.cell.backlog() >= GROUP_RECORDS;
        let gap = if is_full {
            0
        } else {
            GROUP_INTERVAL.as_millis() as u64
        };
        if elapsed >= gap {
            let retention = settings.retention.as_millis() as u64;
            let before = wall_clock::millis().saturating_sub(retention);
            let group = Group::build(&settings, ownership, before);
            ownership.group_sent = time::now();
            if let Some(writer) = ownership.writer.take() {
                writer.send(Some(group));
            }
            return;
        }
        if ownership.group_timer {
            return;
        }
        ownership.group_timer = true;
        let fence = ownership.fence;
        after!(Duration::from_millis(gap - elapsed), [cx], |this, cx| {
            if let Some(ownership) = this.ownership_of(fence) {
                ownership.group_timer = false;
                this.wake_writer(cx);
            }
        });
    }

    /// Applies the result of writing a group.
    pub(crate) fn handle_write(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        group: Group,
        result: Result<ApplyResult, Failure>,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        match result {
            Ok(ApplyResult::Done(revision)) => {
                ownership.head = revision;
                ownership.write_confirmed();
                if group.is_release {
                    self.end_ownership("released for shutdown");
                    return;
                }
                ownership.cell.remove_ended(&group.expired);
                let has_admitted = ownership.release_held(revision);
                let released = ownership.cell.batch_written(&group.cell_change);
                for id in released {
                    self.resume_poll(fence, &id);
                }
                if has_admitted {
                    self.schedule_pass(cx);
                }
            }
            Ok(ApplyResult::Conflict(items)) => {
                let Some(head) = group.own_head(&items, fence) else {
                    self.end_ownership("another owner has written to the cell's head");
                    return;
                };
                log::info!(target: "owner", head; "An earlier group whose write had no answer was applied by the store.");
                ownership.head = head;
                ownership.write_confirmed();
                ownership.republish |= group.republishes;
                ownership.cell.batch_failed(group.cell_change);
            }
            Ok(ApplyResult::NoLease) => {
                ownership.lease = 0;
                ownership.republish = true;
                ownership.cell.batch_failed(group.cell_change);
            }
            Err(_) => {
                ownership.write_unanswered();
                ownership.republish |= group.republishes;
                ownership.cell.batch_failed(group.cell_change);
            }
        }
        self.wake_writer(cx);
    }
}
