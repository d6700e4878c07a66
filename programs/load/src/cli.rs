//! Command-line arguments.

use argh::FromArgs;

/// Performance experiments on the real code, against simulated services on loopback.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

/// The experiment to run.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Slope(Slope),
    Added(Added),
    Watch(Watch),
    Takeover(Takeover),
}

/// Kill the owner of a cell repeatedly, and measure the time until urgent work starts there.
#[derive(FromArgs)]
#[argh(subcommand, name = "takeover")]
pub struct Takeover {
    /// deployment whose sizes are used: fiscalis or sabarmati (default fiscalis)
    #[argh(option, default = "String::from(\"fiscalis\")")]
    pub deploy: String,
    /// number of owners to kill (default 10)
    #[argh(option, default = "10")]
    pub rounds: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure the resource usage of a running process: memory, threads and processor time.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// process id
    #[argh(option)]
    pub pid: u32,
    /// seconds to measure (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure how a cost grows with a size, and fit a line: any of decide, book, memory, messages,
/// exchange, list, limits, owner, pick, spread, summaries, writes.
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub struct Slope {
    /// the costs to measure (default: all)
    #[argh(positional)]
    pub what: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure the latency that a gate adds to a call at the median.
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
pub struct Added {
    /// calls per path, direct and through the gate (default 4000)
    #[argh(option, default = "4000")]
    pub calls: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
