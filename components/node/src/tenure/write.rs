//! Groups of records on their way to the store.

use {
    crate::{
        core::Core,
        group::Group,
        settings::{GROUP_GAP, GROUP_RECORDS},
        store::Applied,
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
        let Some(tenure) = self.tenure_of(fence) else {
            answerer.send(None);
            return;
        };
        tenure.writer = Some(answerer);
        self.wake_writer(cx);
    }

    /// Gives the writer a group if it waits for one and there is something to write.
    pub(crate) fn wake_writer(&mut self, cx: &mut Cx<'_, Self>) {
        let settings = self.node.settings.clone();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let has_work = tenure.cell.is_dirty() || tenure.announce || tenure.leaving.is_some();
        if tenure.writer.is_none() || !has_work {
            return;
        }
        let since = time::now().saturating_sub(tenure.written);
        // A full group need not wait for more.
        let is_full = tenure.cell.backlog() >= GROUP_RECORDS;
        let gap = if is_full {
            0
        } else {
            GROUP_GAP.as_millis() as u64
        };
        if since >= gap {
            let retention = settings.retention.as_millis() as u64;
            let before = wall::millis().saturating_sub(retention);
            let group = Group::build(&settings, tenure, before);
            tenure.written = time::now();
            if let Some(writer) = tenure.writer.take() {
                writer.send(Some(group));
            }
            return;
        }
        if tenure.group_due {
            return;
        }
        tenure.group_due = true;
        let fence = tenure.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if let Some(tenure) = this.tenure_of(fence) {
                tenure.group_due = false;
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
        result: Result<Applied, Failure>,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        match result {
            Ok(Applied::Done(revision)) => {
                tenure.head = revision;
                tenure.confirmed();
                if group.is_last {
                    self.depose("it is handed over");
                    return;
                }
                tenure.cell.remove_ended(&group.forgets);
                let kept = tenure.cell.batch_written(&group.covers);
                for id in kept {
                    self.let_poll(fence, &id);
                }
            }
            Ok(Applied::Conflict(items)) => {
                let Some(head) = group.own_head(&items, fence) else {
                    self.depose("another owner has written");
                    return;
                };
                log::info!(target: "owner", head; "A group without an answer turns out to be written.");
                tenure.head = head;
                tenure.confirmed();
                tenure.announce |= group.announces;
                tenure.cell.batch_failed(group.covers);
            }
            Ok(Applied::NoLease) => {
                tenure.lease = 0;
                tenure.announce = true;
                tenure.cell.batch_failed(group.covers);
            }
            Err(_) => {
                tenure.unconfirmed();
                tenure.announce |= group.announces;
                tenure.cell.batch_failed(group.covers);
            }
        }
        self.wake_writer(cx);
    }
}
