//! The `job` commands: submits, shows, lists, cancels and awaits jobs.

use {
    crate::{
        cli::{JobCancel, JobCommand, JobSubmit, JobWait},
        context::Context,
        exit::Error,
        show,
    },
    infra::Size,
    sched::{
        Spec, Status,
        message::{Cancel, JobQuery, ListQuery, Submit},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Interval at which `job wait` polls the job.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum declared run time, in seconds.
const MAX_SECONDS: f64 = 1e9;

/// Runs a `job` command.
pub fn run(context: &Context, command: JobCommand) -> Result<(), Error> {
    match command {
        JobCommand::Submit(command) => submit(context, &command),
        JobCommand::Show(command) => {
            let status = status(context, &command.id)?;
            print(&[status], command.json);
            Ok(())
        }
        JobCommand::List(command) => {
            let mut jobs: Vec<Status> = context.sched("/jobs/list", &ListQuery { all: true })?;
            jobs.sort_by(|a, b| a.id.cmp(&b.id));
            print(&jobs, command.json);
            Ok(())
        }
        JobCommand::Cancel(command) => cancel(context, &command),
        JobCommand::Wait(command) => wait(context, &command),
    }
}

fn status(context: &Context, id: &str) -> Result<Status, Error> {
    context.sched(
        "/jobs/show",
        &JobQuery {
            id: Arc::from(id),
            passed: false,
        },
    )
}

/// Converts the value of a flag to thousandths, if it is between 0 and `max`.
fn thousandths(name: &str, value: f64, max: f64) -> Result<u64, Error> {
    if !(0.0..=max).contains(&value) {
        return Err(Error::Input(format!(
            "--{name}: '{value}' is invalid; expected 0 to {max}"
        )));
    }
    Ok((value * 1000.0).round() as u64)
}

fn submit(context: &Context, command: &JobSubmit) -> Result<(), Error> {
    let max = f64::from(u32::MAX / 1000);
    let cpu = thousandths("processors", command.processors, max)? as u32;
    let memory = thousandths("memory-gb", command.memory_gb, max)? as u32;
    let length = thousandths("seconds", command.seconds, MAX_SECONDS)?;
    let spec = Spec {
        class: Arc::from(command.class.as_str()),
        count: command.count,
        size: Size::new(cpu, memory, command.accelerators),
        length,
        once: command.once,
        hall: command.hall.as_deref().map(Arc::from),
    };
    let message = build_submission(context, command, spec)?;
    let id = message.id.clone().unwrap_or_default();
    let status: Status = context
        .sched("/jobs/submit", &message)
        .inspect_err(|error| {
            // The job already has an id, with which its state can be queried.
            if matches!(error, Error::Unknown(_)) {
                eprintln!(
                    "the job's id is {id}; run 'job show {id}', or submit again with --id {id}"
                );
            }
        })?;
    if command.json {
        show::json(&status);
    } else {
        show::out(&format!("{}", status.id));
    }
    Ok(())
}

/// Builds the submission, with the given id or with an id in the cell that a scheduler selects.
fn build_submission(context: &Context, command: &JobSubmit, spec: Spec) -> Result<Submit, Error> {
    let mut message = Submit {
        id: command.id.as_deref().map(Arc::from),
        key: fastrand::u64(..),
        spec,
        passed: false,
    };
    if message.id.is_none() {
        message.id = Some(context.sched("/jobs/plan", &message)?);
    }
    Ok(message)
}

fn cancel(context: &Context, command: &JobCancel) -> Result<(), Error> {
    let ids = command
        .ids
        .iter()
        .map(|id| Arc::from(id.as_str()))
        .collect();
    let count: u64 = context.sched("/jobs/cancel", &Cancel { ids, passed: false })?;
    if command.json {
        show::json(&count);
    } else {
        show::out(&format!("{count} cancelled"));
    }
    Ok(())
}

/// Polls a job until it has ended. Prints the progress to standard error.
fn wait(context: &Context, command: &JobWait) -> Result<(), Error> {
    let end = Instant::now() + Duration::from_secs(command.seconds);
    let mut last_progress = String::new();
    loop {
        let status = status(context, &command.id)?;
        let Status {
            finished,
            running,
            queued,
            count,
            ..
        } = &status;
        let progress = format!("{finished}/{count} finished, {running} running, {queued} queued");
        if progress != last_progress && !command.json {
            eprintln!("{progress}");
            last_progress = progress;
        }
        if status.ended {
            let completed = status.finished == status.count;
            print(std::slice::from_ref(&status), command.json);
            let text = format!("{} ended without finishing all of its tasks", status.id);
            return if completed {
                Ok(())
            } else {
                Err(Error::Ended(text))
            };
        }
        if Instant::now() >= end {
            return Err(Error::Ended(format!("{} has not ended", command.id)));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn print(jobs: &[Status], json: bool) {
    if json {
        match jobs {
            [job] => show::json(job),
            jobs => show::json(&jobs),
        }
        return;
    }
    let row = |job: &Status| {
        let state = match (job.ended, job.cancelled, &job.blocked) {
            (_, true, _) => "cancelled".to_owned(),
            (true, ..) => "ended".to_owned(),
            (false, false, Some(reason)) => format!("waits: {reason}"),
            (false, false, None) => "runs".to_owned(),
        };
        [
            job.id.to_string(),
            job.class.to_string(),
            job.count.to_string(),
            job.queued.to_string(),
            job.running.to_string(),
            job.finished.to_string(),
            job.failed.to_string(),
            job.unknown.to_string(),
            state,
        ]
    };
    let header = [
        "JOB", "CLASS", "TASKS", "QUEUED", "RUNNING", "FINISHED", "FAILED", "UNKNOWN", "STATE",
    ];
    show::columns(header, &jobs.iter().map(row).collect::<Vec<_>>());
}
