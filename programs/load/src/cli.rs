//! The arguments.

use argh::FromArgs;

/// Load and experiments on the real code, against stand-ins on loopback.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

/// Which experiment.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Slope(Slope),
    Added(Added),
    Watch(Watch),
    Takeover(Takeover),
}

/// Kill the owner of a cell again and again, and time the start of urgent work there.
#[derive(FromArgs)]
#[argh(subcommand, name = "takeover")]
pub struct Takeover {
    /// whose sizes: fiscalis or sabarmati (default fiscalis)
    #[argh(option, default = "String::from(\"fiscalis\")")]
    pub deploy: String,
    /// deaths (default 10)
    #[argh(option, default = "10")]
    pub rounds: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Watch what a running process uses: memory, threads and processor time.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// the process's id
    #[argh(option)]
    pub pid: u32,
    /// seconds to watch (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure how a cost grows with a size, and fit a line: what, or all of decide, book, memory,
/// messages, exchange, list, limits, owner, pick, spread, summaries, writes.
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub struct Slope {
    /// which costs; none for all
    #[argh(positional)]
    pub what: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure what a gate adds to a call at the median.
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
pub struct Added {
    /// calls of each kind (default 4000)
    #[argh(option, default = "4000")]
    pub calls: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
