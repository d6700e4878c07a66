//! HTTP server on `oxhttp` for stand-ins, which break connections: one thread for each connection,
//! with limits on connections and on the time of each read or write.

use {
    oxhttp::{
        Server,
        model::{Body, Request, Response},
    },
    std::{
        io::{self, Read},
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
};

/// Attempts to find a free port when port 0 is requested.
const PORT_TRIES: u32 = 20;

/// Limits of a port.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Concurrent connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time-out of one read or write.
    pub io_timeout: Duration,
}

/// Handles a request and returns its response.
pub trait Handler:
    Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static
{
}

impl<F: Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static> Handler for F {}

/// Opens a port, which stays open until the process exits. Returns its address.
///
/// The library does not report which port it bound for port 0, so a free port is determined first.
/// If another process binds that port in between, another one is tried.
///
/// # Errors
///
/// The address cannot be bound.
pub fn open(address: SocketAddr, bounds: Bounds, handler: impl Handler) -> io::Result<SocketAddr> {
    let mut last = io::Error::other("no free port");
    for _ in 0..PORT_TRIES {
        let candidate = match address.port() {
            0 => TcpListener::bind(address)?.local_addr()?,
            _ => address,
        };
        let server = Server::new(handler.clone())
            .bind(candidate)
            .with_global_timeout(bounds.io_timeout)
            .with_max_concurrent_connections(bounds.connections);
        match server.spawn() {
            Ok(_) => return Ok(candidate),
            Err(error) if address.port() == 0 => last = error,
            Err(error) => return Err(error),
        }
    }
    Err(last)
}

/// A body whose connection breaks after these bytes. For stand-ins that simulate faults.
pub fn truncated_body(bytes: Vec<u8>) -> Body {
    Body::from_read(TruncatedBody {
        bytes: io::Cursor::new(bytes),
    })
}

struct TruncatedBody {
    bytes: io::Cursor<Vec<u8>>,
}

impl Read for TruncatedBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.bytes.read(buffer)? {
            0 if !buffer.is_empty() => Err(io::ErrorKind::BrokenPipe.into()),
            read => Ok(read),
        }
    }
}
