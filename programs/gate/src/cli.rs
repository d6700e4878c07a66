//! Flags and environment variables of magpie-gate, the load balancer for callers' requests.

use {
    argh::FromArgs,
    gate::{Settings, balancing},
    infra::boxes,
    kernel::{
        Client, daemon,
        resources::Resources,
        settings::{Fault, Reader},
    },
    log::LevelFilter,
    std::{sync::Arc, time::Duration},
};

/// Forwards callers' requests to backend servers. Each flag has an environment variable; the flag
/// takes precedence.
#[derive(FromArgs)]
pub struct Arguments {
    /// name of this box, as in the list of boxes (MAGPIE_NAME)
    #[argh(option)]
    name: Option<String>,
    /// data hall of this box (MAGPIE_HALL)
    #[argh(option)]
    hall: Option<String>,
    /// address of the callers' port (MAGPIE_LISTEN, default 127.0.0.1:7000)
    #[argh(option)]
    listen: Option<String>,
    /// address of the operators' port (MAGPIE_OPS, default 127.0.0.1:7001)
    #[argh(option)]
    ops: Option<String>,
    /// base address of the list of boxes (MAGPIE_BOXES)
    #[argh(option)]
    boxes: Option<String>,
    /// load-balancing policy (MAGPIE_CHOICE, default two-choices)
    #[argh(option)]
    choice: Option<String>,
    /// deadline in milliseconds of a request that has none (MAGPIE_DEADLINE_MS, default 5000)
    #[argh(option)]
    deadline_ms: Option<String>,
    /// maximum size of a request body in kilobytes (MAGPIE_BODY_KB, default 1024)
    #[argh(option)]
    body_kb: Option<String>,
    /// maximum number of concurrent callers' connections (MAGPIE_CONNECTIONS, default 1000)
    #[argh(option)]
    connections: Option<String>,
    /// milliseconds of service after reporting not ready (MAGPIE_LINGER_MS, default 1000)
    #[argh(option)]
    linger_ms: Option<String>,
    /// maximum seconds for in-flight requests on shutdown (MAGPIE_STOP_SECONDS, default 20)
    #[argh(option)]
    stop_seconds: Option<String>,
    /// memory of the process in MiB (MAGPIE_MEMORY_MB, default 256)
    #[argh(option)]
    memory_mb: Option<String>,
    /// file descriptors that the process may open (MAGPIE_DESCRIPTORS, default 4096)
    #[argh(option)]
    descriptors: Option<String>,
    /// file with the token of the internal ports, else MAGPIE_TOKEN (MAGPIE_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<String>,
    /// off, error, warn, info, debug or trace (MAGPIE_LOG_LEVEL, default info)
    #[argh(option)]
    log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Settings of the process itself, besides those of the gate.
pub struct ProcessSettings {
    /// Log level.
    pub level: LevelFilter,
    /// Duration of service after reporting not ready.
    pub linger: Duration,
    /// Maximum duration of in-flight requests on shutdown.
    pub stop: Duration,
}

/// Reads and validates the settings.
///
/// # Errors
///
/// All invalid settings.
pub fn read(arguments: Arguments) -> Result<(Settings, ProcessSettings), Vec<Fault>> {
    let mut reader = Reader::new();
    let name = reader.name("name", arguments.name, None);
    let hall = reader.name("hall", arguments.hall, None);
    let listen = reader.address("listen", arguments.listen, "127.0.0.1:7000");
    let ops = reader.address("ops", arguments.ops, "127.0.0.1:7001");
    let boxes = reader.url("boxes", arguments.boxes, None);
    let policy_name = reader.name("choice", arguments.choice, Some("two-choices"));
    let policy = policy_name.and_then(|policy_name| match balancing::create(&policy_name) {
        Ok(policy) => Some(policy),
        Err(failure) => {
            reader.fault("choice", &policy_name, &failure.text);
            None
        }
    });
    let deadline = reader.number("deadline-ms", arguments.deadline_ms, "5000", (1, 600_000));
    let body = reader.number("body-kb", arguments.body_kb, "1024", (1, 16_384));
    let connections = reader.number("connections", arguments.connections, "1000", (1, 20_000));
    let linger = reader.number("linger-ms", arguments.linger_ms, "1000", (0, 60_000));
    let stop = reader.number("stop-seconds", arguments.stop_seconds, "20", (0, 600));
    let resources = Resources::read(&mut reader, arguments.memory_mb, arguments.descriptors);
    let common = daemon::read_common(&mut reader, arguments.log_level, arguments.token_file);
    reader.build(|| {
        let common = common?;
        let client = Client::new(None);
        let settings = Settings {
            name: Arc::from(name?),
            hall: Arc::from(hall?),
            listen: listen?,
            ops: ops?,
            token: common.token,
            boxes: Arc::new(boxes::Http::new(&boxes?, client)),
            balancer: policy?,
            default_deadline: Duration::from_millis(deadline?),
            max_body: body? as usize * 1024,
            max_connections: connections? as usize,
            resources: resources?,
        };
        Some((
            settings,
            ProcessSettings {
                level: common.level,
                linger: Duration::from_millis(linger?),
                stop: Duration::from_secs(stop?),
            },
        ))
    })
}
