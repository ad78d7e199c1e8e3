//! One exchange with a backend server, on a dedicated connection.
//!
//! A connection carries one request, so bytes that are late, duplicate or after an answer belong to no other request.

use std::error::Error as StdError;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::ops::RangeInclusive;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use http::header::TRANSFER_ENCODING;
use http::{Request, Response, StatusCode, response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use smol::net::TcpStream;
use smol::{Task, Timer};
use smol_hyper::rt::FuturesIo;

use crate::state::clock::Instant;
use crate::transport::http::metered::{Meter, Metered};
use crate::transport::memory::Piecewise;
use crate::transport::runtime::{spawn, timeout};

/// How long a server that broke off an answer may take to accept another connection. On a healthy network the server
/// replies at once, and a missing reply says nothing about the server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay between two probes of a server that closes them.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the read buffer of a connection; events and heads are small.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The statuses that an answer can have; those below are interim ones.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A connection on which nothing has been sent.
pub(crate) struct Connection<B = Piecewise> {
    sender: SendRequest<B>,
    driver: Task<()>,
    meter: Meter,
}

/// An answer whose body has not been read; dropping it closes the connection.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    /// Drives the connection until it is dropped.
    pub(crate) driver: Task<()>,
    /// To be told of each part of the body.
    pub(crate) meter: Meter,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection broke, or what came is no HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The final status is none that an answer can have.
    #[error("the status {0} is that of no answer")]
    Status(StatusCode),
}

/// An answer ended after its head, which says not where its body ends: the server may have stopped there.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer ended after its head, which states no length")]
pub(crate) struct EndedAfterHead;

/// Returns whether a success whose body is empty has broken off: only the end of the connection ends the body.
pub(crate) fn may_have_no_body(head: &response::Parts, body: &Incoming) -> bool {
    let has_length = body.size_hint().exact().is_some();
    head.status.is_success() && !has_length && !head.headers.contains_key(TRANSFER_ENCODING)
}

/// Starts an exchange on a connection to a server.
///
/// # Errors
/// When the system rejects an option of the socket; nothing has been sent then.
pub(crate) async fn handshake<B>(stream: TcpStream) -> io::Result<Connection<B>>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let meter = Meter::default();
    let stream = Metered::with_meter(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = spawn(async move {
        // An error of the connection shows in the answer or its body.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        meter,
    })
}

/// What a connection without a request shows of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// It accepts connections.
    Alive,
    /// It accepts connections and closes them at once.
    Closing,
    /// Nothing listens at its address.
    Refused,
    /// No connection could be made, and nothing refused it.
    Unreached,
}

/// Probes a server that broke an answer off, with the connections that `connect` makes.
///
/// A process that ends may break off its answers before it stops listening: a connection made in between is closed when
/// it stops, for which `settle` is the time limit. A server without room for another connection closes it too, and keeps
/// listening; so does a path that resets connections. Each connection gets all of that time: one that was made late, with
/// none left to see it closed, says nothing.
pub(crate) async fn probe<C>(connect: impl Fn() -> C, settle: Duration) -> Probe
where
    C: Future<Output = io::Result<TcpStream>>,
{
    let end = Instant::now() + settle;
    loop {
        let seen = match timeout(PROBE_TIMEOUT, connect()).await {
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Probe::Refused;
            }
            // A reset means that the connection was made and closed at once, by the server or on the way.
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionReset => Probe::Unreached,
            Some(Err(_)) | None => return Probe::Unreached,
            Some(Ok(mut probe)) => {
                let read = timeout(settle, probe.read(&mut [0])).await;
                if !matches!(read, Some(Err(_) | Ok(0))) {
                    return Probe::Alive;
                }
                Probe::Closing
            }
        };
        if Instant::now() >= end {
            return seen;
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

impl<B: Body + 'static> Connection<B> {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails if no head of an answer was received; the request may have run.
    pub(crate) async fn send(mut self, request: Request<B>) -> Result<Answer, Error> {
        let response = self.sender.send_request(request).await?;
        self.meter.note_use();
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(Error::Status(status));
        }
        Ok(Answer {
            response,
            driver: self.driver,
            meter: self.meter,
        })
    }
}

#[cfg(test)]
#[path = "backend_tests.rs"]
mod tests;
