//! Command-line arguments.

use argh::FromArgs;

/// Runs all of magpiesaddle in one process over loopback, with stand-ins for the platform, load
/// and injected faults, and checks its invariants. Exits with 1 on any breach.
#[derive(FromArgs)]
pub struct Arguments {
    /// user whose sizes are used: fiscalis or sabarmati (default fiscalis)
    #[argh(option, default = "String::from(\"fiscalis\")")]
    pub deploy: String,
    /// duration of the load in seconds (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// inject no faults
    #[argh(switch)]
    pub calm: bool,
    /// print the outcome as JSON, as the last line
    #[argh(switch)]
    pub json: bool,
    /// print the logs to standard error
    #[argh(switch)]
    pub verbose: bool,
}
