//! One connection of a listener: reads heads, writes answers, detects hang-ups, and decides when to close.

use std::future;
use std::io;
use std::pin::pin;
use std::time::Duration;

use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response};
use smol::net::TcpStream;

use super::{Endpoint, IncomingRequest, Options, Upgrade, too_slow};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::http::framing;
use crate::transport::http::listener::State;
use crate::transport::http::socket::Socket;
use crate::transport::memory::{Eviction, Usage};
use crate::transport::runtime::timeout;

/// Size of a write of an answer, in bytes.
const WRITE_BYTES: usize = 4 * 1024;
/// How long a caller that was refused early may continue to send before the connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// Error text of the HTTP library's parser for a head with too many headers.
const TOO_MANY_HEADERS: &str = "too many headers";

/// What happens to a connection after a request.
enum Next {
    Request,
    Close,
    Linger,
    Upgrade(Upgrade),
}

/// An open connection of a listener.
pub(super) struct Connection<'a, E> {
    pub(super) socket: Socket,
    pub(super) state: &'a State,
    /// Whether it has a request; `None` if it has no room, so that it is refused.
    pub(super) usage: Option<Usage>,
    pub(super) options: &'a Options,
    pub(super) endpoint: &'a E,
}

impl<E: Endpoint> Connection<'_, E> {
    /// Serves requests until the connection closes.
    pub(super) async fn serve(mut self, stream: &TcpStream) {
        // Tokens are small and must be sent at once. The error is ignored: without the option they are only delayed.
        let _ = stream.set_nodelay(true);
        let usage = self.usage.take();
        let Some(usage) = usage.filter(|_| self.state.open() <= self.options.max_connections)
        else {
            let reason = Reason::new(Code::TooManyConnections, "too many connections are open");
            let response = self.endpoint.reject(reason);
            if self.write(response, Method::Get, true).await.is_ok() {
                self.linger().await;
            }
            return;
        };
        loop {
            match self.serve_one(&usage).await {
                Ok(Next::Request) => {}
                Ok(Next::Linger) => return self.linger().await,
                Ok(Next::Upgrade(upgrade)) => return upgrade.serve(stream.clone()).await,
                Ok(Next::Close) | Err(_) => return,
            }
        }
    }

    async fn serve_one(&mut self, usage: &Usage) -> io::Result<Next> {
        usage.note_answered();
        if !self.wait_for_request().await {
            return Ok(Next::Close);
        }
        self.socket.start_head();
        let decoded = {
            // The library's future is large, so it is boxed and kept only until the head has arrived.
            let head = Box::pin(decode(self.socket.clone()));
            timeout(self.options.head_timeout, head).await
        };
        let (request, body) = match decoded {
            Some(Ok(Some(decoded))) => decoded,
            Some(Ok(None)) => return Ok(Next::Close),
            Some(Err(error)) => return self.refuse(self.head_reason(&error)).await,
            None => return self.refuse(too_slow("head")).await,
        };
        if let Some(fault) = framing::fault(request.as_ref()) {
            let message = format!("the head of the request is malformed: {fault}");
            return self.refuse(Reason::new(Code::BadRequest, message)).await;
        }
        // The library's second handle to the body would only drain it; `is_reusable` handles unread bodies instead.
        drop(body);
        let method = request.method();
        let announced = announced_body(&request);
        if announced == Some(0) {
            usage.note_request();
        }
        let mut keep_alive = wants_keep_alive(&request);
        let call = IncomingRequest {
            request,
            arrived: Instant::now(),
            max_body_bytes: self.options.max_body_bytes,
            memory: self.options.memory.clone(),
            usage: usage.clone(),
            body_timeout: self.options.body_timeout,
        };
        let answer = async { Some(self.endpoint.answer(call).await) };
        let hangup = async {
            self.socket.hangup().await;
            None
        };
        let Some(mut response) = answer.or(hangup).await else {
            return Ok(Next::Close);
        };
        let is_reusable = announced == Some(self.socket.body_bytes());
        keep_alive &= is_reusable && !self.state.is_closing();
        if let Some(upgrade) = response.ext_mut().remove::<Upgrade>() {
            self.write(response, method, false).await?;
            return Ok(Next::Upgrade(upgrade));
        }
        self.write(response, method, !keep_alive).await?;
        Ok(if keep_alive {
            Next::Request
        } else if is_reusable {
            Next::Close
        } else {
            Next::Linger
        })
    }

    /// Waits for the first byte of a request; `false` if the connection is idle for too long, ended or stopped.
    async fn wait_for_request(&self) -> bool {
        let readable = self.socket.readable();
        let stopped = async {
            self.state.stopped().await;
            false
        };
        let arrives = timeout(self.options.idle_timeout, readable.or(stopped)).await;
        arrives.unwrap_or(false)
    }

    fn head_reason(&self, error: &http_types::Error) -> Reason {
        let text = error.to_string();
        if self.socket.is_head_too_long() || text.contains(TOO_MANY_HEADERS) {
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

    /// Writes an answer as its body becomes available, until it ends or the caller hangs up, or until it must give up its
    /// room because the caller is slow to read.
    async fn write(
        &mut self,
        mut response: Response,
        method: Method,
        close: bool,
    ) -> io::Result<()> {
        if close {
            response.insert_header(CONNECTION, "close");
        }
        let eviction = response.ext_mut().remove::<Eviction>();
        let mut evicted = pin!(async {
            match eviction {
                Some(eviction) => eviction.wait().await,
                None => future::pending().await,
            }
            Err(io::Error::from(io::ErrorKind::OutOfMemory))
        });
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
            let written = self.socket.write_all(&buffer[..count]).or(evicted.as_mut());
            timeout(self.options.write_timeout, written)
                .await
                .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }

    /// Drains a caller that is still sending, so that it can read its answer before the connection closes.
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
        timeout(LINGER, drain).await;
    }
}

/// Returns the body length that the head announces; `None` if a transfer coding leaves it open.
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
