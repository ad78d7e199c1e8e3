//! A listener and its connections.

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

/// Bytes of a request body read at once.
const READ_BYTES: usize = 16 * 1024;

/// Bounds on connections.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Most connections open at once.
    pub connections: usize,
    /// From the first byte of a request to the end of its head.
    pub head: Duration,
    /// From the head of a request to the end of its body.
    pub body: Duration,
    /// How long a kept-alive connection may stay idle.
    pub idle: Duration,
    /// How long a reader may take no byte of its answer.
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

/// What answers the requests of a listener.
pub trait Endpoint: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller hangs up.
    fn answer(&self, call: Call) -> impl Future<Output = Response> + Send;

    /// Answers a request that could not be read.
    fn reject(&self, reason: Reason) -> Response;
}

/// One request with its unread body.
#[derive(Debug)]
pub struct Call {
    /// Method, target, headers and body.
    pub request: Request,
    /// When its head had been read.
    pub arrived: Instant,
    body_bytes: u64,
    body_time: Duration,
}

impl Call {
    /// Reads the whole body.
    ///
    /// # Errors
    /// Says whether it is too large, too slow or broken.
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
                None => return Err(slow("body")),
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

/// Why a part of a request that did not come in time is refused.
fn slow(part: &str) -> Reason {
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

/// Serves connections to an endpoint.
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
