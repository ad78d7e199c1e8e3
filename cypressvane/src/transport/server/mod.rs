//! A listener and its connections.

mod connection;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::AsyncReadExt as _;
use http_types::{Request, Response};
use smol::net::TcpListener;
use smol::{Task, Timer};

use crate::protocol::refusal::{Code, Reason};
use crate::transport::open::Count;
use crate::transport::runtime::{spawn, within};
use crate::transport::socket::Socket;

use connection::Connection;

/// Bytes of a request body read at once.
const READ_BYTES: usize = 16 * 1024;
/// How long the listener rests when the system gives it no connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

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

/// What the connections of a listener share.
#[derive(Debug)]
struct Shared {
    options: Options,
    open: Count,
    closing: AtomicBool,
    /// Closed when idle connections are to end.
    stopped: Receiver<()>,
}

/// A running listener; dropping it ends it with all its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    accepting: Option<Task<()>>,
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
    let listener = std::net::TcpListener::bind(address)?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let shared = Arc::new(Shared {
        options,
        open: Count::default(),
        closing: AtomicBool::new(false),
        stopped,
    });
    let accepting = Some(spawn(accept(listener, Arc::clone(&shared), endpoint)));
    Ok(Handle {
        address,
        shared,
        stop,
        accepting,
    })
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.open.get()
    }

    /// Closes each connection after its next answer, and still accepts new ones.
    pub fn close_after_answers(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Accepts no more connections and waits for the open ones; tells whether all ended in time.
    pub async fn stop(mut self, limit: Duration) -> bool {
        self.close_after_answers();
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.stop.close();
        self.shared.open.closed(limit).await
    }
}

async fn accept<E: Endpoint>(listener: TcpListener, shared: Arc<Shared>, endpoint: Arc<E>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        let open = shared.open.enter();
        let connection = Connection {
            socket: Socket::new(stream.clone()),
            shared: Arc::clone(&shared),
            endpoint: Arc::clone(&endpoint),
        };
        spawn(async move {
            let _open = open;
            connection.serve(&stream).await;
        })
        .detach();
    }
}
