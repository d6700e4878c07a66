//! Start and shutdown of daemons: arguments, common settings, logging, metrics and the stop signal.

use {
    crate::{
        logs, ops,
        settings::{EXIT_SETTINGS, Reader},
        shutdown,
        token::{self, Token},
    },
    argh::TopLevelCommand,
    log::LevelFilter,
    std::{env, process},
};

/// Exit code of a daemon that could not start for a reason other than its settings.
pub const EXIT_START: i32 = 1;

/// Parses the command line. Exits with 0 after `--help` and with 2 on invalid arguments.
pub fn parse_arguments<T: TopLevelCommand>() -> T {
    let strings: Vec<String> = env::args_os()
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let path = strings.first().map_or("magpie", String::as_str);
    let name = path.rsplit('/').next().unwrap_or(path);
    let rest: Vec<&str> = strings.iter().skip(1).map(String::as_str).collect();
    match T::from_args(&[name], &rest) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output.trim_end());
            process::exit(0)
        }
        Err(exit) => {
            eprintln!("{}", exit.output.trim_end());
            eprintln!("{name} --help lists all options.");
            process::exit(EXIT_SETTINGS)
        }
    }
}

/// Settings common to all daemons.
pub struct CommonSettings {
    /// The log level.
    pub level: LevelFilter,
    /// The token that authenticates requests to the internal ports.
    pub token: Option<Token>,
}

/// Reads the settings common to all daemons; `None` if one of them is invalid.
pub fn read_common(
    reader: &mut Reader<'_>,
    level: Option<String>,
    token_file: Option<String>,
) -> Option<CommonSettings> {
    let rule = "off, error, warn, info, debug or trace";
    let level = reader.value("log-level", level, Some("info"), rule);
    let file: Option<String> = reader.optional("token-file", token_file, "the path of a file");
    let token = match token::load(file.as_deref()) {
        Ok(token) => token,
        Err(rule) => {
            reader.fault("token-file", file.as_deref().unwrap_or_default(), &rule);
            None
        }
    };
    Some(CommonSettings {
        level: level?,
        token,
    })
}

/// Starts text logging and metrics; exits the process on failure.
pub fn init_telemetry(level: LevelFilter) {
    if let Err(error) = logs::start(level).and_then(|()| ops::start_metrics()) {
        exit_with_error(&error);
    }
}

/// Like [`init_telemetry`], with logs as JSON lines on the standard output.
pub fn init_telemetry_json(level: LevelFilter) {
    if let Err(error) = logs::start_json(level).and_then(|()| ops::start_metrics()) {
        exit_with_error(&error);
    }
}

/// Prints the error and exits with [`EXIT_START`].
pub fn exit_with_error(error: &str) -> ! {
    eprintln!("cannot start: {error}");
    process::exit(EXIT_START)
}

/// Unwraps the result of a start step, or exits the process with its error.
pub fn started_or_exit<T, E: std::fmt::Display>(result: Result<T, E>) -> T {
    result.unwrap_or_else(|error| exit_with_error(&error.to_string()))
}

/// Blocks until SIGTERM or SIGINT; exits the process if the handlers cannot be installed.
pub fn wait_for_shutdown() {
    match shutdown::wait_for_signal() {
        Ok(signal) => {
            log::info!(target: "kernel", "Received a stop signal, shutting down. signal={signal}")
        }
        Err(error) => exit_with_error(&error.to_string()),
    }
}
