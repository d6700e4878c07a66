//! Command-line arguments of magpiectl.

use argh::FromArgs;

/// The operators' command line of magpiesaddle.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 success, 1 not executed, 2 invalid arguments or input, 3 refused, 4 may have \
            been executed, 5 the awaited state was not reached."
)]
pub struct Arguments {
    /// base address of a scheduler (MAGPIE_SCHED, default http://127.0.0.1:7002)
    #[argh(option)]
    pub sched: Option<String>,
    /// base address of a table (MAGPIE_TABLE, default http://127.0.0.1:7003)
    #[argh(option)]
    pub table: Option<String>,
    /// base address of the peer port of a box on the users' platform (MAGPIE_BOX, default
    /// http://127.0.0.1:7004)
    #[argh(option, long = "box")]
    pub entry_box: Option<String>,
    /// file with the token, else MAGPIE_TOKEN (MAGPIE_TOKEN_FILE)
    #[argh(option)]
    pub token_file: Option<String>,
    #[argh(subcommand)]
    pub command: Command,
}

/// Resource to manage.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Table(Table),
    Job(Job),
    Worker(Worker),
    Cell(Cell),
    Hall(Hall),
    Queue(Queue),
}

/// The operators' table.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Table {
    #[argh(subcommand)]
    pub command: TableCommand,
}

/// Commands for the table.
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

/// Check a sheet and report each invalid cell.
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

/// Replace the table with a sheet, either completely or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct TableApply {
    /// the sheet
    #[argh(positional)]
    pub file: String,
    /// author of the edit (default $USER)
    #[argh(option)]
    pub who: Option<String>,
    /// the version of the table that the sheet is based on; a row that others have changed since is a conflict if the sheet changes it too
    #[argh(option)]
    pub from: Option<u64>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the most recent changes.
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

/// Commands for jobs.
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
    /// declared run time of each task in seconds; omit it for a task that does not terminate
    #[argh(option, default = "0.0")]
    pub seconds: f64,
    /// never start a task twice
    #[argh(switch)]
    pub once: bool,
    /// the data hall to run in (default any)
    #[argh(option)]
    pub hall: Option<String>,
    /// the id of an earlier submission with an unknown outcome; no second job is created
    #[argh(option)]
    pub id: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the state of a job.
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

/// Wait until a job has ended and show its progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct JobWait {
    /// the job's id
    #[argh(positional)]
    pub id: String,
    /// maximum wait in seconds (default 3600)
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

/// Commands for workers.
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

/// Drain a worker: it gets no new work, and its running tasks continue.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct WorkerDrain {
    /// the worker
    #[argh(positional)]
    pub worker: String,
    /// undo the drain
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

/// Commands for cells.
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

/// Commands for data halls.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum HallCommand {
    List(HallList),
}

/// List the closed data halls, with the time and the author of each closure.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct HallList {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Queues of jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "queue")]
pub struct Queue {
    #[argh(subcommand)]
    pub command: QueueCommand,
}

/// Commands for queues.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum QueueCommand {
    Pressure(QueuePressure),
}

/// Show for each queue what waits, how long one more job would wait, the workers of its pool, and
/// the jobs that the box has refused since its start.
#[derive(FromArgs)]
#[argh(subcommand, name = "pressure")]
pub struct QueuePressure {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
