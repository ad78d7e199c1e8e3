//! One exchange with a backend server, on a dedicated connection.
//!
//! A connection carries one request, so bytes that are late, duplicate or after an answer belong to no other request.

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
use crate::transport::runtime::{spawn, timeout};

/// How long a server that broke off an answer may take to accept another connection. On a healthy network the server
/// replies at once, and a missing reply says nothing about the server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay between two probes of a server that closes them.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the read buffer of a connection; events and heads are small.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection on which nothing has been sent.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
}

/// An answer whose body has not been read; dropping it closes the connection.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    /// Drives the connection until it is dropped.
    pub(crate) driver: Task<()>,
}

/// Starts an exchange on a connection to a server.
///
/// # Errors
/// When the system rejects an option of the socket; nothing has been sent then.
pub(crate) async fn handshake(stream: TcpStream) -> io::Result<Connection> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = spawn(async move {
        // An error of the connection shows in the answer or its body.
        let _ = connection.await;
    });
    Ok(Connection { sender, driver })
}

/// Whether a server has ended: its address refuses connections.
///
/// A server that accepts a connection is alive, and one that does not reply may be cut off or silent. A process that
/// ends may break off its answers before it stops listening: a connection made in between is closed when it stops, for
/// which `settle` is the time limit. A server without room for another connection closes it too, and keeps listening.
pub(crate) async fn has_ended(address: SocketAddr, settle: Duration) -> bool {
    let end = Instant::now() + settle;
    loop {
        let is_closed = match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            // A reset means that the connection was made and closed at once, other errors that there is no path to it.
            Some(Err(error)) => error.kind() == io::ErrorKind::ConnectionReset,
            Some(Ok(mut probe)) => {
                let left = end.saturating_duration_since(Instant::now());
                let read = timeout(left, probe.read(&mut [0])).await;
                matches!(read, Some(Err(_) | Ok(0)))
            }
            None => false,
        };
        if !is_closed || Instant::now() >= end {
            return false;
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

impl Connection {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails if no head was received; the request may have run.
    pub(crate) async fn send(mut self, request: Request<Full<Bytes>>) -> hyper::Result<Answer> {
        let response = self.sender.send_request(request).await?;
        Ok(Answer {
            response,
            driver: self.driver,
        })
    }
}
