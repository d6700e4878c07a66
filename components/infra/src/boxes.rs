//! The platform's list of boxes with their kind, state and services, and its HTTP adapter.
//!
//! `GET /v1/boxes?after=V` answers 200 with the whole list as JSON, or 304 when its version is
//! still V. The list lags behind the actual state of the boxes.

use {
    crate::size::Size,
    kernel::{Call, Client, Failure, client::Timeout, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Timeout of a request for the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Runs services of this system.
    Entry,
    /// Runs tasks.
    Worker,
    /// A backend server, which answers callers' requests.
    Backend,
}

/// Whether the platform intends to keep a box in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// One box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The name, unique in the list.
    pub name: Arc<str>,
    /// The role of the box.
    pub kind: Kind,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Whether the box is about to be removed.
    pub state: State,
    /// The base address of each service on the box: `gate`, `sched`, `table`, `worker`, `http`.
    pub services: BTreeMap<Arc<str>, Arc<str>>,
    /// The resources of a worker.
    #[serde(default)]
    pub size: Size,
    /// The hardware generation of a worker.
    #[serde(default = "no_name")]
    pub generation: Arc<str>,
    /// The class of requests that a backend server answers.
    #[serde(default = "no_name")]
    pub class: Arc<str>,
}

fn no_name() -> Arc<str> {
    Arc::from("")
}

impl Item {
    /// Returns the base address of a service on this box.
    pub fn url(&self, service: &str) -> Option<&Arc<str>> {
        self.services.get(service)
    }
}

/// One version of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Increases with each change.
    pub version: u64,
    /// The boxes, sorted by name.
    pub items: Vec<Item>,
}

impl List {
    /// Returns the boxes of a kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(move |item| item.kind == kind)
    }
}

/// Client interface of the service that lists the boxes.
pub trait Boxes: Send + Sync {
    /// Returns the list, or `None` when its version is still `after`.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, times out, or answers with an invalid list.
    fn list(&self, after: u64) -> Result<Option<List>, Failure>;
}

/// The HTTP adapter.
pub struct Http {
    base: String,
    client: Client,
}

impl Http {
    /// Creates an adapter for the service at this base address.
    pub fn new(base: &str, client: Client) -> Self {
        Http {
            base: base.to_owned(),
            client,
        }
    }
}

impl Boxes for Http {
    fn list(&self, after: u64) -> Result<Option<List>, Failure> {
        let url = format!("{}/v1/boxes?after={after}", self.base);
        let call = Call {
            method: "GET",
            url: &url,
            headers: &[],
            body: &[],
            timeout: Timeout::single(TIMEOUT).streaming(),
        };
        let response = self.client.send(&call)?;
        match response.status {
            304 => Ok(None),
            200 => match serde_json::from_slice(&response.body) {
                Ok(list) => Ok(Some(list)),
                Err(e) => Err(Failure::may_have_run(Cause::BadAnswer, e.to_string())),
            },
            status => {
                let text = format!("the list of boxes answered with unexpected status {status}");
                Err(Failure::may_have_run(Cause::BadAnswer, text))
            }
        }
    }
}
