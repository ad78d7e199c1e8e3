//! One exchange with a backend server, on a connection of its own.
//!
//! A connection carries one request, so bytes that come late, twice or after an answer are nobody's.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt as _;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use smol::net::TcpStream;
use smol::{Task, Timer};
use smol_hyper::rt::FuturesIo;

use crate::state::clock::Instant;
use crate::transport::http::keepalive;
use crate::transport::runtime::{spawn, within};

/// Time after which bytes that a server does not acknowledge break the connection; as long as a
/// caller's patience with a short call lasts.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// How long a server that broke an answer off may take to accept another connection: on a network that
/// is well it answers at once, and what does not answer says nothing of the server.
const PROBE_TIME: Duration = Duration::from_millis(100);
/// Rest between two probes of a server that closes them.
const PROBE_REST: Duration = Duration::from_millis(5);
/// Bytes that are read ahead of an answer; events and heads are small.
const READ_BYTES: usize = 16 * 1024;

/// A connection on which nothing was sent.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
}

/// An answer whose body is still to be read; dropping it closes the connection.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    /// Drives the connection for as long as it is kept.
    pub(crate) driver: Task<()>,
}

/// Opens a connection.
///
/// # Errors
/// When there is none within `limit`; nothing was sent then.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
    let stream = within(limit, TcpStream::connect(address))
        .await
        .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    // Nothing may be sent for long while an answer comes, so silence would go unnoticed.
    keepalive::probe(&stream, UNACKNOWLEDGED)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = spawn(async move {
        // How the connection ends shows in the answer or its body.
        let _ = connection.await;
    });
    Ok(Connection { sender, driver })
}

/// Whether a server has ended: nothing listens any more where it did.
///
/// One that answers is well, and one that does not may be cut off or silent. A process that ends may break its answers
/// off before it stops listening: a connection that was made between is closed when it does, for which `settle` is given.
/// A server that has no room for another connection closes it too, and goes on listening.
pub(crate) async fn has_ended(address: SocketAddr, settle: Duration) -> bool {
    let end = Instant::now() + settle;
    loop {
        let is_closed = match within(PROBE_TIME, TcpStream::connect(address)).await {
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            // It was made and closed before anybody looked, or no way leads there.
            Some(Err(error)) => error.kind() == io::ErrorKind::ConnectionReset,
            Some(Ok(mut probe)) => {
                let left = end.saturating_duration_since(Instant::now());
                let read = within(left, probe.read(&mut [0])).await;
                matches!(read, Some(Err(_) | Ok(0)))
            }
            None => false,
        };
        if !is_closed || Instant::now() >= end {
            return false;
        }
        Timer::after(PROBE_REST).await;
    }
}

impl Connection {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// When no head came; the request may have run.
    pub(crate) async fn send(mut self, request: Request<Full<Bytes>>) -> hyper::Result<Answer> {
        let response = self.sender.send_request(request).await?;
        Ok(Answer {
            response,
            driver: self.driver,
        })
    }
}
