//! Polls the platform's list of boxes in a thread and gives access to the latest list.

use {
    arc_swap::ArcSwap,
    infra::boxes::{Boxes, Item, Kind, List, State},
    kernel::task::{self, Signal},
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// Callback for each new list.
pub type OnChange = Box<dyn Fn(&Arc<List>) + Send>;

/// A thread that polls the list, and the latest list; dropping it stops the thread.
pub struct BoxWatcher {
    view: View,
    signal: Signal,
    thread: Option<JoinHandle<()>>,
}

/// A handle to the latest list.
#[derive(Clone)]
pub struct View {
    list: Arc<ArcSwap<List>>,
}

impl View {
    /// Creates a view of a list that never changes, for tests and embedders.
    pub fn fixed(list: List) -> Self {
        View {
            list: Arc::new(ArcSwap::from_pointee(list)),
        }
    }

    /// Returns the latest list.
    pub fn list(&self) -> Arc<List> {
        self.list.load_full()
    }

    /// Returns the base addresses of a service on live entry boxes. The box named `first` comes first,
    /// also when it is leaving.
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

    /// Returns the live entry boxes that offer a service, each with the service's base address.
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
    /// Starts the thread, which reads the list once per period.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot create a thread.
    pub fn start(boxes: Arc<dyn Boxes>, period: Duration, on_change: OnChange) -> io::Result<Self> {
        let view = View::fixed(List::default());
        let signal = Signal::new();
        let (shared_view, stop) = (view.clone(), signal.clone());
        let run = move || poll(boxes.as_ref(), period, &shared_view, &stop, &on_change);
        let thread = task::spawn("roster", run)?;
        Ok(BoxWatcher {
            view,
            signal,
            thread: Some(thread),
        })
    }

    /// Returns the handle to the latest list.
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

fn poll(boxes: &dyn Boxes, period: Duration, view: &View, signal: &Signal, on_change: &OnChange) {
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
                // The last list stays in use. Only the first of consecutive failures is logged.
                if !failing {
                    log::warn!(target: "members", "Reading the list of boxes failed; the last list stays in use. {failure}");
                }
                failing = true;
            }
        }
        signal.wait(period);
    }
}
