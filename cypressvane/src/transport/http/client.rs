//! An HTTP client that opens one connection per call.
//!
//! A connection is never reused, so a late answer cannot be mistaken for the answer to another call.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use http_types::headers::{CONNECTION, CONTENT_LENGTH};
use http_types::{Method, Request, Response, Url};
use smol::net::TcpStream;

use super::socket::Socket;
use super::{framing, keepalive};
use crate::state::clock::Instant;
use crate::transport::memory::{Intake, IntakeError, Memory};
use crate::transport::runtime::timeout;

/// Size of a read of a body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Time after which a call that waits for its answer notices that the connection is cut.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was established, so no byte of the call was sent.
    #[error("{address} cannot be reached: {cause}")]
    Unreachable {
        /// The address that was called.
        address: SocketAddr,
        /// Cause of the failure.
        cause: String,
        /// Whether no process listens at the address.
        is_refused: bool,
    },
    /// The call was sent, at least in part, and its answer is incomplete or malformed.
    #[error("the answer of {address} broke off: {cause}")]
    Broken {
        /// The address that was called.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call was sent, and its answer did not arrive, or only in part, in time.
    #[error("{address} sent nothing in time")]
    Silent {
        /// The address that was called.
        address: SocketAddr,
    },
    /// The answer is larger than allowed.
    #[error("the answer of {address} is larger than {limit} bytes")]
    TooLarge {
        /// The address that was called.
        address: SocketAddr,
        /// The limit in bytes.
        limit: u64,
    },
    /// This host has no memory left for the answer.
    #[error("there is no memory left for the answer of {address}")]
    NoRoom {
        /// The address that was called.
        address: SocketAddr,
    },
}

/// An open connection on which nothing has been sent.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    socket: Socket,
}

/// An answer with its whole body.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: Response,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether the status is a success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.head.status().is_success()
    }

    /// The status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }
}

/// Opens a connection.
///
/// # Errors
/// `Error::Unreachable` when no connection is established within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, Error> {
    connect_with_user_timeout(address, limit, UNACKNOWLEDGED_TIMEOUT).await
}

/// Opens a connection that breaks when sent data or keepalive probes stay unacknowledged for `unacknowledged`.
pub(crate) async fn connect_with_user_timeout(
    address: SocketAddr,
    limit: Duration,
    unacknowledged: Duration,
) -> Result<Connection, Error> {
    let in_time = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        keepalive::enable(&stream, unacknowledged)?;
        Ok(stream)
    };
    let stream = timeout(limit, in_time).await;
    let late = || Err(io::Error::new(ErrorKind::TimedOut, "no connection in time"));
    let stream = stream
        .unwrap_or_else(late)
        .map_err(|error| Error::Unreachable {
            address,
            is_refused: matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ),
            cause: error.to_string(),
        })?;
    Ok(Connection::over(address, stream))
}

impl Connection {
    /// Wraps a stream to `address` on which nothing has been sent.
    pub(crate) fn over(address: SocketAddr, stream: TcpStream) -> Self {
        Self {
            address,
            socket: Socket::new(stream),
        }
    }

    /// Returns the stream, on which other bytes may follow once an answer has been read.
    pub(crate) fn stream(&self) -> TcpStream {
        self.socket.stream()
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// `Error::Broken` or `Error::Silent`; in both cases, the request may have run.
    pub async fn send(self, mut request: Request, limit: Duration) -> Result<Response, Error> {
        let address = self.address;
        request.insert_header(CONNECTION, "close");
        let broken = |cause: String| Error::Broken { address, cause };
        // The library's future is large, so it is boxed and kept only until the head of the answer has arrived.
        let call = Box::pin(async_h1::connect(self.socket, request));
        let response = timeout(limit, call)
            .await
            .ok_or(Error::Silent { address })?
            .map_err(|error| broken(error.to_string()))?;
        if response.status().is_informational() {
            return Err(broken("an interim answer is not the last one".to_owned()));
        }
        if let Some(fault) = framing::fault(response.as_ref()) {
            return Err(broken(fault.to_owned()));
        }
        // The library takes such an answer for one with an empty body.
        if !framing::states_end(response.status(), response.as_ref()) {
            return Err(broken(
                "the head does not say where the body ends".to_owned(),
            ));
        }
        Ok(response)
    }
}

/// Reads a whole body, for which room is taken from `memory`, and checks its length against the head.
///
/// # Errors
/// Fails when the body breaks off, takes longer than `limit`, is larger than `bytes_max`, or finds no room.
pub(crate) async fn read_body(
    address: SocketAddr,
    response: &mut Response,
    memory: &Memory,
    bytes_max: u64,
    limit: Duration,
) -> Result<Intake, Error> {
    let broken = |cause: String| Error::Broken { address, cause };
    let unread = |error: IntakeError| match error {
        IntakeError::TooLong(_) => Error::TooLarge {
            address,
            limit: bytes_max,
        },
        IntakeError::Full(_) => Error::NoRoom { address },
        IntakeError::Broken(error) => broken(error.to_string()),
    };
    let announced: Option<u64> = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.as_str().parse().ok());
    let most = usize::try_from(bytes_max).unwrap_or(usize::MAX);
    let mut intake = Intake::of_answer(memory, announced, most).map_err(unread)?;
    let end = Instant::now() + limit;
    let left = || end.saturating_duration_since(Instant::now());
    intake.begin().await.map_err(|full| unread(full.into()))?;
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let read = timeout(left(), response.read(&mut buffer)).await;
        let count = read
            .ok_or(Error::Silent { address })?
            .map_err(|error| broken(error.to_string()))?;
        if count == 0 {
            break;
        }
        intake.push(&buffer[..count]).await.map_err(unread)?;
    }
    if announced.is_some_and(|length| length != intake.len() as u64) {
        return Err(broken("the body is shorter than its head says".to_owned()));
    }
    Ok(intake)
}

/// Makes a call: opens a connection, sends the request and reads the whole answer.
///
/// # Errors
/// `Error::Unreachable` when nothing was sent; otherwise the call may have taken effect.
pub async fn call(
    address: SocketAddr,
    request: Request,
    bytes_max: u64,
    limit: Duration,
) -> Result<Reply, Error> {
    let end = Instant::now() + limit;
    let left = || end.saturating_duration_since(Instant::now());
    let connection = connect(address, left()).await?;
    let mut head = connection.send(request, left()).await?;
    let memory = Memory::unlimited();
    let body = read_body(address, &mut head, &memory, bytes_max, left()).await?;
    Ok(Reply {
        head,
        body: body.into_vec(),
    })
}

/// Builds a request to an address; `path` starts with a slash and may contain a query.
///
/// # Panics
/// When `path` is malformed, which is a programming error.
#[must_use]
pub fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("the path is well formed");
    Request::new(method, url)
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
