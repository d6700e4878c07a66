//! Flags and environment variables of magpie-sched, the scheduler.

use {
    argh::FromArgs,
    infra::{boxes, store, worker},
    kernel::{
        Client, daemon,
        resources::Resources,
        settings::{Fault, Reader},
    },
    lease::LeaseTiming,
    log::LevelFilter,
    sched::{Settings, placement, service},
    std::{sync::Arc, time::Duration},
};

/// Schedules jobs on the workers of the cells that it owns. Each flag has an environment variable;
/// the flag takes precedence.
#[derive(FromArgs)]
pub struct Arguments {
    /// name of this box, as in the list of boxes (MAGPIE_NAME)
    #[argh(option)]
    name: Option<String>,
    /// address of the port (MAGPIE_LISTEN, default 127.0.0.1:7002)
    #[argh(option)]
    listen: Option<String>,
    /// base address under which others reach the port (MAGPIE_URL, default that of the port)
    #[argh(option)]
    url: Option<String>,
    /// base address of the key-value service (MAGPIE_STORE)
    #[argh(option)]
    store: Option<String>,
    /// base address of the list of boxes (MAGPIE_BOXES)
    #[argh(option)]
    boxes: Option<String>,
    /// placement policy (MAGPIE_PLACEMENT, default mixed)
    #[argh(option)]
    placement: Option<String>,
    /// length of a worker's lease in seconds (MAGPIE_LEASE_SECONDS, default 30)
    #[argh(option)]
    lease_seconds: Option<String>,
    /// maximum drift of a worker's clock in thousandths (MAGPIE_DRIFT, default 10)
    #[argh(option)]
    drift: Option<String>,
    /// milliseconds between exchanges with a worker (MAGPIE_HEARTBEAT_MS, default 2000)
    #[argh(option)]
    heartbeat_ms: Option<String>,
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

/// Reads and validates the settings.
///
/// # Errors
///
/// All invalid settings.
pub fn read(arguments: Arguments) -> Result<(Settings, LevelFilter), Vec<Fault>> {
    let mut reader = Reader::new();
    let name = reader.name("name", arguments.name, None);
    let listen = reader.address("listen", arguments.listen, "127.0.0.1:7002");
    let url = match arguments.url {
        Some(url) => reader.url("url", Some(url), None),
        None => reader.optional("url", None, "http://ADDRESS:PORT"),
    };
    let store = reader.url("store", arguments.store, None);
    let boxes = reader.url("boxes", arguments.boxes, None);
    let policy_name = reader.name("placement", arguments.placement, Some("mixed"));
    if let Some(policy_name) = &policy_name
        && let Err(failure) = placement::create(policy_name)
    {
        reader.fault("placement", policy_name, &failure.text);
    }
    let lease = reader.number("lease-seconds", arguments.lease_seconds, "30", (3, 86_400));
    let drift = reader.number("drift", arguments.drift, "10", (0, 500));
    let heartbeat = reader.number("heartbeat-ms", arguments.heartbeat_ms, "2000", (50, 10_000));
    if let (Some(lease), Some(heartbeat)) = (lease, heartbeat)
        && lease * 1000 < heartbeat * 3
    {
        reader.fault(
            "lease-seconds",
            &lease.to_string(),
            "at least three heartbeats",
        );
    }
    let resources = Resources::read(&mut reader, arguments.memory_mb, arguments.descriptors);
    let common = daemon::read_common(&mut reader, arguments.log_level, arguments.token_file);
    reader.build(|| {
        let common = common?;
        let client = Client::new(None);
        let settings = Settings {
            name: Arc::from(name?),
            listen: listen?,
            resources: resources?,
            url: url.map(Arc::from),
            token: common.token,
            store: Arc::new(store::Http::new(&store?, client.clone())),
            boxes: Arc::new(boxes::Http::new(&boxes?, client)),
            workers: Arc::new(worker::Http::new(service::worker_client())),
            timing: LeaseTiming {
                length: Duration::from_secs(lease?),
                drift: drift? as u32,
            },
            heartbeat: Duration::from_millis(heartbeat?),
            placement: Arc::from(policy_name?),
        };
        Some((settings, common.level))
    })
}
