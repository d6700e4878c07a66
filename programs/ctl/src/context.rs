//! Connection settings and the HTTP calls of the commands.

use {
    crate::exit::Error,
    kernel::{
        Client,
        client::Timeout,
        daemon,
        settings::{Reader, unwrap_or_exit},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Time-out of one call. The body is streamed without this limit, because a list of all jobs is
/// large.
const CALL_TIMEOUT: Timeout = Timeout::single(Duration::from_secs(10)).streaming();

/// Base URLs of the processes that the commands call, and the HTTP client.
pub struct Context {
    sched: String,
    table: String,
    entry_box: String,
    client: Client,
}

/// Reads the settings and exits the process if they are invalid.
pub fn read(
    sched: Option<String>,
    table: Option<String>,
    entry_box: Option<String>,
    token_file: Option<String>,
) -> Context {
    let mut reader = Reader::new();
    let sched = reader.url("sched", sched, Some("http://127.0.0.1:7002"));
    let table = reader.url("table", table, Some("http://127.0.0.1:7003"));
    let entry_box = reader.url("box", entry_box, Some("http://127.0.0.1:7004"));
    let common = daemon::read_common(&mut reader, None, token_file);
    unwrap_or_exit(reader.finish(), false);
    let token = common.and_then(|common| common.token);
    let (sched, table) = (sched.unwrap_or_default(), table.unwrap_or_default());
    Context {
        sched,
        table,
        entry_box: entry_box.unwrap_or_default(),
        client: Client::new(token),
    }
}

impl Context {
    /// Calls the scheduler.
    pub fn sched<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.call(&self.sched, path, message)
    }

    /// Calls the table process.
    pub fn table<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.call(&self.table, path, message)
    }

    /// Calls a box of the users' platform.
    pub fn entry_box<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.call(&self.entry_box, path, message)
    }

    fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        base: &str,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        Ok(self
            .client
            .post(&format!("{base}{path}"), message, CALL_TIMEOUT)?)
    }
}
