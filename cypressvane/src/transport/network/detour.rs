//! Detours: connections to backend servers through other hosts, for this host and for others.

use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::{Connected, Network, Target, UNACKNOWLEDGED_TIMEOUT};
use crate::protocol::message::{self, HOST, PROTOCOL};
use crate::protocol::reach::{Outcome, REACH_PATH, Reach};
use crate::state::clock::Instant;
use crate::state::units::millis;
use crate::transport::backend::{self, Connection, EndedAfterHead, may_have_no_body};
use crate::transport::http::metered::{Meter, Metered};
use crate::transport::http::open_count::{Guard, OpenCount};
use crate::transport::http::{client, hop_by_hop, keepalive};
use crate::transport::memory::bound_buffers;
use crate::transport::peers::links::Helper;
use crate::transport::runtime::lock;

/// Most hosts that are asked for one connection. Some of them may be severed too, as a whole data centre is at times, and
/// cannot tell whether they would reach the server; they say so at once.
const HELPERS_MAX: usize = 8;
/// Number of hosts that do not reach the server either by which it is unreachable. Some of them may be severed without
/// knowing it yet.
const DENIALS_MAX: usize = 3;
/// Part of the time for a connection, as a divisor, that one of several hosts gets.
const HELPER_SHARE: u32 = 2;
/// Size of the buffers of a connection for another host, in bytes; larger than any head of a request.
const BUFFER_BYTES: usize = 32 * 1024;
/// Part of the time that is left, as a divisor, that the other host gets to connect to the server: its answer that it
/// does not reach the server must arrive in time, else it counts as one that cannot tell.
const CONNECT_SHARE: u32 = 2;

/// Why no other host has a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// There is no other host to ask.
    NoHelper,
    /// Nothing listens at the server's address.
    Refused,
    /// No other host reaches the server.
    Unreached,
    /// The server wants no requests.
    Barred,
    /// No host that was asked could tell.
    Unknown,
}

impl Network {
    /// Opens a connection to a server through another host, on which the server must stay reached for `settle`.
    pub(super) async fn connect_through(
        &self,
        target: &Target,
        limit: Duration,
        settle: Duration,
    ) -> Result<Connected, Error> {
        let helpers = self.links.draw_helpers(HELPERS_MAX);
        let share = if helpers.len() > 1 { HELPER_SHARE } else { 1 };
        let end = Instant::now() + limit;
        let mut denials = Vec::new();
        let mut is_unknown = false;
        for helper in helpers {
            if denials.len() >= DENIALS_MAX || Instant::now() >= end {
                break;
            }
            match self.ask(&helper, target, limit / share, settle).await {
                (Outcome::Connected, Some(stream)) => {
                    return Ok(Connected {
                        stream,
                        through: Some(helper.name),
                    });
                }
                (Outcome::Barred, _) => return Err(Error::Barred),
                (Outcome::Refused, _) => denials.push(Error::Refused),
                (Outcome::Unreached, _) => denials.push(Error::Unreached),
                (Outcome::Unknown | Outcome::Connected, _) => is_unknown = true,
            }
        }
        Err(if denials.contains(&Error::Refused) {
            Error::Refused
        } else if denials.contains(&Error::Unreached) {
            Error::Unreached
        } else if is_unknown {
            Error::Unknown
        } else {
            Error::NoHelper
        })
    }

    /// Asks another host for a connection to a server.
    async fn ask(
        &self,
        helper: &Helper,
        target: &Target,
        limit: Duration,
        settle: Duration,
    ) -> (Outcome, Option<TcpStream>) {
        let end = Instant::now() + limit;
        let left = || end.saturating_duration_since(Instant::now());
        let connected =
            client::connect_with_user_timeout(helper.address, limit, UNACKNOWLEDGED_TIMEOUT);
        let Ok(connection) = connected.await else {
            return (Outcome::Unknown, None);
        };
        let stream = connection.stream();
        if bound_buffers(&stream).is_err() {
            return (Outcome::Unknown, None);
        }
        let reach = Reach {
            pool: target.pool.clone(),
            server: target.server.clone(),
            incarnation: target.incarnation,
            limit_ms: millis(left() / CONNECT_SHARE),
            settle_ms: millis(settle),
        };
        let mut request = client::request(Method::Post, helper.address, REACH_PATH);
        request.insert_header(AUTHORIZATION, format!("Bearer {}", self.links.peer_key()));
        request.insert_header(HOST, self.links.own_name());
        request.insert_header(PROTOCOL, message::VERSION);
        request.set_body(rmp_serde::to_vec(&reach).expect("plain values have a MessagePack form"));
        match connection.send(request, left()).await {
            Ok(response) => {
                let outcome = Outcome::of_status(response.status().into());
                (outcome, (outcome == Outcome::Connected).then_some(stream))
            }
            Err(_) => (Outcome::Unknown, None),
        }
    }
}

/// The requests that this host carries for others.
#[derive(Debug)]
pub(crate) struct Carried {
    open: OpenCount,
    max: usize,
}

impl Carried {
    pub(super) fn new(max: usize) -> Self {
        Self {
            open: OpenCount::default(),
            max,
        }
    }

    /// Takes the place of one request; `None` if there are too many.
    pub(crate) fn enter(&self) -> Option<Guard> {
        (self.open.get() < self.max).then(|| self.open.enter())
    }

    /// Number of requests that are carried now.
    pub(crate) fn count(&self) -> usize {
        self.open.get()
    }

    /// Waits until none is carried, for at most `limit`.
    pub(crate) async fn wait_until_none(&self, limit: Duration) {
        self.open.wait_until_zero(limit).await;
    }
}

/// Carries one request of another host to a server, and the answer back; `observe` sees the headers of the
/// request and the head of the answer, if there is one.
///
/// The connection to the server is closed as soon as the other host closes its own.
pub(crate) async fn carry(
    stream: TcpStream,
    connection: Connection<Incoming>,
    observe: impl Fn(&HeaderMap, Option<&Response<Incoming>>),
) {
    // Errors are ignored: without these options, events and the loss of the other host are only delayed.
    let _ = stream.set_nodelay(true);
    let _ = keepalive::enable(&stream, UNACKNOWLEDGED_TIMEOUT);
    let connection = Mutex::new(Some(connection));
    let service = service_fn(|request: Request<Incoming>| {
        let connection = lock(&connection).take();
        let observe = &observe;
        async move {
            let connection = connection.ok_or(CarryError::Second)?;
            let headers = request.headers().clone();
            let answer = connection.send(request).await;
            observe(
                &headers,
                answer.as_ref().ok().map(|answer| &answer.response),
            );
            let answer = answer?;
            let (head, body) = answer.response.into_parts();
            let body = CarriedBody {
                may_have_no_body: may_have_no_body(&head, &body),
                body,
                _driver: answer.driver,
                meter: answer.meter,
            };
            let mut response = Response::from_parts(head, body);
            hop_by_hop::strip(response.headers_mut(), |_| false);
            Ok::<_, CarryError>(response)
        }
    });
    let served = http1::Builder::new()
        .timer(SmolTimer::new())
        .keep_alive(false)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(FuturesIo::new(Metered::new(stream)), service);
    // The other host sees the end of the connection itself, so the error is not reported.
    let _ = served.await;
}

/// Why a carried request gets no answer. The connection is closed, as if the server had closed it.
#[derive(Debug, thiserror::Error)]
enum CarryError {
    /// The server gave no answer.
    #[error(transparent)]
    NoAnswer(#[from] backend::Error),
    /// The server's answer broke off.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    #[error(transparent)]
    EndedAfterHead(#[from] EndedAfterHead),
    /// A connection carries one request.
    #[error("a second request on the connection")]
    Second,
}

/// The body of a carried answer. It keeps the connection to the server until it is dropped.
struct CarriedBody {
    body: Incoming,
    /// Whether the server may have stopped after the head, as nothing has come since.
    may_have_no_body: bool,
    _driver: Task<()>,
    meter: Meter,
}

impl Body for CarriedBody {
    type Data = Bytes;
    type Error = CarryError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CarryError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.note_use();
        if frame.is_none() && std::mem::take(&mut self.may_have_no_body) {
            return Poll::Ready(Some(Err(EndedAfterHead.into())));
        }
        self.may_have_no_body = false;
        Poll::Ready(frame.map(|frame| frame.map_err(CarryError::from)))
    }

    fn is_end_stream(&self) -> bool {
        !self.may_have_no_body && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
