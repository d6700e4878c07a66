//! What every daemon does around its own part: arguments, logs, metrics, the orderly stop.

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

/// Exit code of a daemon that could not start, for a reason that is not in its settings.
pub const EXIT_START: i32 = 1;

/// Reads the arguments. Ends the process with 0 after `--help`, and with 2 when they are wrong.
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
            eprintln!("{name} --help tells more.");
            process::exit(EXIT_SETTINGS)
        }
    }
}

/// Settings that every daemon has.
pub struct CommonSettings {
    /// The level of the logs.
    pub level: LevelFilter,
    /// The secret of the internal ports.
    pub token: Option<Token>,
}

/// Reads the settings that every daemon has.
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

/// Starts logs and metrics; ends the process when they cannot be started.
pub fn init_telemetry(level: LevelFilter) {
    if let Err(error) = logs::start(level).and_then(|()| ops::start_metrics()) {
        exit_with_error(&error);
    }
}

/// Like [`begin`], with logs as lines of JSON on the standard output.
pub fn init_telemetry_json(level: LevelFilter) {
    if let Err(error) = logs::start_json(level).and_then(|()| ops::start_metrics()) {
        exit_with_error(&error);
    }
}

/// Ends the process: it could not start.
pub fn exit_with_error(error: &str) -> ! {
    eprintln!("cannot start: {error}");
    process::exit(EXIT_START)
}

/// Unwraps what a daemon started, or ends the process.
pub fn started_or_exit<T, E: std::fmt::Display>(result: Result<T, E>) -> T {
    result.unwrap_or_else(|error| exit_with_error(&error.to_string()))
}

/// Waits for the signal to stop.
pub fn wait_for_shutdown() {
    match shutdown::wait_for_signal() {
        Ok(signal) => log::info!(target: "kernel", "The process is asked to stop. signal={signal}"),
        Err(error) => exit_with_error(&error.to_string()),
    }
}
