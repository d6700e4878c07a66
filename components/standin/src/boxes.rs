//! Stand-in for the platform list of boxes, which publishes changes after a delay.

use {
    crate::http_server::{self, ServerRequest},
    infra::boxes::{Boxes, Item, List, State},
    kernel::{Failure, Reply, sync::lock},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 4096;

struct Inner {
    /// Current items, including changes not yet published.
    items: BTreeMap<Arc<str>, Item>,
    /// The published list.
    published: Arc<List>,
    /// When pending changes are published.
    publish_at: Option<Instant>,
    lag: Duration,
}

/// The list of boxes and its unpublished changes.
#[derive(Clone)]
pub struct Registry {
    inner: Arc<Mutex<Inner>>,
}

impl Registry {
    /// Creates an empty list that publishes changes after `lag`.
    pub fn new(lag: Duration) -> Self {
        let published = Arc::new(List {
            version: 1,
            items: Vec::new(),
        });
        let inner = Inner {
            items: BTreeMap::new(),
            published,
            publish_at: None,
            lag,
        };
        Registry {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<Arc<str>, Item>)) {
        let mut inner = lock(&self.inner);
        change(&mut inner.items);
        if inner.publish_at.is_none() {
            inner.publish_at = Some(Instant::now() + inner.lag);
        }
    }

    /// Adds or replaces a box.
    pub fn put(&self, item: Item) {
        self.change(|items| {
            items.insert(item.name.clone(), item);
        });
    }

    /// Removes a box.
    pub fn remove(&self, name: &str) {
        self.change(|items| {
            items.remove(name);
        });
    }

    /// Marks a box as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.change(|items| {
            if let Some(item) = items.get_mut(name) {
                item.state = State::Leaving;
            }
        });
    }

    /// Returns the published list, after publishing changes that are due.
    pub fn published(&self) -> Arc<List> {
        let mut inner = lock(&self.inner);
        if inner
            .publish_at
            .is_some_and(|publish_at| Instant::now() >= publish_at)
        {
            inner.publish_at = None;
            let version = inner.published.version + 1;
            let items = inner.items.values().cloned().collect();
            inner.published = Arc::new(List { version, items });
        }
        inner.published.clone()
    }

    /// Serves the list over HTTP. Returns its base URL.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(&self, address: SocketAddr) -> io::Result<String> {
        let registry = self.clone();
        http_server::open(address, MAX_CONNECTIONS, move |request| {
            handle(&registry, &request).into()
        })
    }
}

impl Boxes for Registry {
    fn list(&self, after: u64) -> Result<Option<List>, Failure> {
        let published = self.published();
        Ok((published.version != after).then(|| (*published).clone()))
    }
}

fn handle(registry: &Registry, request: &ServerRequest) -> Reply {
    let after = request.number("after");
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/boxes") => {
            let published = registry.published();
            if published.version == after {
                Reply::text(304, "")
            } else {
                let body = serde_json::to_vec(&*published).unwrap_or_default();
                Reply::bytes(200, "application/json", body)
            }
        }
        ("POST", "/admin/put") => match serde_json::from_slice::<Vec<Item>>(&request.body) {
            Ok(items) => {
                for item in items {
                    registry.put(item);
                }
                Reply::text(200, "put\n")
            }
            Err(e) => Reply::text(400, e.to_string()),
        },
        ("POST", "/admin/leave") => {
            registry.mark_leaving(request.parameter("name").unwrap_or_default());
            Reply::text(200, "leaving\n")
        }
        ("POST", "/admin/remove") => {
            registry.remove(request.parameter("name").unwrap_or_default());
            Reply::text(200, "removed\n")
        }
        _ => Reply::text(404, "no such path\n"),
    }
}

#[cfg(test)]
mod tests {
    use {super::*, crate::proxy::Proxy, infra::boxes, kernel::Client};

    fn item(number: usize) -> Item {
        Item {
            name: format!("box-{number}").into(),
            kind: boxes::Kind::Worker,
            hall: "hall".into(),
            rack: "rack".into(),
            state: State::Live,
            services: BTreeMap::new(),
            size: infra::Size::new(64_000, 256_000, 0),
            generation: "g1".into(),
            class: "".into(),
        }
    }

    /// A list of 8,000 boxes exceeds 1 MB and takes over 2.5 s to transfer at this rate, longer
    /// than a call may wait for its response to begin.
    #[test]
    fn list_over_slow_connection() {
        let registry = Registry::new(Duration::ZERO);
        for number in 0..8_000 {
            registry.put(item(number));
        }
        let url = registry.open(([127, 0, 0, 1], 0).into()).unwrap();
        let proxy = Proxy::open(url.trim_start_matches("http://").parse().unwrap()).unwrap();
        proxy.set_rate(400_000);
        let http = boxes::Http::new(&format!("http://{}", proxy.address()), Client::new(None));
        assert_eq!(http.list(0).unwrap().unwrap().items.len(), 8_000);
        assert!(proxy.bytes_delivered() > 1_000_000);
    }

    #[test]
    fn list_over_http() {
        let registry = Registry::new(Duration::ZERO);
        let url = registry.open(([127, 0, 0, 1], 0).into()).unwrap();
        let http = boxes::Http::new(&url, Client::new(None));
        let empty = http.list(0).unwrap().unwrap();
        assert!(empty.items.is_empty());
        assert_eq!(http.list(empty.version), Ok(None));
    }
}
