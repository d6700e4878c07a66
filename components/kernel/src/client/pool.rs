//! Pool of idle connections, by receiver.

use {
    super::{
        AttemptError, PoolLimits,
        metered::{ConnectionId, Meter, MeteredStream},
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

/// Interval between two sweeps of closed and expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// An open connection. Dropping it closes it.
pub(super) struct PooledConnection {
    pub id: ConnectionId,
    pub sender: SendRequest<Full<Bytes>>,
    pub meter: Arc<Meter>,
    /// When it was returned to the pool.
    idle_since: Instant,
    task: AbortHandle,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by receiver, most recently used last.
pub(super) struct Pool {
    limits: PoolLimits,
    reuse: ReusePolicy,
    idle: Mutex<Idle>,
}

struct Idle {
    by_receiver: HashMap<Box<str>, Vec<PooledConnection>>,
    count: usize,
    last_sweep: Instant,
}

impl Pool {
    pub fn new(limits: PoolLimits, reuse: ReusePolicy) -> Self {
        let idle = Idle {
            by_receiver: HashMap::new(),
            count: 0,
            last_sweep: Instant::now(),
        };
        Pool {
            limits,
            reuse,
            idle: Mutex::new(idle),
        }
    }

    /// Records that a call to a receiver timed out at `now`.
    pub fn record_timeout(&self, receiver: &str, now: BootInstant) {
        self.reuse.record_timeout(receiver, now);
    }

    /// Returns a reusable idle connection to a receiver, or opens one. With `bound`, returns only
    /// that connection.
    pub async fn connection(
        &self,
        receiver: &str,
        time: Duration,
        bound: Option<ConnectionId>,
    ) -> Result<PooledConnection, AttemptError> {
        while let Some(mut pooled) = self.take(receiver, bound) {
            // The connection is ready once its task has processed the end of the last response.
            if let Ok(Ok(())) = timeout(time, pooled.sender.ready()).await {
                pooled.meter.begin();
                return Ok(pooled);
            }
        }
        if bound.is_some() {
            return Err(AttemptError::ConnectionClosed);
        }
        match timeout(time, connect(receiver)).await {
            Ok(connected) => connected.map_err(AttemptError::Io),
            Err(_) => Err(AttemptError::ConnectTimeout),
        }
    }

    /// Removes a reusable idle connection from the pool.
    fn take(&self, receiver: &str, bound: Option<ConnectionId>) -> Option<PooledConnection> {
        let mut idle = lock(&self.idle);
        let Idle {
            by_receiver, count, ..
        } = &mut *idle;
        let list = by_receiver.get_mut(receiver)?;
        while let Some(pooled) = list.pop() {
            let is_fresh = pooled.idle_since.elapsed() < self.limits.idle_timeout;
            if !is_fresh || !self.reuse.may_reuse(receiver, pooled.meter.last_received()) {
                *count -= 1;
                continue;
            }
            if bound.is_some_and(|bound| bound != pooled.id) {
                list.push(pooled);
                return self.take_bound(list, count, bound?);
            }
            *count -= 1;
            return Some(pooled);
        }
        None
    }

    /// Removes the bound connection, which is not the last one of the list.
    fn take_bound(
        &self,
        list: &mut Vec<PooledConnection>,
        count: &mut usize,
        bound: ConnectionId,
    ) -> Option<PooledConnection> {
        let index = list.iter().position(|pooled| pooled.id == bound)?;
        *count -= 1;
        Some(list.remove(index))
    }

    /// Returns a connection to the pool, which may evict the least recently used one.
    pub fn put_back(&self, receiver: &str, mut pooled: PooledConnection) {
        let now = Instant::now();
        pooled.idle_since = now;
        let mut idle = lock(&self.idle);
        if now > idle.last_sweep + SWEEP_INTERVAL || idle.count >= self.limits.max_idle {
            idle.sweep(self.limits.idle_timeout, now);
        }
        if idle.count >= self.limits.max_idle || pooled.sender.is_closed() {
            return;
        }
        idle.count += 1;
        let list = match idle.by_receiver.get_mut(receiver) {
            Some(list) => list,
            None => idle.by_receiver.entry(receiver.into()).or_default(),
        };
        list.push(pooled);
        if list.len() > self.limits.per_host {
            list.remove(0);
            idle.count -= 1;
        }
    }
}

impl Idle {
    /// Drops closed connections and those idle for longer than the limit.
    fn sweep(&mut self, idle_timeout: Duration, now: Instant) {
        self.last_sweep = now;
        self.by_receiver.retain(|_, list| {
            list.retain(|pooled| {
                now < pooled.idle_since + idle_timeout && !pooled.sender.is_closed()
            });
            !list.is_empty()
        });
        self.count = self.by_receiver.values().map(Vec::len).sum();
    }
}

/// Opens a connection. Receivers have numeric addresses, so no name resolution takes place.
async fn connect(receiver: &str) -> io::Result<PooledConnection> {
    let address: SocketAddr = receiver.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = Arc::new(Meter::new());
    let link = MeteredStream {
        inner: TokioIo::new(stream),
        meter: meter.clone(),
    };
    let handshake = http1::Builder::new().handshake(link).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The call that is interrupted reports the error.
        let _ = connection.await;
    });
    Ok(PooledConnection {
        id: ConnectionId::next(),
        sender,
        meter,
        idle_since: Instant::now(),
        task: task.abort_handle(),
    })
}
