//! The memory and file descriptors of a process, and what its ports may use of them.

use {
    crate::settings::Reader,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes of a request body or of a response that each connection may hold without a reservation.
pub(crate) const ALLOWANCE: usize = 8 * 1024;

/// Memory in MiB of a process that is told nothing else.
const DEFAULT_MEMORY_MB: usize = 256;
/// File descriptors of a process that is told nothing else.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Lowest and highest memory of a process in MiB.
const MEMORY_RANGE_MB: (u64, u64) = (32, 1_048_576);
/// Lowest and highest number of file descriptors of a process.
const DESCRIPTOR_RANGE: (u64, u64) = (128, 1_048_576);
const BYTES_PER_MB: usize = 1024 * 1024;

/// Which share of the connections a port has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortKind {
    /// A port for clients outside the scheduler.
    Callers,
    /// A port for other processes of the scheduler.
    Internal,
    /// A port for probes and metrics.
    Probes,
}

/// What a kind of port may use of the resources.
struct Share {
    /// Part of the file descriptors, as a fraction.
    descriptors: (usize, usize),
    /// Part of the memory for what all requests and responses hold beyond [`ALLOWANCE`].
    budget: usize,
    /// Part of the memory for what connections use without a reservation.
    memory: usize,
    /// Memory in bytes that a connection may use without a reservation: its head, its allowance,
    /// and the thread that handles its request.
    cost: usize,
    /// Lower and upper bound of the number of connections.
    range: (usize, usize),
}

impl PortKind {
    const fn share(self) -> Share {
        match self {
            PortKind::Callers => Share {
                descriptors: (1, 4),
                budget: 16,
                memory: 4,
                cost: 96 * 1024,
                range: (8, 1_024),
            },
            PortKind::Internal => Share {
                descriptors: (2, 5),
                budget: 16,
                memory: 8,
                cost: 16 * 1024,
                range: (8, 4_096),
            },
            PortKind::Probes => Share {
                descriptors: (1, 64),
                budget: 64,
                memory: 32,
                cost: 16 * 1024,
                range: (8, 64),
            },
        }
    }
}

/// The resources of a process.
#[derive(Debug, Clone, Copy)]
pub struct Resources {
    /// Memory in bytes.
    pub memory: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Resources {
            memory: DEFAULT_MEMORY_MB * BYTES_PER_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl Resources {
    /// Reads the settings `memory-mb` and `descriptors`; `None` if one of them is invalid.
    pub fn read(
        reader: &mut Reader<'_>,
        memory: Option<String>,
        descriptors: Option<String>,
    ) -> Option<Self> {
        let [megabytes, files] = [DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS].map(|it| it.to_string());
        let memory = reader.number("memory-mb", memory, &megabytes, MEMORY_RANGE_MB);
        let files = reader.number("descriptors", descriptors, &files, DESCRIPTOR_RANGE);
        Some(Resources {
            memory: memory? as usize * BYTES_PER_MB,
            descriptors: files? as usize,
        })
    }

    /// Maximum number of connections of a port.
    pub fn connections(&self, kind: PortKind) -> usize {
        let share = kind.share();
        let (part, whole) = share.descriptors;
        let by_descriptors = self.descriptors * part / whole;
        let by_memory = self.memory / share.memory / share.cost;
        let (low, high) = share.range;
        by_descriptors.min(by_memory).clamp(low, high)
    }

    /// Maximum number of bytes that all requests and responses of a port hold beyond
    /// [`ALLOWANCE`].
    pub fn budget(&self, kind: PortKind) -> usize {
        self.memory / kind.share().budget
    }
}

/// Bytes that the requests and responses of a port hold, and their limit.
#[derive(Debug)]
pub(crate) struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Budget {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        let used = AtomicUsize::new(0);
        Arc::new(Budget { limit, used })
    }

    /// A reservation of no bytes.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes of the budget, which are returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Number of reserved bytes.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes`. Returns false, without a change, if the budget has not
    /// enough left.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let limit = self.budget.limit;
        let add = |used: usize| Some(used + more).filter(|&sum| sum <= limit);
        let used = &self.budget.used;
        let is_reserved = used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok();
        if is_reserved {
            self.bytes = bytes;
        }
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    const MB: usize = 1024 * 1024;

    #[test_case(PortKind::Callers, 256, 4_096, 682; "memory limits callers")]
    #[test_case(PortKind::Callers, 1_024, 4_096, 1_024; "descriptors limit callers")]
    #[test_case(PortKind::Internal, 160, 4_100, 1_280; "smallest machine")]
    #[test_case(PortKind::Probes, 64, 256, 8; "few descriptors")]
    fn connections_by_resources(kind: PortKind, memory: usize, descriptors: usize, count: usize) {
        let resources = Resources {
            memory: memory * MB,
            descriptors,
        };
        assert_eq!(resources.connections(kind), count);
    }

    #[test]
    fn extend_to_limit() {
        let budget = Budget::new(MB);
        let (mut first, mut second) = (budget.reservation(), budget.reservation());
        assert!(first.extend_to(MB - 10));
        assert!(!second.extend_to(11));
        assert!(second.extend_to(10));
        drop(first);
        assert!(second.extend_to(MB));
    }
}
