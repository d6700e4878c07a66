//! Where the commands go to.

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

/// The time for one call; a list of all jobs is large.
const TIME: Timeout = Timeout::single(Duration::from_secs(10)).streaming();

/// The processes that the commands speak to.
pub struct Context {
    sched: String,
    table: String,
    entry_box: String,
    client: Client,
}

/// Reads and checks the settings; ends the process when they are wrong.
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
    /// Asks the scheduler.
    pub fn sched<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.ask(&self.sched, path, message)
    }

    /// Asks the table.
    pub fn table<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.ask(&self.table, path, message)
    }

    /// Asks a box of the users' platform.
    pub fn entry_box<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        self.ask(&self.entry_box, path, message)
    }

    fn ask<T: Serialize, R: DeserializeOwned>(
        &self,
        base: &str,
        path: &str,
        message: &T,
    ) -> Result<R, Error> {
        Ok(self.client.post(&format!("{base}{path}"), message, TIME)?)
    }
}
