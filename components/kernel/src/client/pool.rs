//! Connections that are kept for further calls.

use {
    super::{
        Fault, PoolLimits,
        metered::{ConnectionId, Meter, Metered},
    },
    crate::{clock::BootInstant, reuse::ReusePolicy, sync::lock},
    http_body_util::Full,
    hyper::{
        body::Bytes,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Between two looks for connections that were idle for too long.
const SWEEP_GAP: Duration = Duration::from_secs(5);

/// A connection; dropped, it is closed.
pub(super) struct Kept {
    pub number: ConnectionId,
    pub sender: SendRequest<Full<Bytes>>,
    pub meter: Arc<Meter>,
    /// When it was put back.
    since: Instant,
    task: AbortHandle,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections, by receiver, the last used one last.
pub(super) struct Pool {
    limits: PoolLimits,
    reuse: ReusePolicy,
    idle: Mutex<Idle>,
}

struct Idle {
    by_receiver: HashMap<Box<str>, Vec<Kept>>,
    count: usize,
    swept: Instant,
}

impl Pool {
    pub fn new(limits: PoolLimits, reuse: ReusePolicy) -> Self {
        let idle = Idle {
            by_receiver: HashMap::new(),
            count: 0,
            swept: Instant::now(),
        };
        Pool {
            limits,
            reuse,
            idle: Mutex::new(idle),
        }
    }

    /// Notes that a call to a receiver has timed out now.
    pub fn record_timeout(&self, receiver: &str, now: BootInstant) {
        self.reuse.record_timeout(receiver, now);
    }

    /// A connection to a receiver, an idle one where there is one that may be used; the bound one or none.
    pub async fn connection(
        &self,
        receiver: &str,
        time: Duration,
        bound: Option<ConnectionId>,
    ) -> Result<Kept, Fault> {
        while let Some(mut kept) = self.take(receiver, bound) {
            // It is ready once its task has seen the end of the last answer.
            if let Ok(Ok(())) = timeout(time, kept.sender.ready()).await {
                kept.meter.begin();
                return Ok(kept);
            }
        }
        if bound.is_some() {
            return Err(Fault::Gone);
        }
        match timeout(time, connect(receiver)).await {
            Ok(connected) => connected.map_err(Fault::Io),
            Err(_) => Err(Fault::Connecting),
        }
    }

    /// Takes an idle connection out that may be used again.
    fn take(&self, receiver: &str, bound: Option<ConnectionId>) -> Option<Kept> {
        let mut idle = lock(&self.idle);
        let Idle {
            by_receiver, count, ..
        } = &mut *idle;
        let list = by_receiver.get_mut(receiver)?;
        while let Some(kept) = list.pop() {
            let is_young = kept.since.elapsed() < self.limits.idle_timeout;
            if !is_young || !self.reuse.may_reuse(receiver, kept.meter.proof()) {
                *count -= 1;
                continue;
            }
            if bound.is_some_and(|bound| bound != kept.number) {
                list.push(kept);
                return self.take_bound(list, count, bound?);
            }
            *count -= 1;
            return Some(kept);
        }
        None
    }

    /// Takes a certain connection out, which is not the last one.
    fn take_bound(
        &self,
        list: &mut Vec<Kept>,
        count: &mut usize,
        bound: ConnectionId,
    ) -> Option<Kept> {
        let index = list.iter().position(|kept| kept.number == bound)?;
        *count -= 1;
        Some(list.remove(index))
    }

    /// Keeps a connection for further calls.
    pub fn keep(&self, receiver: &str, mut kept: Kept) {
        let now = Instant::now();
        kept.since = now;
        let mut idle = lock(&self.idle);
        if now > idle.swept + SWEEP_GAP || idle.count >= self.limits.max_idle {
            idle.sweep(self.limits.idle_timeout, now);
        }
        if idle.count >= self.limits.max_idle || kept.sender.is_closed() {
            return;
        }
        idle.count += 1;
        let list = match idle.by_receiver.get_mut(receiver) {
            Some(list) => list,
            None => idle.by_receiver.entry(receiver.into()).or_default(),
        };
        list.push(kept);
        if list.len() > self.limits.per_host {
            list.remove(0);
            idle.count -= 1;
        }
    }
}

impl Idle {
    /// Drops what is closed or was idle for too long.
    fn sweep(&mut self, age: Duration, now: Instant) {
        self.swept = now;
        self.by_receiver.retain(|_, list| {
            list.retain(|kept| now < kept.since + age && !kept.sender.is_closed());
            !list.is_empty()
        });
        self.count = self.by_receiver.values().map(Vec::len).sum();
    }
}

/// Opens a connection. Receivers are named by numbers, and no name server is asked.
async fn connect(receiver: &str) -> io::Result<Kept> {
    let address: SocketAddr = receiver.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = Arc::new(Meter::new());
    let link = Metered {
        inner: TokioIo::new(stream),
        meter: meter.clone(),
    };
    let handshake = http1::Builder::new().handshake(link).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The call that it breaks tells of it.
        let _ = connection.await;
    });
    Ok(Kept {
        number: ConnectionId::next(),
        sender,
        meter,
        since: Instant::now(),
        task: task.abort_handle(),
    })
}
