//! HTTP ports that others than our own processes reach, by `oxhttp`: one task for each connection,
//! with bounds on headers, connections, and the time of each step.

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

/// How often a free port is looked for when port 0 is asked for.
const PORT_TRIES: u32 = 20;

/// The bounds of a port.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Connections at once; more wait to be accepted.
    pub connections: usize,
    /// The time for one read or write.
    pub io_timeout: Duration,
}

/// What a port does with each request.
pub trait Handler:
    Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static
{
}

impl<F: Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static> Handler for F {}

/// Opens a port, which stays open until the process ends. Returns its address.
///
/// The library does not tell which port it took for port 0, so a free one is found first; another
/// process may take it in between, and then the next is tried.
///
/// # Errors
///
/// The address cannot be bound.
pub fn open(address: SocketAddr, bounds: Bounds, handler: impl Handler) -> io::Result<SocketAddr> {
    let mut last = io::Error::other("no free port");
    for _ in 0..PORT_TRIES {
        let found = match address.port() {
            0 => TcpListener::bind(address)?.local_addr()?,
            _ => address,
        };
        let server = Server::new(handler.clone())
            .bind(found)
            .with_global_timeout(bounds.io_timeout)
            .with_max_concurrent_connections(bounds.connections);
        match server.spawn() {
            Ok(_) => return Ok(found),
            Err(error) if address.port() == 0 => last = error,
            Err(error) => return Err(error),
        }
    }
    Err(last)
}

/// A body that ends with a broken connection after these bytes. For stand-ins.
pub fn truncated_body(bytes: Vec<u8>) -> Body {
    Body::from_read(Cut {
        bytes: io::Cursor::new(bytes),
    })
}

struct Cut {
    bytes: io::Cursor<Vec<u8>>,
}

impl Read for Cut {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.bytes.read(buffer)? {
            0 if !buffer.is_empty() => Err(io::ErrorKind::BrokenPipe.into()),
            read => Ok(read),
        }
    }
}
