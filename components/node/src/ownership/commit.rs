//! Groups of records on their way to the store.

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
        host::Answerer,
        stakker::{Cx, after},
        wall,
    },
    std::time::Duration,
};

impl Core {
    /// Hands the writer its next group, now or when the gap has passed.
    pub(crate) fn next_group(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        answerer: Answerer<Option<Group>>,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            answerer.send(None);
            return;
        };
        ownership.writer = Some(answerer);
        self.wake_writer(cx);
    }

    /// Gives the writer a group if it waits for one and there is something to write.
    pub(crate) fn wake_writer(&mut self, cx: &mut Cx<'_, Self>) {
        let settings = self.node.settings.clone();
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let has_work =
            ownership.cell.is_dirty() || ownership.republish || ownership.handover.is_some();
        if ownership.writer.is_none() || !has_work {
            return;
        }
        let since = time::now().saturating_sub(ownership.written);
        // A full group need not wait for more.
        let is_full = ownership.cell.backlog() >= GROUP_RECORDS;
        let gap = if is_full {
            0
        } else {
            GROUP_INTERVAL.as_millis() as u64
        };
        if since >= gap {
            let retention = settings.retention.as_millis() as u64;
            let before = wall::millis().saturating_sub(retention);
            let group = Group::build(&settings, ownership, before);
            ownership.written = time::now();
            if let Some(writer) = ownership.writer.take() {
                writer.send(Some(group));
            }
            return;
        }
        if ownership.group_due {
            return;
        }
        ownership.group_due = true;
        let fence = ownership.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if let Some(ownership) = this.ownership_of(fence) {
                ownership.group_due = false;
                this.wake_writer(cx);
            }
        });
    }

    /// Takes in what came of writing a group.
    pub(crate) fn wrote(
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
                ownership.confirmed();
                if group.is_last {
                    self.end_ownership("it is handed over");
                    return;
                }
                ownership.cell.remove_ended(&group.forgets);
                let kept = ownership.cell.batch_written(&group.covers);
                for id in kept {
                    self.let_poll(fence, &id);
                }
            }
            Ok(ApplyResult::Conflict(items)) => {
                let Some(head) = group.own_head(&items, fence) else {
                    self.end_ownership("another owner has written");
                    return;
                };
                log::info!(target: "owner", head; "A group without an answer turns out to be written.");
                ownership.head = head;
                ownership.confirmed();
                ownership.republish |= group.announces;
                ownership.cell.batch_failed(group.covers);
            }
            Ok(ApplyResult::NoLease) => {
                ownership.lease = 0;
                ownership.republish = true;
                ownership.cell.batch_failed(group.covers);
            }
            Err(_) => {
                ownership.unconfirmed();
                ownership.republish |= group.announces;
                ownership.cell.batch_failed(group.covers);
            }
        }
        self.wake_writer(cx);
    }
}
