//! The list of boxes as one process last saw it.

use {
    arc_swap::ArcSwap,
    infra::boxes::{Boxes, Item, Kind, List, State},
    kernel::task::{self, Signal},
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// What happens with each new list.
pub type OnChange = Box<dyn Fn(&Arc<List>) + Send>;

/// A task that reads the list again and again, and the list it last saw.
pub struct BoxWatcher {
    view: View,
    signal: Signal,
    thread: Option<JoinHandle<()>>,
}

/// A handle to the list that was last seen.
#[derive(Clone)]
pub struct View {
    list: Arc<ArcSwap<List>>,
}

impl View {
    /// A view that shows this list for ever; for tests and for embedders.
    pub fn fixed(list: List) -> Self {
        View {
            list: Arc::new(ArcSwap::from_pointee(list)),
        }
    }

    /// The list.
    pub fn list(&self) -> Arc<List> {
        self.list.load_full()
    }

    /// The base addresses of a service on live entry boxes, the box of this name first.
    pub fn urls(&self, service: &str, first: &str) -> Vec<Arc<str>> {
        let list = self.list();
        let mut urls = Vec::new();
        for item in list.of_kind(Kind::Entry) {
            let Some(url) = item.url(service) else {
                continue;
            };
            if &*item.name == first {
                urls.insert(0, url.clone());
                continue;
            }
            if item.state == State::Live {
                urls.push(url.clone());
            }
        }
        urls
    }

    /// The live entry boxes that have a service, with its base address.
    pub fn live(&self, service: &str) -> Vec<(Arc<str>, Arc<str>)> {
        let list = self.list();
        let live = |item: &&Item| item.state == State::Live;
        let pair = |item: &Item| Some((item.name.clone(), item.url(service)?.clone()));
        list.of_kind(Kind::Entry)
            .filter(live)
            .filter_map(pair)
            .collect()
    }
}

impl BoxWatcher {
    /// Starts the task, which reads the list once each period.
    ///
    /// # Errors
    ///
    /// The system has no room for a thread.
    pub fn start(boxes: Arc<dyn Boxes>, period: Duration, on_change: OnChange) -> io::Result<Self> {
        let view = View::fixed(List::default());
        let signal = Signal::new();
        let (theirs, bell) = (view.clone(), signal.clone());
        let run = move || follow(boxes.as_ref(), period, &theirs, &bell, &on_change);
        let thread = task::spawn("roster", run)?;
        Ok(BoxWatcher {
            view,
            signal,
            thread: Some(thread),
        })
    }

    /// The handle to the list.
    pub fn view(&self) -> &View {
        &self.view
    }
}

impl Drop for BoxWatcher {
    fn drop(&mut self) {
        self.signal.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn follow(boxes: &dyn Boxes, period: Duration, view: &View, signal: &Signal, on_change: &OnChange) {
    let mut failing = false;
    while !signal.is_stopped() {
        match boxes.list(view.list().version) {
            Ok(Some(list)) => {
                let list = Arc::new(list);
                view.list.store(list.clone());
                failing = false;
                on_change(&list);
            }
            Ok(None) => failing = false,
            Err(failure) => {
                // The last list stays in use; one line when it starts to fail.
                if !failing {
                    log::warn!(target: "members", "The list of boxes cannot be read. {failure}");
                }
                failing = true;
            }
        }
        signal.wait(period);
    }
}
