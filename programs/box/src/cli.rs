//! Settings of a box: flags, environment variables and the settings file.

use {
    argh::FromArgs,
    cell::Timing,
    kernel::{
        daemon,
        resources::Resources,
        settings::{Fault, Reader, variable},
    },
    log::LevelFilter,
    node::Settings,
    std::{
        collections::HashMap,
        env, fs,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// One box: accepts jobs, and schedules the workers of the cell while it is the owner. Each flag
/// has an environment variable; a flag takes precedence over its variable, and both over the
/// settings file.
#[derive(FromArgs)]
pub struct Arguments {
    /// file with a line NAME=VALUE for each variable (MAGPIE_SETTINGS)
    #[argh(option)]
    settings: Option<String>,
    /// name of this box (MAGPIE_NAME)
    #[argh(option)]
    name: Option<String>,
    /// data hall of this box (MAGPIE_HALL)
    #[argh(option)]
    hall: Option<String>,
    /// share of a core that this box has, such as 0.25 (MAGPIE_SHARE, default 1)
    #[argh(option)]
    share: Option<String>,
    /// bandwidth of the box's link in each direction, in Mbit/s (MAGPIE_LINK, default 1000)
    #[argh(option)]
    link: Option<String>,
    /// most workers that the owner calls itself; with more, other boxes relay (MAGPIE_OWN_WORKERS,
    /// default 70)
    #[argh(option)]
    own_workers: Option<String>,
    /// address of the callers' port (MAGPIE_CALLERS)
    #[argh(option)]
    callers: Option<String>,
    /// address of the port for readiness probes (MAGPIE_READY)
    #[argh(option)]
    ready: Option<String>,
    /// address of this box for other boxes, without a port (MAGPIE_INSIDE)
    #[argh(option)]
    inside: Option<String>,
    /// first of the free ports; the first serves other boxes and metrics (MAGPIE_PORTS)
    #[argh(option)]
    ports: Option<String>,
    /// address of an additional port for metrics (MAGPIE_METRICS, default none)
    #[argh(option)]
    metrics: Option<String>,
    /// address of the store (MAGPIE_STORE)
    #[argh(option)]
    store: Option<String>,
    /// address of the advisor service (MAGPIE_ADVISOR, default none)
    #[argh(option)]
    advisor: Option<String>,
    /// address of the machine service (MAGPIE_MACHINES, default none)
    #[argh(option)]
    machines: Option<String>,
    /// longest lease of a worker, in milliseconds (MAGPIE_LEASE_MS, default 6000)
    #[argh(option)]
    lease_ms: Option<String>,
    /// how long a worker may take to stop a task, in milliseconds (MAGPIE_STOP_MS, default 900)
    #[argh(option)]
    stop_ms: Option<String>,
    /// delay until an order to slow a task down takes effect, in milliseconds (MAGPIE_PACE_MS,
    /// default 100)
    #[argh(option)]
    pace_ms: Option<String>,
    /// how long a draining worker may still be given tasks, in milliseconds (MAGPIE_DRAIN_MS,
    /// default 2000)
    #[argh(option)]
    drain_ms: Option<String>,
    /// how long the state of an ended job is kept, in seconds (MAGPIE_RETENTION, default 150)
    #[argh(option)]
    retention: Option<String>,
    /// gradual: a new owner starts what surely runs nowhere else before all workers have answered;
    /// complete: it waits for all workers (MAGPIE_TAKEOVER, default gradual)
    #[argh(option)]
    takeover: Option<String>,
    /// true or false: refuse jobs that would end too late (MAGPIE_ADMISSION, default true)
    #[argh(option)]
    admission: Option<String>,
    /// memory of the box in MiB (MAGPIE_MEMORY_MB, default 256)
    #[argh(option)]
    memory_mb: Option<String>,
    /// file descriptors that the process may open (MAGPIE_DESCRIPTORS, default 4096)
    #[argh(option)]
    descriptors: Option<String>,
    /// time limit of a graceful shutdown, in milliseconds (MAGPIE_GRACE_MS, default 6000)
    #[argh(option)]
    grace_ms: Option<String>,
    /// off, error, warn, info, debug or trace (MAGPIE_LOG_LEVEL, default info)
    #[argh(option)]
    log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Bytes per millisecond of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125.0;

/// All settings of the process.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Settings of the node.
    pub node: Settings,
    /// Address of the port for callers.
    pub callers: SocketAddr,
    /// Address of the port for readiness probes.
    pub ready: SocketAddr,
    /// Address of the port for other boxes, which also serves metrics.
    pub inside: SocketAddr,
    /// Address of an additional port for metrics alone, which stays the same from day to day.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advisor service.
    pub advisor: Option<SocketAddr>,
    /// Address of the machine service.
    pub machines: Option<SocketAddr>,
    /// Memory and file descriptors.
    pub resources: Resources,
    /// Time limit of a graceful shutdown.
    pub grace: Duration,
    /// Log level.
    pub level: LevelFilter,
}

/// Parses the lines `NAME=VALUE` of a settings file. Other lines and empty values are ignored.
fn parse_lines(text: &str) -> HashMap<String, String> {
    let mut settings = HashMap::new();
    for line in text.lines() {
        let Some((name, value)) = line.split_once('=') else {
            continue;
        };
        if !value.is_empty() {
            settings.insert(name.trim().to_owned(), value.trim().to_owned());
        }
    }
    settings
}

/// Reads and validates the settings.
///
/// # Errors
///
/// All invalid settings.
pub fn read(arguments: Arguments) -> Result<Setup, Vec<Fault>> {
    let path = arguments
        .settings
        .clone()
        .or_else(|| env::var(variable("settings")).ok());
    let file = match &path {
        None => HashMap::new(),
        Some(path) => match fs::read_to_string(path) {
            Ok(text) => parse_lines(&text),
            Err(error) => {
                let mut reader = Reader::new();
                reader.fault("settings", path, &format!("a readable file ({error})"));
                return Err(reader.finish().err().unwrap_or_default());
            }
        },
    };
    let reader =
        Reader::with_lookup(move |name| env::var(name).ok().or_else(|| file.get(name).cloned()));
    build(reader, arguments)
}

fn build(mut reader: Reader<'_>, arguments: Arguments) -> Result<Setup, Vec<Fault>> {
    let common = daemon::read_common(&mut reader, arguments.log_level, None);
    let name = reader.name("name", arguments.name, None);
    let hall = reader.name("hall", arguments.hall, None);
    let share = positive(&mut reader, "share", arguments.share, "1");
    let link = positive(&mut reader, "link", arguments.link, "1000");
    let own = reader.number("own-workers", arguments.own_workers, "70", (1, 100_000));
    let callers = reader.address("callers", arguments.callers, "127.0.0.1:7000");
    let ready = reader.address("ready", arguments.ready, "127.0.0.1:7003");
    let inside = inside(&mut reader, arguments.inside, arguments.ports);
    let rule = "an address and a port, such as 10.0.0.5:9100";
    let metrics = reader.optional("metrics", arguments.metrics, rule);
    let store = reader.address("store", arguments.store, "127.0.0.1:7100");
    let advisor = reader.optional("advisor", arguments.advisor, rule);
    let machines = reader.optional("machines", arguments.machines, rule);
    let lease = reader.number("lease-ms", arguments.lease_ms, "6000", (1_000, 600_000));
    let stop = reader.number("stop-ms", arguments.stop_ms, "900", (1, 60_000));
    let pace = reader.number("pace-ms", arguments.pace_ms, "100", (1, 60_000));
    let drain = reader.number("drain-ms", arguments.drain_ms, "2000", (100, 600_000));
    let retention = reader.number("retention", arguments.retention, "150", (1, 86_400));
    let grace = reader.number("grace-ms", arguments.grace_ms, "6000", (100, 600_000));
    let takeover = reader.value(
        "takeover",
        arguments.takeover,
        Some("gradual"),
        "gradual or complete",
    );
    let resources = Resources::read(&mut reader, arguments.memory_mb, arguments.descriptors);
    let admission = switch(&mut reader, "admission", arguments.admission);
    reader.build(|| {
        let inside = inside?;
        let node = Settings {
            name: name?.into(),
            hall: hall?.into(),
            share: (share? * 1_000.0) as u32,
            link: (link? * BYTES_PER_MBIT) as u64,
            own_workers: own? as usize,
            address: inside.to_string().into(),
            timing: Timing {
                lease: lease?,
                stop: stop?,
                pace: pace?,
            },
            drain: Duration::from_millis(drain?),
            retention: Duration::from_secs(retention?),
            takeover: takeover?,
            admission: admission?,
        };
        Some(Setup {
            node,
            callers: callers?,
            ready: ready?,
            inside,
            metrics,
            store: store?,
            advisor,
            machines,
            resources: resources?,
            grace: Duration::from_millis(grace?),
            level: common?.level,
        })
    })
}

/// Reads a setting that must be a finite number greater than 0.
fn positive(
    reader: &mut Reader<'_>,
    name: &str,
    flag: Option<String>,
    default: &str,
) -> Option<f64> {
    let rule = "a number above 0";
    let value: Option<f64> = reader.value(name, flag, Some(default), rule);
    if let Some(invalid) = value.filter(|value| !(value.is_finite() && *value > 0.0)) {
        reader.fault(name, &invalid.to_string(), rule);
    }
    value
}

/// Reads a setting that switches a part on or off; on by default.
fn switch(reader: &mut Reader<'_>, name: &str, flag: Option<String>) -> Option<bool> {
    reader.value(name, flag, Some("true"), "true or false")
}

/// Combines the address and the first port of the settings into the address of the port for other
/// boxes.
fn inside(
    reader: &mut Reader<'_>,
    address: Option<String>,
    ports: Option<String>,
) -> Option<SocketAddr> {
    let rule = "a numeric IP address";
    let host: Option<IpAddr> = reader.value("inside", address, Some("127.0.0.1"), rule);
    let ports = reader.value::<String>("ports", ports, Some("7004"), "a port");
    let port = ports.as_deref().and_then(first_port);
    if let (Some(ports), None) = (&ports, port) {
        reader.fault("ports", ports, "a port, or a first and a last one");
    }
    Some(SocketAddr::new(host?, port?))
}

/// Parses the first port of a comma-separated list.
fn first_port(text: &str) -> Option<u16> {
    text.split(',').next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use {super::*, node::Takeover, test_case::test_case};

    fn build_from_text(text: &'static str) -> Result<Setup, Vec<Fault>> {
        let file = parse_lines(text);
        let reader = Reader::with_lookup(move |name| file.get(name).cloned());
        build(reader, Arguments::from_args(&["box"], &[]).unwrap())
    }

    #[test]
    fn build_reads_file_settings() {
        let setup = build_from_text(
            "MAGPIE_NAME=b1\nMAGPIE_HALL=h1\nMAGPIE_INSIDE=10.0.0.1\nMAGPIE_PORTS=7720,7735\nother=1\n",
        )
        .unwrap();
        assert_eq!(&*setup.node.address, "10.0.0.1:7720");
        assert_eq!(setup.node.timing.lease, 6_000);
    }

    #[test_case("", Takeover::Gradual; "default")]
    #[test_case("MAGPIE_TAKEOVER=gradual", Takeover::Gradual; "gradual")]
    #[test_case("MAGPIE_TAKEOVER=complete", Takeover::Complete; "complete")]
    fn build_reads_takeover(text: &'static str, expected: Takeover) {
        let file = parse_lines(text);
        let required = |name: &str| ["MAGPIE_NAME", "MAGPIE_HALL"].contains(&name);
        let reader = Reader::with_lookup(move |name| {
            let value = file.get(name).cloned();
            value.or_else(|| required(name).then(|| "x1".to_owned()))
        });
        let setup = build(reader, Arguments::from_args(&["box"], &[]).unwrap()).unwrap();
        assert_eq!(setup.node.takeover, expected);
    }

    #[test_case("MAGPIE_NAME=b1\nMAGPIE_HALL=h1\nMAGPIE_TAKEOVER=partial"; "unknown value")]
    #[test_case("MAGPIE_NAME=b1\nMAGPIE_HALL=h1\nMAGPIE_TAKEOVER=Gradual"; "wrong case")]
    fn build_reports_invalid_takeover(text: &'static str) {
        let faults = build_from_text(text).unwrap_err();
        assert_eq!(faults.len(), 1);
        assert!(faults[0].to_string().contains("gradual or complete"));
    }

    #[test_case("MAGPIE_NAME=b1", 1; "missing hall")]
    #[test_case("MAGPIE_NAME=b1\nMAGPIE_HALL=h1\nMAGPIE_PORTS=x\nMAGPIE_STORE=here", 2; "two faults")]
    fn build_reports_all_faults(text: &'static str, faults: usize) {
        assert_eq!(build_from_text(text).unwrap_err().len(), faults);
    }
}
