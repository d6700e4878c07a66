//! Limits of the requests and connections of a port.

use {
    super::MAX_BODY,
    crate::resources::{ALLOWANCE, PortKind, Resources},
    std::{sync::Arc, time::Duration},
};

/// Limits of each request of a port.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum size of a head in bytes.
    pub max_head: usize,
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Time-out for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

/// Limits of internal ports, whose clients keep idle connections for up to two minutes.
pub(super) const INTERNAL_LIMITS: RequestLimits = RequestLimits {
    max_head: 8 * 1024,
    max_body: MAX_BODY,
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(180),
};

/// Limits on the connections of a port.
#[derive(Clone)]
pub struct Bounds {
    /// Maximum number of connections. A further one replaces the one that has kept the port waiting
    /// for longest, or waits while all requests are complete.
    pub max_connections: usize,
    /// Maximum number of bytes that all requests and responses hold, beyond 8 KiB for each
    /// connection.
    pub budget: usize,
    /// Returns the present limits of each request.
    pub limits: Arc<dyn Fn() -> RequestLimits + Send + Sync>,
    /// The clients are outside the scheduler: their connections have an I/O thread of their own, and
    /// their requests do not count as traffic between its processes.
    pub is_external: bool,
}

impl Bounds {
    /// Bounds of a kind of port of a process with these resources, and constant limits of requests.
    pub fn new(resources: &Resources, kind: PortKind) -> Self {
        let limits = match kind {
            PortKind::Probes => RequestLimits {
                max_body: ALLOWANCE,
                ..INTERNAL_LIMITS
            },
            PortKind::Callers | PortKind::Internal => INTERNAL_LIMITS,
        };
        Bounds {
            max_connections: resources.connections(kind),
            budget: resources.budget(kind),
            limits: Arc::new(move || limits),
            is_external: kind == PortKind::Callers,
        }
    }

    /// Bounds of an internal port of a process with default resources.
    pub fn internal() -> Self {
        Self::new(&Resources::default(), PortKind::Internal)
    }

    /// The same with a smaller limit of bodies, in bytes.
    #[must_use]
    pub fn with_max_body(self, max_body: usize) -> Self {
        let limits = self.limits;
        Bounds {
            limits: Arc::new(move || RequestLimits {
                max_body,
                ..limits()
            }),
            ..self
        }
    }
}
