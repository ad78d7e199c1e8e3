//! An HTTP server: serves the connections of a listener to an endpoint.

mod connection;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use http_types::{Request, Response};
use smol::net::TcpStream;

use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::http::listener::{self, Service, State};
use crate::transport::http::socket::Socket;
use crate::transport::runtime::within;

use connection::Connection;

pub use crate::transport::http::listener::Handle;

/// Size of a read of a request body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Limits and timeouts of connections.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest number of connections open at once.
    pub connections: usize,
    /// Time from the first byte of a request to the end of its head.
    pub head: Duration,
    /// Time from the end of a request's head to the end of its body.
    pub body: Duration,
    /// How long a kept-alive connection may stay idle.
    pub idle: Duration,
    /// How long one write of an answer may block because the caller does not read.
    pub write: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            connections: 16_384,
            head: Duration::from_secs(10),
            body: Duration::from_secs(30),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(30),
        }
    }
}

/// Answers the requests of a listener.
pub trait Endpoint: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller hangs up.
    fn answer(&self, call: Call) -> impl Future<Output = Response> + Send;

    /// Answers a request that was not read, for example because its head is malformed or too many connections are open.
    fn reject(&self, reason: Reason) -> Response;
}

/// One request with its unread body.
#[derive(Debug)]
pub struct Call {
    /// Method, target, headers and body.
    pub request: Request,
    /// When its head was complete.
    pub arrived: Instant,
    body_bytes: u64,
    body_time: Duration,
}

impl Call {
    /// Reads the whole body.
    ///
    /// # Errors
    /// When it is too large, arrives too slowly, or is broken.
    pub async fn body(&mut self) -> Result<Vec<u8>, Reason> {
        let too_large = || {
            let message = format!("the body is larger than {} bytes", self.body_bytes);
            Reason::new(Code::BodyTooLarge, message)
        };
        if self
            .request
            .len()
            .is_some_and(|length| length as u64 > self.body_bytes)
        {
            return Err(too_large());
        }
        let announced = self.request.len();
        let end = self.arrived + self.body_time;
        let mut body = Vec::with_capacity(announced.unwrap_or(0));
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let read = within(left, self.request.read(&mut buffer)).await;
            let count = match read {
                None => return Err(too_slow("body")),
                Some(Err(error)) => return Err(Reason::new(Code::BadRequest, error.to_string())),
                Some(Ok(0)) => break,
                Some(Ok(count)) => count,
            };
            body.extend_from_slice(&buffer[..count]);
            if body.len() as u64 > self.body_bytes {
                return Err(too_large());
            }
        }
        if announced.is_some_and(|length| length != body.len()) {
            return Err(Reason::new(
                Code::BadRequest,
                "the body is shorter than announced",
            ));
        }
        Ok(body)
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
    listener::bind(address, Server { options, endpoint })
}

/// The service that connects a listener to an endpoint.
struct Server<E> {
    options: Options,
    endpoint: Arc<E>,
}

impl<E: Endpoint> Service for Server<E> {
    async fn serve(&self, stream: TcpStream, state: &State) {
        let connection = Connection {
            socket: Socket::new(stream.clone()),
            state,
            options: &self.options,
            endpoint: &*self.endpoint,
        };
        connection.serve(&stream).await;
    }
}
