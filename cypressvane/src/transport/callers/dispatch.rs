//! Runs an admitted request: waits for a grant, sends it to the backend server, and returns the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt as _;
use http::{HeaderMap, HeaderValue, StatusCode};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, DATE, HeaderName, TRANSFER_ENCODING};
use http_types::{Request as HttpRequest, Response, Url};

use super::claim::{self, Outcome};
use super::relay;
use super::sent::SentRequest;
use crate::coordination::pool::End;
use crate::coordination::quarantine::Features;
use crate::coordination::silence;
use crate::protocol::headers::{Dialect, Notice};
use crate::protocol::refusal::{Code, Ran, Reason, Refusal};
use crate::protocol::request::{Dispatched, Request, Waiting};
use crate::state::clock::Instant;
use crate::state::config::Timeouts;
use crate::transport::departure;
use crate::transport::http::answer::{self, REQUEST_ID};
use crate::transport::http::client::{self, Connection, Error};
use crate::transport::network::Target;
use crate::transport::node::Node;
use crate::transport::runtime::timeout;
use crate::transport::scheduler::{Decision, Grant, HeldRequest, RequestSpec};
use crate::transport::trace::{ANSWERED, Trace};

/// Time past a request's due time in which its home may still refuse it; after that its holder refuses it.
const HOME_MARGIN: Duration = Duration::from_millis(50);

/// An admitted request with the HTTP request that is sent to the backend server.
pub(crate) struct Job {
    pub(crate) request: Request<Waiting>,
    pub(crate) trace: Trace,
    pub(crate) spec: RequestSpec,
    /// What is sent; its host and port are set when the server is known.
    pub(crate) outgoing: HttpRequest,
    pub(crate) stream: bool,
    /// The caller's idempotency key.
    pub(crate) key: Option<String>,
    /// What the request may have in common with others.
    pub(crate) features: Features,
    pub(crate) path: String,
}

/// A request that was granted a server, with an open connection on which nothing has been sent.
struct Ready {
    request: Request<Waiting>,
    held: HeldRequest,
    connection: Connection,
    target: Target,
    /// Whether the connection is direct, not through another host.
    is_direct: bool,
    connected_at: Instant,
    /// Forecast time to the first token.
    first_token: Duration,
}

/// Runs a job until it is answered or refused.
pub(crate) async fn run(node: &Arc<Node>, mut job: Job) -> Response {
    let held = node.scheduler.hold(&job.spec);
    let ready = wait_for_connection(node, job.request, held, &job.spec, &mut job.trace).await;
    let ready = match ready {
        Ok(ready) => ready,
        Err(refusal) => return refusal_response(&mut job.trace, &refusal),
    };
    let ready = match claim_key(node, ready, &job.trace, job.key.as_deref()).await {
        Ok(ready) => ready,
        Err(refusal) => return refusal_response(&mut job.trace, &refusal),
    };
    // While the request waited, servers may have ended under another copy of it.
    let mut turn = None;
    let features = || Features::clone(&job.features);
    let deadline = job.spec.answer_deadline;
    let quarantine = &node.quarantine;
    let checked = quarantine.check(&node.metrics, features, deadline, &mut turn);
    if let Err(reason) = checked.await {
        let refusal = if reason.code == Code::EndsServers {
            ready.request.duplicate(reason)
        } else {
            ready.request.refuse(reason)
        };
        return refusal_response(&mut job.trace, &refusal);
    }
    let sent = SentRequest {
        node: Arc::clone(node),
        request_id: job.trace.request_id.clone(),
        account: job.trace.account.clone(),
        features: job.features,
        _turn: turn.map(Arc::new),
        path: job.path,
        target: ready.target.clone(),
        is_direct: ready.is_direct,
        at: Instant::now(),
    };
    send(ready, job.trace, &job.spec, job.outgoing, job.stream, sent).await
}

/// Records a refusal in the trace and builds its response.
fn refusal_response(trace: &mut Trace, refusal: &Refusal) -> Response {
    trace.record_failure(&refusal.reason);
    answer::refusal(refusal)
}

/// Waits for a grant and connects to the server; if the server accepts no connection, the request waits again.
async fn wait_for_connection(
    node: &Node,
    request: Request<Waiting>,
    mut held: HeldRequest,
    spec: &RequestSpec,
    trace: &mut Trace,
) -> Result<Ready, Refusal> {
    let connect_time = Timeouts::duration(node.config.timeouts.connect_ms);
    loop {
        let remaining = spec
            .first_token_deadline
            .saturating_duration_since(Instant::now());
        let decided = timeout(remaining + HOME_MARGIN, held.decision());
        let leaves = node.departure.too_late(&spec.service, spec.answer_deadline);
        let decision = async { Ok(decided.await) }.or(async { Err(leaves.await) });
        let decision = match decision.await {
            Ok(decision) => decision,
            Err(reason) => return Err(request.refuse(reason)),
        };
        let grant = match decision {
            // This grant is too late to be used; it is returned when the held request is dropped.
            Some(Decision::Grant(_)) if Instant::now() >= spec.first_token_deadline => {
                return Err(request.refuse(Reason::deadline_passed()));
            }
            Some(Decision::Grant(grant)) => grant,
            Some(Decision::Refuse(reason)) => return Err(request.refuse(reason)),
            None => return Err(request.refuse(Reason::deadline_passed())),
        };
        if return_barred(&mut held, spec, &grant, &trace.request_id) {
            continue;
        }
        trace.record_grant(&grant);
        let target = Target::of(&spec.service, &grant);
        match node.network.connect(&target, false, connect_time).await {
            // The server may have asked for rest meanwhile.
            Ok(_) if return_barred(&mut held, spec, &grant, &trace.request_id) => {}
            Ok(connected) => {
                let departure = &node.departure;
                if let Err(reason) = departure.check(&spec.service, spec.answer_deadline) {
                    return Err(request.refuse(reason));
                }
                trace.record_connected(connected.through.as_ref());
                held.note_way(connected.through.as_ref());
                let is_direct = connected.through.is_none();
                let connection = Connection::over(target.address(), connected.stream);
                return Ok(Ready {
                    request,
                    held,
                    connection,
                    target,
                    is_direct,
                    connected_at: Instant::now(),
                    first_token: grant.first_token,
                });
            }
            Err(error) => {
                slog::warn!(
                    node.log, "a backend server accepts no connection";
                    "server" => &*target.server, "cause" => %error, "request_id" => &trace.request_id
                );
                held.offer_again(error.end(), None);
            }
        }
    }
}

/// Returns a grant whose server wants no requests, as far as this host knows; returns whether it did.
fn return_barred(
    held: &mut HeldRequest,
    spec: &RequestSpec,
    grant: &Grant,
    request_id: &str,
) -> bool {
    let Some(bar) = held.bar(&spec.service, grant) else {
        return false;
    };
    held.return_barred(bar, request_id);
    true
}

/// Claims the idempotency key of a request, if it has one.
async fn claim_key(
    node: &Node,
    ready: Ready,
    trace: &Trace,
    key: Option<&str>,
) -> Result<Ready, Refusal> {
    let Some(key) = key else { return Ok(ready) };
    match claim::claim(node, &trace.account, key, &ready.request.id).await {
        Outcome::Claimed => Ok(ready),
        Outcome::Taken(reason) => Err(ready.request.duplicate(reason)),
        Outcome::Unavailable(reason) => Err(ready.request.refuse(reason)),
    }
}

/// Sends the request to the server, after which it may have run, and returns or relays the answer.
async fn send(
    ready: Ready,
    mut trace: Trace,
    spec: &RequestSpec,
    mut outgoing: HttpRequest,
    stream: bool,
    sent: SentRequest,
) -> Response {
    let Ready {
        request,
        held,
        connection,
        target,
        is_direct,
        connected_at,
        first_token,
    } = ready;
    let address = target.address();
    let node = Arc::clone(&sent.node);
    set_target(&mut outgoing, address);
    outgoing.insert_header(REQUEST_ID, &request.id);
    let silence_max = Timeouts::duration(node.config.timeouts.silence_ms);
    trace.record_sent();
    let dispatched = request.dispatch(Instant::now());
    let remaining = spec
        .answer_deadline
        .saturating_duration_since(dispatched.state.at);
    let suspicious = silence::suspicious_after(first_token);
    let answer = connection.send(outgoing, silence_max.min(remaining));
    let answered = async {
        if stream {
            held.listen(suspicious, answer).await
        } else {
            // A whole generation says nothing until its last token, for which there is no forecast.
            answer.await
        }
    };
    let response = match node.departure.before_end(answered).await {
        Some(Ok(response)) => response,
        None => {
            held.finish(End::Unused);
            return refusal_response(&mut trace, &dispatched.fail(departure::unfinished()));
        }
        Some(Err(error)) => {
            sent.end_failed(held, &error);
            return refusal_response(&mut trace, &dispatched.fail(backend_reason(&error)));
        }
    };
    if is_direct {
        node.network.note_reached(address, connected_at);
    }
    if is_mismatched(&response, &dispatched.id) {
        held.finish(End::Broken);
        let message = "the backend server answered another request";
        let refusal = dispatched.fail(Reason::new(Code::AnswerMismatch, message));
        return refusal_response(&mut trace, &refusal);
    }
    let notice = notice(&response);
    held.report_notice(&notice, &node.metrics);
    if stream && response.status().is_success() {
        let limits = relay::Limits {
            silence: silence_max,
            suspicious,
            deadline: spec.answer_deadline,
        };
        return relay::stream(dispatched, response, held, trace, limits, sent);
    }
    let answer = Answer {
        response,
        dispatched,
        held,
        is_leaving: notice.is_leaving,
    };
    read_whole(answer, trace, spec, &sent).await
}

/// A head of an answer whose body is to be read whole.
struct Answer {
    response: Response,
    dispatched: Request<Dispatched>,
    held: HeldRequest,
    /// Whether the server says that it leaves.
    is_leaving: bool,
}

/// Reads the body of an answer, and returns the caller's response.
async fn read_whole(
    answer: Answer,
    mut trace: Trace,
    spec: &RequestSpec,
    sent: &SentRequest,
) -> Response {
    let Answer {
        mut response,
        dispatched,
        held,
        is_leaving,
    } = answer;
    let (node, address) = (&sent.node, sent.target.address());
    let remaining = spec
        .answer_deadline
        .saturating_duration_since(Instant::now());
    let bytes_max = node.config.limits.answer_bytes;
    let memory = &node.memory;
    let body = client::read_body(address, &mut response, memory, bytes_max, remaining);
    let Some(body) = node.departure.before_end(body).await else {
        held.finish(End::Unused);
        return refusal_response(&mut trace, &dispatched.fail(departure::unfinished()));
    };
    match body {
        Ok(_) if is_leaving && response.status().is_server_error() => {
            held.finish(End::Leaving);
            let message = "the backend server is leaving and refused the request";
            let refusal = dispatched.fail(Reason::new(Code::BackendFailed, message));
            refusal_response(&mut trace, &refusal)
        }
        Ok(_) if !is_truthful(&response) => {
            held.finish(End::Broken);
            let message = format!("the backend server answered {}", response.status());
            let refusal = dispatched.fail(Reason::new(Code::BackendFailed, message));
            refusal_response(&mut trace, &refusal)
        }
        Ok(body) => {
            trace
                .times
                .first_token
                .observe(spec.arrived.elapsed().as_secs_f64());
            trace.record_outcome(ANSWERED);
            let took = dispatched.state.at.elapsed();
            node.departure.note_answer(&spec.service, took);
            sent.record_success();
            held.finish(end_for(&response));
            let (body, eviction) = body.finish_answer();
            let mut forwarded = forwarded_response(&response, body, &dispatched.id);
            if let Some(eviction) = eviction {
                forwarded.ext_mut().insert(eviction);
            }
            forwarded
        }
        Err(error @ Error::NoRoom { .. }) => {
            held.finish(End::Unused);
            refusal_response(&mut trace, &dispatched.fail(backend_reason(&error)))
        }
        Err(error) => {
            sent.end_failed(held, &error);
            refusal_response(&mut trace, &dispatched.fail(backend_reason(&error)))
        }
    }
}

/// Sets the host and port of a request to a server's.
fn set_target(outgoing: &mut HttpRequest, address: SocketAddr) {
    let url: &mut Url = outgoing.url_mut();
    // An address is always a valid host and port of an http URL.
    let _ = url.set_ip_host(address.ip());
    let _ = url.set_port(Some(address.port()));
}

/// Whether an answer names the id of another request.
fn is_mismatched(response: &Response, request_id: &str) -> bool {
    response
        .header(REQUEST_ID)
        .is_some_and(|values| values.as_str() != request_id)
}

/// Whether an answer may be passed on: one whose status says that the request has not run needs a server that states it.
fn is_truthful(response: &Response) -> bool {
    let status = response.status();
    let is_stated = status == http_types::StatusCode::MisdirectedRequest
        || response
            .header(Dialect::native().not_run.as_str())
            .is_some();
    let ran = if is_stated { Ran::No } else { Ran::Unknown };
    ran.allows(status.into())
}

/// Reads what the server states of itself in an answer.
fn notice(response: &Response) -> Notice {
    let dialect = Dialect::native();
    let mut headers = HeaderMap::new();
    for name in dialect.notice_headers() {
        let values = response.header(name.as_str()).into_iter().flatten();
        for value in values {
            if let Ok(value) = HeaderValue::from_str(value.as_str()) {
                headers.append(name, value);
            }
        }
    }
    let status = StatusCode::from_u16(response.status().into());
    dialect.read_notice(status.unwrap_or_default(), &headers)
}

/// Classifies, for the home, an answer whose body is complete.
fn end_for(response: &Response) -> End {
    if response.status().is_server_error() {
        End::Broken
    } else {
        End::Whole
    }
}

/// Builds the caller's response from the backend server's answer.
fn forwarded_response(from: &Response, body: Bytes, request_id: &str) -> Response {
    let mut response = answer::with_body(from.status().into(), answer::shared_body(body));
    for (name, values) in from {
        if is_forwarded(name) {
            response.insert_header(name, values);
        }
    }
    response.insert_header(REQUEST_ID, request_id);
    response
}

/// Whether a header is forwarded; hop-by-hop headers, framing headers and `Date` are not.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    const KEEP_ALIVE: &str = "keep-alive";
    const PER_CONNECTION: [&str; 6] = [
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ];
    let regenerated = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, DATE];
    !regenerated.contains(name) && name != KEEP_ALIVE && !PER_CONNECTION.contains(&name.as_str())
}

/// Returns the reason that the caller gets for a call without a complete answer.
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
        Error::NoRoom { .. } => Reason::new(
            Code::BackendFailed,
            "this host has no memory left for the answer",
        ),
        Error::Broken { .. } | Error::Unreachable { .. } => {
            Reason::new(Code::BackendFailed, "the backend server's answer broke off")
        }
    }
}
