//! A listener and its connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use crate::protocol::refusal::{Code, Reason};
use crate::transport::runtime::{spawn, within};
use crate::transport::socket::Socket;

/// Bytes of an answer written at once.
const WRITE_BYTES: usize = 4 * 1024;
/// Bytes of a request body read at once.
const READ_BYTES: usize = 16 * 1024;
/// How long a caller that was refused early may go on sending before the connection is cut.
const LINGER: Duration = Duration::from_secs(1);
/// How long the listener rests when the system gives it no connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// How often a listener that stops looks whether its connections are done.
const STOP_POLL: Duration = Duration::from_millis(10);
/// What the HTTP library's parser says of a head with too many headers.
const TOO_MANY_HEADERS: &str = "too many headers";

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
    open: AtomicUsize,
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
        open: AtomicUsize::new(0),
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
        self.shared.open.load(Ordering::Relaxed)
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
        let end = Instant::now() + limit;
        while self.connections() > 0 && Instant::now() < end {
            Timer::after(STOP_POLL).await;
        }
        self.connections() == 0
    }
}

/// Counts a connection for as long as it is open.
struct Open(Arc<Shared>);

impl Open {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept<E: Endpoint>(listener: TcpListener, shared: Arc<Shared>, endpoint: Arc<E>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        let open = Open::new(&shared);
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

/// Whether a connection takes another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Request,
    Close,
    Linger,
}

struct Connection<E> {
    socket: Socket,
    shared: Arc<Shared>,
    endpoint: Arc<E>,
}

impl<E: Endpoint> Connection<E> {
    async fn serve(mut self, stream: &TcpStream) {
        // Tokens are small and must leave at once; without it they only come later.
        let _ = stream.set_nodelay(true);
        if self.shared.open.load(Ordering::Relaxed) > self.shared.options.connections {
            let reason = Reason::new(Code::TooManyConnections, "too many connections are open");
            let response = self.endpoint.reject(reason);
            if self.write(response, Method::Get, true).await.is_ok() {
                self.linger().await;
            }
            return;
        }
        loop {
            match self.serve_one().await {
                Ok(Next::Request) => {}
                Ok(Next::Linger) => return self.linger().await,
                Ok(Next::Close) | Err(_) => return,
            }
        }
    }

    async fn serve_one(&mut self) -> io::Result<Next> {
        if !self.next_arrives().await {
            return Ok(Next::Close);
        }
        self.socket.begin_head();
        let decoded = {
            // The library's future is large; it is kept only until the head has come.
            let head = Box::pin(decode(self.socket.clone()));
            within(self.shared.options.head, head).await
        };
        let (request, body) = match decoded {
            Some(Ok(Some(decoded))) => decoded,
            Some(Ok(None)) => return Ok(Next::Close),
            Some(Err(error)) => return self.refuse(self.head_reason(&error)).await,
            None => return self.refuse(slow("head")).await,
        };
        // The library's second handle to the body would only drain it; `reusable` decides instead.
        drop(body);
        let method = request.method();
        let announced = announced_body(&request);
        let mut keep = wants_keep_alive(&request);
        let call = Call {
            request,
            arrived: Instant::now(),
            body_bytes: self.shared.options.body_bytes,
            body_time: self.shared.options.body,
        };
        let answer = async { Some(self.endpoint.answer(call).await) };
        let hangup = async {
            self.socket.hangup().await;
            None
        };
        let Some(response) = answer.or(hangup).await else {
            return Ok(Next::Close);
        };
        let reusable = announced == Some(self.socket.body_bytes());
        keep &= reusable && !self.shared.closing.load(Ordering::Relaxed);
        self.write(response, method, !keep).await?;
        Ok(if keep {
            Next::Request
        } else if reusable {
            Next::Close
        } else {
            Next::Linger
        })
    }

    /// Waits for the first byte of a request; `false` when there will be none.
    async fn next_arrives(&self) -> bool {
        let readable = self.socket.readable();
        let stopped = async {
            // The channel carries nothing; it is closed to stop.
            let _ = self.shared.stopped.recv().await;
            false
        };
        let arrives = within(self.shared.options.idle, readable.or(stopped)).await;
        arrives.unwrap_or(false)
    }

    fn head_reason(&self, error: &http_types::Error) -> Reason {
        let text = error.to_string();
        if self.socket.oversize() || text.contains(TOO_MANY_HEADERS) {
            return Reason::new(Code::HeadTooLarge, "the head of the request is too large");
        }
        Reason::new(
            Code::BadRequest,
            format!("the head of the request is malformed: {text}"),
        )
    }

    async fn refuse(&mut self, reason: Reason) -> io::Result<Next> {
        let response = self.endpoint.reject(reason);
        self.write(response, Method::Get, true).await?;
        Ok(Next::Linger)
    }

    /// Writes an answer as it comes, until it ends or the caller is gone.
    async fn write(
        &mut self,
        mut response: Response,
        method: Method,
        close: bool,
    ) -> io::Result<()> {
        if close {
            response.insert_header(CONNECTION, "close");
        }
        let mut encoder = Encoder::new(response, method);
        let mut buffer = [0; WRITE_BYTES];
        let watched = self.socket.clone();
        let mut hangup = pin!(async {
            watched.hangup().await;
            Err(io::Error::from(io::ErrorKind::ConnectionAborted))
        });
        loop {
            let count = encoder.read(&mut buffer).or(hangup.as_mut()).await?;
            if count == 0 {
                return self.socket.flush().await;
            }
            let written = self.socket.write_all(&buffer[..count]);
            within(self.shared.options.write, written)
                .await
                .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }

    /// Lets a caller that is still sending read its answer before the connection closes.
    async fn linger(&mut self) {
        self.socket.shutdown();
        let mut buffer = [0; WRITE_BYTES];
        let drain = async {
            while self
                .socket
                .read(&mut buffer)
                .await
                .is_ok_and(|count| count > 0)
            {}
        };
        within(LINGER, drain).await;
    }
}

/// Bytes of body that the head announces; `None` when it does not say.
fn announced_body(request: &Request) -> Option<u64> {
    if request.header(TRANSFER_ENCODING).is_some() {
        return None;
    }
    let length = request.header(CONTENT_LENGTH);
    length.map_or(Some(0), |values| values.as_str().parse().ok())
}

fn wants_keep_alive(request: &Request) -> bool {
    let close =
        |values: &http_types::headers::HeaderValues| values.as_str().eq_ignore_ascii_case("close");
    !request.header(CONNECTION).is_some_and(close)
}
