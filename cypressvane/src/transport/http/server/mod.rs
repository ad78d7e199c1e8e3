//! An HTTP server: serves the connections of a listener to an endpoint.

mod connection;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt as _;
use http_types::{Request, Response};
use smol::net::TcpStream;

use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::http::listener::{self, ConnectionHandler, State};
use crate::transport::http::socket::Socket;
use crate::transport::memory::{Intake, Memory, Seat, Usage};
use crate::transport::runtime::{lock, timeout};

use connection::Connection;

pub use crate::transport::http::listener::Handle;

/// Size of a read of a request body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Limits and timeouts of connections.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The account of what is held for others, in which bodies take room.
    pub memory: Memory,
    /// Largest number of connections open at once.
    pub max_connections: usize,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Time from the end of a request's head to the end of its body.
    pub body_timeout: Duration,
    /// How long a kept-alive connection may stay idle.
    pub idle_timeout: Duration,
    /// How long one write of an answer may block because the caller does not read.
    pub write_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            memory: Memory::unlimited(),
            max_connections: 16_384,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Answers the requests of a listener.
pub trait Endpoint: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller hangs up.
    fn answer(&self, call: IncomingRequest) -> impl Future<Output = Response> + Send;

    /// Answers a request that was not read, for example because its head is malformed or too many connections are open.
    fn reject(&self, reason: Reason) -> Response;
}

/// Takes over the connection of a request once its answer has been written. An endpoint adds it to the extensions of
/// the answer.
pub(crate) struct Upgrade(Mutex<Option<Takeover>>);

type Takeover = Box<dyn FnOnce(TcpStream) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send>;

impl Upgrade {
    pub(crate) fn new<F>(serve: impl FnOnce(TcpStream) -> F + Send + 'static) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let takeover: Takeover = Box::new(|stream| Box::pin(serve(stream)));
        Self(Mutex::new(Some(takeover)))
    }

    /// Serves the connection from now on.
    async fn serve(self, stream: TcpStream) {
        let takeover = lock(&self.0).take();
        if let Some(takeover) = takeover {
            takeover(stream).await;
        }
    }
}

/// One request with its unread body.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, target, headers and body.
    pub request: Request,
    /// When its head was complete.
    pub arrived: Instant,
    max_body_bytes: u64,
    memory: Memory,
    usage: Usage,
    body_timeout: Duration,
}

impl IncomingRequest {
    /// Records that the request counts as whole although its body was not read to its end.
    pub(crate) fn note_whole(&self) {
        self.usage.note_request();
    }

    /// Reads the whole body. Its room is given back once the last reference to its bytes is dropped.
    ///
    /// # Errors
    /// When it is too large, arrives too slowly, or is broken, or when there is no room for it.
    pub async fn body(&mut self) -> Result<Bytes, Reason> {
        let bytes_max = usize::try_from(self.max_body_bytes).unwrap_or(usize::MAX);
        let announced = self.request.len();
        let length = announced.map(|length| length as u64);
        let mut intake = Intake::of_request(&self.memory, length, bytes_max)?;
        let end = self.arrived + self.body_timeout;
        let left = || end.saturating_duration_since(Instant::now());
        intake.begin().await?;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = timeout(left(), intake.read(self.request.read(&mut buffer))).await;
            let count = read.ok_or_else(|| too_slow("body"))??;
            let count = count.map_err(|error| Reason::new(Code::BadRequest, error.to_string()))?;
            if count == 0 {
                break;
            }
            intake.push(&buffer[..count]).await?;
        }
        if announced.is_some_and(|length| length != intake.len()) {
            let message = "the body is shorter than announced";
            return Err(Reason::new(Code::BadRequest, message));
        }
        self.note_whole();
        Ok(intake.finish())
    }
}

/// The reason for refusing a request of which a part did not arrive in time.
fn too_slow(part: &str) -> Reason {
    Reason::new(
        Code::SlowRequest,
        format!("the {part} of the request came too slowly"),
    )
}

/// Binds a listener and serves its connections.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind<E: Endpoint>(
    address: SocketAddr,
    options: Options,
    endpoint: Arc<E>,
) -> io::Result<Handle> {
    let memory = options.memory.clone();
    listener::bind(address, memory, Server { options, endpoint })
}

/// The connection handler that connects a listener to an endpoint.
struct Server<E> {
    options: Options,
    endpoint: Arc<E>,
}

impl<E: Endpoint> ConnectionHandler for Server<E> {
    async fn serve(&self, stream: TcpStream, state: &State, seat: Option<&Seat>) {
        let connection = Connection {
            socket: Socket::new(stream.clone()),
            state,
            usage: seat.map(Seat::usage).cloned(),
            options: &self.options,
            endpoint: &*self.endpoint,
        };
        connection.serve(&stream).await;
    }
}
