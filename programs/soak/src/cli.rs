//! Command-line arguments.

use {crate::closing::Closing, argh::FromArgs, std::path::PathBuf};

/// Runs real boxes against a simulated store and workers, injects faults derived from the seed
/// alone, and checks what callers and workers observe. Exits with 1 on any breach.
#[derive(FromArgs, Clone)]
pub struct Arguments {
    /// seed of the fault plan and of the load (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds of load and faults (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of boxes, at least 1 (default 3)
    #[argh(option, default = "3")]
    pub boxes: usize,
    /// number of workers, at least 1 (default 6)
    #[argh(option, default = "6")]
    pub workers: usize,
    /// workers that the owner polls directly (default: 2 for odd seeds, so that relays poll the
    /// others; else 70)
    #[argh(option)]
    pub own_workers: Option<usize>,
    /// bandwidth of the boxes' links in Mbit/s: passed to the boxes as a setting, and the limit of
    /// each connection to the store (default: no limit)
    #[argh(option)]
    pub link: Option<u32>,
    /// workers restart under their former ids, at most this many milliseconds apart (default: no
    /// such restarts)
    #[argh(option)]
    pub reborn: Option<u64>,
    /// number of maintenance waves that the operators request, with faults of the machine service
    /// and of the owner during them; at least 6 workers (default 0)
    #[argh(option, default = "0")]
    pub waves: usize,
    /// how the run ends: with `calm` last jobs follow on the load, with `power-loss` all boxes and
    /// workers also lose power right after one was accepted (default: no further jobs)
    #[argh(option)]
    pub closing: Option<Closing>,
    /// the box executable (default: magpie-box beside this program)
    #[argh(option, long = "box")]
    pub program: Option<PathBuf>,
    /// directory for the boxes' logs (default: a new directory below the temporary directory)
    #[argh(option)]
    pub logs: Option<PathBuf>,
    /// keep the logs also without a breach
    #[argh(switch)]
    pub keep: bool,
    /// check no time bounds, and wait longer at the end: for a machine of unknown speed
    #[argh(switch)]
    pub untimed: bool,
    /// print the fault plan and exit
    #[argh(switch)]
    pub plan: bool,
    /// run as the guard process, which kills the boxes when the soak dies
    #[argh(switch, hidden_help)]
    pub guard: bool,
}
