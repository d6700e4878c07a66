//! Command-line arguments.

use {argh::FromArgs, std::net::SocketAddr};

/// Small stand-ins for the platform. They listen on loopback and store nothing.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

/// Stand-in to run.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Platform(Platform),
    Store(Store),
    Boxes(Boxes),
    Worker(Worker),
    Backend(Backend),
}

/// A complete platform with the sizes of a user: store, list of boxes, workers, backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Platform {
    /// user whose sizes are used: fiscalis or sabarmati (default fiscalis)
    #[argh(option, default = "String::from(\"fiscalis\")")]
    pub deploy: String,
    /// address of the store (default 127.0.0.1:7100)
    #[argh(option, default = "([127, 0, 0, 1], 7100).into()")]
    pub store: SocketAddr,
    /// address of the list of boxes (default 127.0.0.1:7101)
    #[argh(option, default = "([127, 0, 0, 1], 7101).into()")]
    pub boxes: SocketAddr,
    /// number of workers (default the user's)
    #[argh(option)]
    pub workers: Option<usize>,
    /// number of data halls (default the user's)
    #[argh(option)]
    pub halls: Option<usize>,
    /// an entry box, NAME,HALL,GATE,GATE-OPS,SCHED,TABLE with ports on loopback; may be repeated
    #[argh(option)]
    pub entry: Vec<String>,
}

/// The key-value store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct Store {
    /// address (default 127.0.0.1:7100)
    #[argh(option, default = "([127, 0, 0, 1], 7100).into()")]
    pub listen: SocketAddr,
}

/// The list of boxes.
#[derive(FromArgs)]
#[argh(subcommand, name = "boxes")]
pub struct Boxes {
    /// address (default 127.0.0.1:7101)
    #[argh(option, default = "([127, 0, 0, 1], 7101).into()")]
    pub listen: SocketAddr,
    /// delay in milliseconds until the list shows a change (default 300)
    #[argh(option, default = "300")]
    pub lag_ms: u64,
}

/// Workers that run tasks under leases.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
pub struct Worker {
    /// address (default 127.0.0.1:7102)
    #[argh(option, default = "([127, 0, 0, 1], 7102).into()")]
    pub listen: SocketAddr,
    /// number of workers (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// prefix of their names (default w)
    #[argh(option, default = "String::from(\"w\")")]
    pub prefix: String,
    /// processors of each worker (default 16)
    #[argh(option, default = "16")]
    pub processors: u32,
    /// memory of each worker in gigabytes (default 60)
    #[argh(option, default = "60")]
    pub memory_gb: u32,
    /// accelerators of each worker (default 0)
    #[argh(option, default = "0")]
    pub accelerators: u32,
}

/// One backend server with 8 slots.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct Backend {
    /// address (default 127.0.0.1:7103)
    #[argh(option, default = "([127, 0, 0, 1], 7103).into()")]
    pub listen: SocketAddr,
    /// mean service time in milliseconds (default 8)
    #[argh(option, default = "8")]
    pub mean_ms: u64,
    /// seed of the service times (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}
