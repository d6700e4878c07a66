//! The arguments.

use argh::FromArgs;

/// The operators' command line of magpiesaddle.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 not done, 2 wrong arguments or input, 3 refused, 4 may have been \
            done, 5 waited for in vain."
)]
pub struct Arguments {
    /// base address of a scheduler (MAGPIE_SCHED, default http://127.0.0.1:7002)
    #[argh(option)]
    pub sched: Option<String>,
    /// base address of a table (MAGPIE_TABLE, default http://127.0.0.1:7003)
    #[argh(option)]
    pub table: Option<String>,
    /// base address of a box on the users' platform, its port for other boxes (MAGPIE_BOX, default http://127.0.0.1:7004)
    #[argh(option, long = "box")]
    pub entry_box: Option<String>,
    /// file with the token, else MAGPIE_TOKEN (MAGPIE_TOKEN_FILE)
    #[argh(option)]
    pub token_file: Option<String>,
    #[argh(subcommand)]
    pub command: Command,
}

/// What to work on.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Table(Table),
    Job(Job),
    Worker(Worker),
    Cell(Cell),
    Hall(Hall),
}

/// The operators' table.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Table {
    #[argh(subcommand)]
    pub command: TableCommand,
}

/// What to do with the table.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum TableCommand {
    Get(TableGet),
    Check(TableCheck),
    Diff(TableDiff),
    Apply(TableApply),
    History(TableHistory),
}

/// Print the table as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct TableGet {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Check a sheet and say what is wrong with which cell.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct TableCheck {
    /// the sheet
    #[argh(positional)]
    pub file: String,
}

/// Show what a sheet would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct TableDiff {
    /// the sheet
    #[argh(positional)]
    pub file: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Make the table what a sheet says: all of it, or nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct TableApply {
    /// the sheet
    #[argh(positional)]
    pub file: String,
    /// who makes the edit (default $USER)
    #[argh(option)]
    pub who: Option<String>,
    /// the version of the table that the sheet was made from; a newer one is a conflict
    #[argh(option)]
    pub from: Option<u64>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the last changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct TableHistory {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Job {
    #[argh(subcommand)]
    pub command: JobCommand,
}

/// What to do with jobs.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum JobCommand {
    Submit(JobSubmit),
    Show(JobShow),
    List(JobList),
    Cancel(JobCancel),
    Wait(JobWait),
}

/// Submit a job: an array of tasks of one class.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmit {
    /// the class of work, a row of the table
    #[argh(option)]
    pub class: String,
    /// the number of tasks (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// processors of each task (default 1)
    #[argh(option, default = "1.0")]
    pub processors: f64,
    /// gigabytes of memory of each task (default 1)
    #[argh(option, default = "1.0")]
    pub memory_gb: f64,
    /// accelerators of each task (default 0)
    #[argh(option, default = "0")]
    pub accelerators: u32,
    /// seconds of work of each task, as declared; leave out for a task without an end
    #[argh(option, default = "0.0")]
    pub seconds: f64,
    /// never start a task twice
    #[argh(switch)]
    pub once: bool,
    /// the data hall to run in (default any)
    #[argh(option)]
    pub hall: Option<String>,
    /// the id of a submission whose outcome was not known; sent again it is the same job
    #[argh(option)]
    pub id: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show where a job stands.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct JobShow {
    /// the job's id
    #[argh(positional)]
    pub id: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List all jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct JobList {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Cancel jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancel {
    /// the jobs' ids
    #[argh(positional)]
    pub ids: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Wait until a job has ended, and show its progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct JobWait {
    /// the job's id
    #[argh(positional)]
    pub id: String,
    /// seconds to wait at most (default 3600)
    #[argh(option, default = "3600")]
    pub seconds: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
pub struct Worker {
    #[argh(subcommand)]
    pub command: WorkerCommand,
}

/// What to do with workers.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum WorkerCommand {
    List(WorkerList),
    Drain(WorkerDrain),
}

/// List the workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct WorkerList {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Give a worker no new work; what runs there goes on.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct WorkerDrain {
    /// the worker
    #[argh(positional)]
    pub worker: String,
    /// take the drain back
    #[argh(switch)]
    pub undo: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Cells of workers and their owners.
#[derive(FromArgs)]
#[argh(subcommand, name = "cell")]
pub struct Cell {
    #[argh(subcommand)]
    pub command: CellCommand,
}

/// What to do with cells.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CellCommand {
    List(CellList),
}

/// List the cells.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct CellList {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Data halls.
#[derive(FromArgs)]
#[argh(subcommand, name = "hall")]
pub struct Hall {
    #[argh(subcommand)]
    pub command: HallCommand,
}

/// What to do with data halls.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum HallCommand {
    List(HallList),
}

/// List the data halls that are shut, since when and by whom.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct HallList {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
