//! Connections of callers on routes.

use std::convert::Infallible;
use std::error::Error as _;
use std::future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::{AsyncReadExt as _, FutureExt as _};
use http::header::{CONNECTION, HeaderValue};
use hyper::body::{self, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Gateway;
use super::respond::Body;
use crate::transport::http::keepalive::set_user_timeout;
use crate::transport::http::listener::{ConnectionHandler, State};
use crate::transport::http::metered::Metered;
use crate::transport::memory::{Eviction, Seat, Usage};
use crate::transport::runtime::{lock, timeout};

/// Size of a connection's read buffer in bytes; twice the largest head that the users' sites allow.
const READ_BYTES: usize = 32 * 1024;
/// Time after which data that a caller has not acknowledged breaks the connection: the shortest time after which
/// a caller abandons a silent stream.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller beyond the limit of connections may take to send a request, which is refused.
const REFUSED_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller may continue to send a body that is not read. Closing the connection earlier would reset it, and the
/// caller could lose its refusal.
const LINGER: Duration = Duration::from_secs(1);
/// Size of a read of what is discarded, in bytes.
const DISCARD_BYTES: usize = 4 * 1024;

/// Serves the connections of callers on routes.
pub(crate) struct RouteServer {
    pub(crate) gateway: Gateway,
    /// How long a connection may be idle.
    pub(crate) idle_timeout: Duration,
    /// Largest number of connections open at once.
    pub(crate) max_connections: usize,
}

/// How far the last request of a connection has come.
#[derive(Debug)]
pub(super) struct Progress {
    usage: Usage,
    current: Mutex<Option<Current>>,
    /// The answers that may have to give up their room while they are written.
    evictions: (Sender<Eviction>, Receiver<Eviction>),
}

/// Why a connection ended before its time.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The connection broke, or is not used as HTTP says.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// Others needed the room of an answer that the caller did not read.
    #[error("the caller is slow to read, and the memory of its answer was needed")]
    Evicted,
}

impl Error {
    /// Whether bytes came that are no request.
    fn is_parse(&self) -> bool {
        matches!(self, Self::Http(error) if error.is_parse())
    }

    /// Whether a request may have lost its answer. An idle connection loses nothing, and an answer that this host breaks
    /// off is in the record of its request.
    fn is_loss(&self) -> bool {
        match self {
            Self::Http(error) => !(error.is_timeout() || error.is_user() || error.is_parse()),
            Self::Evicted => true,
        }
    }
}

/// The last request of a connection.
#[derive(Debug)]
struct Current {
    request_id: String,
    stage: Stage,
    /// Whether its body was not read to the end.
    has_unread_body: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its answer has not begun.
    Unanswered,
    /// Its answer has begun, and may have been written.
    Answered,
}

impl Stage {
    /// Returns the name used in logs and metrics.
    fn text(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Answered => "answered",
        }
    }
}

impl Progress {
    fn new(usage: Usage) -> Self {
        Self {
            usage,
            current: Mutex::default(),
            evictions: async_channel::unbounded(),
        }
    }

    /// Records that the head of a request was read.
    pub(super) fn begin(&self, request_id: &str) {
        *lock(&self.current) = Some(Current {
            request_id: request_id.to_owned(),
            stage: Stage::Unanswered,
            has_unread_body: false,
        });
    }

    /// Records that the request was read to its end.
    pub(super) fn note_whole_request(&self) {
        self.usage.note_request();
    }

    /// Records that the request is refused although its body was not read to the end.
    pub(super) fn note_unread_body(&self) {
        if let Some(current) = &mut *lock(&self.current) {
            current.has_unread_body = true;
        }
    }

    /// Records that the answer to the request begins, and how it is told to give up its room.
    fn note_answer(&self, eviction: Option<Eviction>) {
        if let Some(current) = &mut *lock(&self.current) {
            current.stage = Stage::Answered;
        }
        if let Some(eviction) = eviction {
            // The receiver exists as long as the sender.
            let _ = self.evictions.0.try_send(eviction);
        }
    }

    /// Waits until an answer must give up its room while it is written.
    async fn evicted(&self) {
        let mut written: Option<Eviction> = None;
        loop {
            let evicted = async {
                match &written {
                    Some(eviction) => eviction.wait().await,
                    None => future::pending().await,
                }
                None
            };
            let next = async { self.evictions.1.recv().await.ok() };
            match evicted.or(next).await {
                None => return,
                next => written = next,
            }
        }
    }

    fn has_unread_body(&self) -> bool {
        lock(&self.current)
            .as_ref()
            .is_some_and(|current| current.has_unread_body)
    }
}

/// The body of a response, after which its connection has no request any more.
struct WrittenBody {
    body: Body,
    usage: Usage,
}

impl body::Body for WrittenBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for WrittenBody {
    fn drop(&mut self) {
        self.usage.note_answered();
    }
}

impl ConnectionHandler for RouteServer {
    async fn serve(&self, stream: TcpStream, state: &State, seat: Option<&Seat>) {
        // Errors are ignored: without these options, events and the loss of a caller are only delayed.
        let _ = stream.set_nodelay(true);
        let _ = set_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
        let usage = seat.map_or_else(Usage::detached, |seat| seat.usage().clone());
        let progress = Progress::new(usage);
        let has_room = seat.is_some() && state.open() <= self.max_connections;
        let result = self
            .serve_requests(stream.clone(), state, &progress, has_room)
            .await;
        let is_refused = result.as_ref().is_err_and(Error::is_parse);
        if let Err(error) = result {
            self.record_loss(&progress, &error);
        }
        if is_refused || progress.has_unread_body() {
            linger(stream).await;
        }
    }
}

impl RouteServer {
    async fn serve_requests(
        &self,
        stream: TcpStream,
        state: &State,
        progress: &Progress,
        has_room: bool,
    ) -> Result<(), Error> {
        let service = service_fn(|request| async move {
            let mut response = if has_room {
                self.gateway.answer(request, progress).await
            } else {
                self.gateway.refuse_connection(&request, progress)
            };
            progress.note_answer(response.extensions_mut().remove());
            if !has_room || state.is_closing() || progress.has_unread_body() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let usage = progress.usage.clone();
            Ok::<_, Infallible>(response.map(|body| WrittenBody { body, usage }))
        });
        let head_timeout = if has_room {
            self.idle_timeout
        } else {
            REFUSED_HEAD_TIMEOUT
        };
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(head_timeout)
            .max_buf_size(READ_BYTES)
            .serve_connection(FuturesIo::new(Metered::new(stream)), service);
        let served = async {
            let mut connection = pin!(connection);
            let stopped = async {
                state.stopped().await;
                None
            };
            let ended = async { Some(connection.as_mut().await) };
            if let Some(result) = ended.or(stopped).await {
                return Ok(result?);
            }
            connection.as_mut().graceful_shutdown();
            Ok(connection.await?)
        };
        let evicted = async {
            progress.evicted().await;
            Err(Error::Evicted)
        };
        served.or(evicted).await
    }

    /// Records that a connection ended whose last request may have no whole answer.
    fn record_loss(&self, progress: &Progress, error: &Error) {
        if !error.is_loss() {
            return;
        }
        let current = lock(&progress.current);
        let Some(current) = &*current else { return };
        let node = &self.gateway.node;
        node.metrics
            .connections
            .lost
            .with_label_values(&[current.stage.text()])
            .inc();
        let cause = error
            .source()
            .map_or_else(String::new, |source| format!(": {source}"));
        slog::info!(
            node.log, "a caller's connection was lost";
            "request_id" => &current.request_id,
            "outcome" => "connection_lost",
            "stage" => current.stage.text(),
            "reason" => format!("{error}{cause}"),
        );
    }
}

/// Closes the sending half, and discards what the caller still sends before the connection is closed.
async fn linger(stream: TcpStream) {
    // An error means that the connection is already closed.
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut stream = Metered::new(stream);
    let mut buffer = [0; DISCARD_BYTES];
    let discard = async { while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
    timeout(LINGER, discard).await;
}
