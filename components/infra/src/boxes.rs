//! The platform's list of boxes: which are live, which are leaving.
//!
//! `GET /v1/boxes?after=V` answers 200 with the whole list as JSON, or 304 when its version is
//! still V. The list lags behind what is so.

use {
    crate::size::Size,
    kernel::{Call, Client, Failure, client::Timeout, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The time after which a call for the list is given up.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What a box is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A box of the system's own.
    Entry,
    /// Runs tasks.
    Worker,
    /// Answers callers' requests.
    Backend,
}

/// Whether the platform means to keep a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The name, unlike any other in the list.
    pub name: Arc<str>,
    /// What it is for.
    pub kind: Kind,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Whether it is kept.
    pub state: State,
    /// The base address of each service on it: `gate`, `sched`, `table`, `worker`, `http`.
    pub services: BTreeMap<Arc<str>, Arc<str>>,
    /// What it has, for a worker.
    #[serde(default)]
    pub size: Size,
    /// Its hardware generation, for a worker.
    #[serde(default = "no_name")]
    pub generation: Arc<str>,
    /// The class of work that it answers, for a backend server.
    #[serde(default = "no_name")]
    pub class: Arc<str>,
}

fn no_name() -> Arc<str> {
    Arc::from("")
}

impl Item {
    /// The base address of a service on this box.
    pub fn url(&self, service: &str) -> Option<&Arc<str>> {
        self.services.get(service)
    }
}

/// The list at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Goes up with each change.
    pub version: u64,
    /// The boxes, in the order of their names.
    pub items: Vec<Item>,
}

impl List {
    /// The boxes of a kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(move |item| item.kind == kind)
    }
}

/// The list's service, as parts of ours see it.
pub trait Boxes: Send + Sync {
    /// The list, or `None` when its version is still `after`.
    ///
    /// # Errors
    ///
    /// The service is down or slow.
    fn list(&self, after: u64) -> Result<Option<List>, Failure>;
}

/// The adapter over HTTP.
pub struct Http {
    base: String,
    client: Client,
}

impl Http {
    /// An adapter to the service at this base address.
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
        let answer = self.client.send(&call)?;
        match answer.status {
            304 => Ok(None),
            200 => match serde_json::from_slice(&answer.body) {
                Ok(list) => Ok(Some(list)),
                Err(e) => Err(Failure::may_have_run(Cause::BadAnswer, e.to_string())),
            },
            status => {
                let text = format!("the list of boxes answered {status}");
                Err(Failure::may_have_run(Cause::BadAnswer, text))
            }
        }
    }
}
