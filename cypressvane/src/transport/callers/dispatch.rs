//! Takes an admitted request from waiting over the boundary to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::headers::{
    CONNECTION, CONTENT_LENGTH, DATE, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http_types::{Request as HttpRequest, Response, Url};

use super::claim::{self, Outcome};
use super::relay;
use super::sent::Sent;
use crate::coordination::pool::End;
use crate::protocol::exchange::{Limit, NATIVE_LIMIT};
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Request, Waiting};
use crate::state::clock::Instant;
use crate::state::config::Timeouts;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::transport::desk::{Grant, Place, Wish, Word};
use crate::transport::http::answer::{self, REQUEST_ID};
use crate::transport::http::client::{self, Connection, Error};
use crate::transport::node::Node;
use crate::transport::runtime::within;
use crate::transport::trace::{ANSWERED, Trace};

/// Time past the deadline that a home is given to refuse a request before its holder does.
const HOME_MARGIN: Duration = Duration::from_millis(50);
/// The header in which an engine says that it is leaving.
const ENGINE_STATE: &str = "x-engine-state";
/// What stands there then.
const ENGINE_DRAINING: &str = "draining";

/// An admitted request with what is sent to the backend server.
pub(crate) struct Job {
    pub(crate) request: Request<Waiting>,
    pub(crate) trace: Trace,
    pub(crate) wish: Wish,
    /// What is sent; its host is set when the server is known.
    pub(crate) outgoing: HttpRequest,
    pub(crate) stream: bool,
    /// The caller's idempotency key.
    pub(crate) key: Option<String>,
    /// What makes it the same as another attempt of its caller.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) path: String,
}

/// A request that is granted a server, with an open connection on which nothing was sent.
struct Ready {
    request: Request<Waiting>,
    place: Place,
    connection: Connection,
    server: Name,
    address: SocketAddr,
}

/// Runs a job to its answer.
pub(crate) async fn run(node: &Arc<Node>, mut job: Job) -> Response {
    let place = node.desk.hold(&job.wish);
    let ready = wait(node, job.request, place, &job.wish, &mut job.trace).await;
    let ready = match ready {
        Ok(ready) => ready,
        Err(refusal) => return refused(&mut job.trace, &refusal),
    };
    let ready = match claimed(node, ready, &job.trace, job.key.as_deref()).await {
        Ok(ready) => ready,
        Err(refusal) => return refused(&mut job.trace, &refusal),
    };
    // Servers may have ended under another copy of it meanwhile.
    if let Some(reason) = node.quarantine.refusal(|| job.fingerprint) {
        return refused(&mut job.trace, &ready.request.duplicate(reason));
    }
    let sent = Sent {
        node: Arc::clone(node),
        request_id: job.trace.request_id.clone(),
        account: job.trace.account.clone(),
        fingerprint: job.fingerprint,
        path: job.path,
        server: ready.server.clone(),
        address: ready.address,
        at: Instant::now(),
    };
    send(ready, job.trace, &job.wish, job.outgoing, job.stream, sent).await
}

/// The answer of a refusal, with the trace told.
fn refused(trace: &mut Trace, refusal: &Refusal) -> Response {
    trace.fail(&refusal.reason);
    answer::refusal(refusal)
}

/// Waits for a grant and a connection; a server that accepts none leaves the request waiting.
async fn wait(
    node: &Node,
    request: Request<Waiting>,
    mut place: Place,
    wish: &Wish,
    trace: &mut Trace,
) -> Result<Ready, Refusal> {
    let connect_time = Timeouts::of(node.config.timeouts.connect_ms);
    loop {
        let left = wish.due.saturating_duration_since(Instant::now());
        let word = within(left + HOME_MARGIN, place.word()).await;
        let grant = match word {
            // A grant that comes too late is no use: it goes back with the place.
            Some(Word::Grant(_)) if Instant::now() >= wish.due => {
                return Err(request.refuse(Reason::deadline_passed()));
            }
            Some(Word::Grant(grant)) => grant,
            Some(Word::Refuse(reason)) => return Err(request.refuse(reason)),
            None => return Err(request.refuse(Reason::deadline_passed())),
        };
        trace.granted(&grant);
        let Grant {
            server, address, ..
        } = grant;
        match client::connect(address, connect_time).await {
            Ok(connection) => {
                trace.connected();
                return Ok(Ready {
                    request,
                    place,
                    connection,
                    server,
                    address,
                });
            }
            Err(error) => {
                slog::warn!(
                    node.log, "a backend server accepts no connection";
                    "server" => &*server, "cause" => %error, "request_id" => &trace.request_id
                );
                place.unreachable();
            }
        }
    }
}

/// Claims the idempotency key of a request that has one.
async fn claimed(
    node: &Node,
    ready: Ready,
    trace: &Trace,
    key: Option<&str>,
) -> Result<Ready, Refusal> {
    let Some(key) = key else { return Ok(ready) };
    match claim::claim(node, &trace.account, key, &ready.request.id).await {
        Outcome::Mine => Ok(ready),
        Outcome::Taken(reason) => Err(ready.request.duplicate(reason)),
        Outcome::Unavailable(reason) => Err(ready.request.refuse(reason)),
    }
}

/// Crosses the boundary and passes the answer on.
async fn send(
    ready: Ready,
    mut trace: Trace,
    wish: &Wish,
    mut outgoing: HttpRequest,
    stream: bool,
    sent: Sent,
) -> Response {
    let Ready {
        request,
        place,
        connection,
        address,
        ..
    } = ready;
    let node = Arc::clone(&sent.node);
    aim(&mut outgoing, address);
    outgoing.insert_header(REQUEST_ID, &request.id);
    let silence = Timeouts::of(node.config.timeouts.silence_ms);
    trace.sent();
    let dispatched = request.dispatch(Instant::now());
    let left = wish.deadline.saturating_duration_since(dispatched.state.at);
    let mut response = match connection.send(outgoing, silence.min(left)).await {
        Ok(response) => response,
        Err(error) => {
            place.finish(End::Broken);
            sent.examine(&error);
            return refused(&mut trace, &dispatched.fail(backend_reason(&error)));
        }
    };
    if answers_another(&response, &dispatched.id) {
        place.finish(End::Broken);
        let message = "the backend server answered another request";
        let refusal = dispatched.fail(Reason::new(Code::AnswerMismatch, message));
        return refused(&mut trace, &refusal);
    }
    let named = response.header(NATIVE_LIMIT);
    let named = named.into_iter().flat_map(|values| values.iter());
    place.hear_limit(Limit::read(named.map(HeaderValue::as_str)), &node.metrics);
    if stream && response.status().is_success() {
        let limits = relay::Limits {
            silence,
            deadline: wish.deadline,
        };
        return relay::stream(dispatched, response, place, trace, limits, sent);
    }
    let left = wish.deadline.saturating_duration_since(Instant::now());
    let bytes_max = node.config.limits.answer_bytes;
    let body = client::read_whole(address, &mut response, bytes_max, left).await;
    match body {
        Ok(_) if end_of(&response) == End::Leaving => {
            place.finish(End::Leaving);
            let message = "the backend server is leaving and refused the request";
            let refusal = dispatched.fail(Reason::new(Code::BackendFailed, message));
            refused(&mut trace, &refusal)
        }
        Ok(body) => {
            trace
                .times
                .first_token
                .observe(wish.arrived.elapsed().as_secs_f64());
            trace.end(ANSWERED);
            sent.answered();
            place.finish(end_of(&response));
            whole(&response, body, &dispatched.id)
        }
        Err(error) => {
            place.finish(End::Broken);
            sent.examine(&error);
            refused(&mut trace, &dispatched.fail(backend_reason(&error)))
        }
    }
}

/// Points a request at a server.
fn aim(outgoing: &mut HttpRequest, address: SocketAddr) {
    let url: &mut Url = outgoing.url_mut();
    // An address is always a valid host and port of an http URL.
    let _ = url.set_ip_host(address.ip());
    let _ = url.set_port(Some(address.port()));
}

/// Whether an answer names a request id that is not this request's.
fn answers_another(response: &Response, request_id: &str) -> bool {
    response
        .header(REQUEST_ID)
        .is_some_and(|values| values.as_str() != request_id)
}

/// What an answer with its whole body says of its server.
fn end_of(response: &Response) -> End {
    let state = response.header(ENGINE_STATE).map(|values| values.as_str());
    if state == Some(ENGINE_DRAINING) {
        End::Leaving
    } else if response.status().is_server_error() {
        End::Broken
    } else {
        End::Whole
    }
}

/// The backend server's answer as the caller gets it.
fn whole(from: &Response, body: Vec<u8>, request_id: &str) -> Response {
    let mut response = answer::plain(from.status().into(), body);
    for (name, values) in from {
        if is_passed_on(name) {
            response.insert_header(name, values);
        }
    }
    response.insert_header(REQUEST_ID, request_id);
    response
}

/// Whether a header belongs to the message, not to one connection.
pub(crate) fn is_passed_on(name: &HeaderName) -> bool {
    const KEEP_ALIVE: &str = "keep-alive";
    const PER_CONNECTION: [&str; 6] = [
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ];
    let own = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, DATE];
    !own.contains(name) && name != KEEP_ALIVE && !PER_CONNECTION.contains(&name.as_str())
}

/// What a caller is told of a call that gave no whole answer.
pub(crate) fn backend_reason(error: &Error) -> Reason {
    match error {
        Error::Silent { .. } => Reason::new(
            Code::BackendSilent,
            "the backend server sent nothing in time",
        ),
        Error::TooLarge { limit, .. } => {
            let message = format!("the answer is larger than {limit} bytes");
            Reason::new(Code::BackendFailed, message)
        }
        Error::Broken { .. } | Error::Unreachable { .. } => {
            Reason::new(Code::BackendFailed, "the backend server's answer broke off")
        }
    }
}
