//! Runs an admitted request on a route: waits for grants, sends the request and retries it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request as HttpRequest, Response, response};
use http_body_util::{BodyExt as _, Full, Limited};

use super::failure::Failure;
use super::inbound::{Contract, InboundRequest};
use super::relay::{self, Stream};
use super::respond::{self, Body};
use crate::coordination::pool::End;
use crate::protocol::headers::{AnswerMeta, ForwardMeta};
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Dispatched, NotRun, PendingRequest, Request, Waiting};
use crate::state::clock::Instant;
use crate::state::config::Timeouts;
use crate::state::name::Name;
use crate::transport::backend::{self, Answer, Connection};
use crate::transport::http::hop_by_hop;
use crate::transport::network::{self, Target};
use crate::transport::node::Node;
use crate::transport::rollout::Choice;
use crate::transport::runtime::timeout;
use crate::transport::scheduler::{Decision, Grant, HeldRequest, RequestSpec};
use crate::transport::trace::Trace;

/// Time past a request's due time in which its home may still refuse it; after that its holder refuses it.
const HOME_MARGIN: Duration = Duration::from_millis(20);
/// Retry-after of a request that no server had room for, or that got no server in time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Multiple of the route's objective after which a retryable request is taken from a silent server. A server that is
/// only loaded answers most requests within that time.
const SILENT_OBJECTIVES: u32 = 3;

/// Multiple of the route's objective for which a retry waits for another server. Callers abandon a stream after four
/// objectives.
const RETRY_OBJECTIVES: u32 = 3;

/// An admitted request with the state that is needed to answer it.
pub(super) struct Exchange {
    pub(super) node: Arc<Node>,
    pub(super) trace: Trace,
    pub(super) spec: RequestSpec,
    pub(super) contract: Contract,
    pub(super) inbound: InboundRequest,
    pub(super) held: HeldRequest,
    pub(super) route: Name,
    /// The versions selected for the request.
    pub(super) choice: Choice,
    /// Number of attempts so far.
    attempts: u32,
    /// The most recent attempt.
    pub(super) last_attempt: Option<Attempt>,
}

/// Where a request goes: its route, its service's version, and what it asks of the pool's home.
pub(super) struct Routing {
    pub(super) route: Name,
    pub(super) choice: Choice,
    pub(super) spec: RequestSpec,
}

/// One attempt to send the request to a backend server.
pub(super) struct Attempt {
    pub(super) target: Target,
    /// The host that passed the request on; `None` if it went directly.
    pub(super) through: Option<Name>,
    /// Version of the server's software.
    pub(super) version: Option<Name>,
    pub(super) at: Instant,
}

/// A granted server with an open connection on which nothing has been sent.
struct Ready {
    target: Target,
    /// The host that passes the bytes on; `None` if the connection is direct.
    through: Option<Name>,
    /// Version of the server's software.
    version: Option<Name>,
    connected_at: Instant,
    connection: Connection,
}

/// An answer that is passed to the caller: its whole body, or a stream from its first events on.
pub(super) enum Success {
    Buffered(response::Parts, Bytes),
    Stream(response::Parts, Stream),
}

/// A request that is not retried, with the refusal for its caller.
pub(super) struct FinalFailure {
    request: Request<Dispatched>,
    pub(super) refusal: Refusal,
}

impl Exchange {
    pub(super) fn new(
        node: Arc<Node>,
        trace: Trace,
        routing: Routing,
        contract: Contract,
        inbound: InboundRequest,
    ) -> Self {
        let Routing {
            route,
            choice,
            spec,
        } = routing;
        let held = node.scheduler.hold(&spec);
        Self {
            route,
            choice,
            node,
            trace,
            spec,
            contract,
            inbound,
            held,
            attempts: 0,
            last_attempt: None,
        }
    }

    /// Runs the request until it is answered or refused.
    pub(super) async fn run(mut self, request: Request<Waiting>) -> Response<Body> {
        match self
            .send_until_accepted(PendingRequest::First(request))
            .await
        {
            Ok((_, Success::Buffered(head, body))) => {
                self.trace.record_first_token();
                self.record_success(None);
                forward_response(head, respond::full_body(body))
            }
            Ok((request, Success::Stream(head, stream))) => {
                let body = relay::body(self, request, stream);
                forward_response(head, body)
            }
            Err(refusal) => {
                self.trace.record_failure(&refusal.reason);
                let id = self.inbound.caller_id.as_deref();
                respond::refusal(&self.node.dialect, &refusal, id)
            }
        }
    }

    /// Sends the request until a server's answer is accepted or no retry is allowed.
    ///
    /// If the last attempt failed with an error response of the server, that response is returned as the answer.
    pub(super) async fn send_until_accepted(
        &mut self,
        mut pending: PendingRequest,
    ) -> Result<(Request<Dispatched>, Success), Refusal> {
        loop {
            let ready = match self.wait().await {
                Ok(ready) => ready,
                Err(reason) => return Err(pending.refuse(reason)),
            };
            self.attempts += 1;
            self.trace.record_sent();
            let at = Instant::now();
            self.last_attempt = Some(Attempt {
                target: ready.target.clone(),
                through: ready.through.clone(),
                version: ready.version.clone(),
                at,
            });
            let request = pending.dispatch(at);
            let mut failure = match self.send(ready).await {
                Ok(success) => {
                    self.record_first_token(at);
                    return Ok((request, success));
                }
                Err(failure) => failure,
            };
            self.find_cause(&mut failure).await;
            self.record_failure(&failure);
            let error_response = failure.error_response.take();
            match (self.retry_or_fail(request, failure), error_response) {
                (Ok(next), _) => pending = next,
                (Err(failed), Some(error_response)) => {
                    let (head, body) = *error_response;
                    return Ok((failed.request, Success::Buffered(head, body)));
                }
                (Err(failed), None) => return Err(failed.refusal),
            }
        }
    }

    /// Puts a request back into the queue after a failed attempt, or ends it if it may not be retried.
    pub(super) fn retry_or_fail(
        &mut self,
        request: Request<Dispatched>,
        failure: Failure,
    ) -> Result<PendingRequest, Box<FinalFailure>> {
        let now = Instant::now();
        let retry = self.may_retry(&failure, now);
        slog::info!(
            self.node.log, "a sending gave no answer that counts";
            "request_id" => &self.trace.request_id,
            "server" => self.trace.server(),
            "server_ended" => failure.server_ended,
            "path_failed" => failure.path_failed,
            "fingerprint" => %self.inbound.fingerprint(),
            "sent" => self.attempts,
            "not_run" => failure.not_run.is_some(),
            "again" => retry.is_ok(),
            "bound" => retry.err(),
            "cause" => &failure.reason.message,
        );
        if retry.is_ok() {
            self.switch_versions();
            let wait = self.contract.objective * RETRY_OBJECTIVES;
            self.spec.first_token_deadline = self.spec.answer_deadline.min(now + wait);
            self.held
                .offer_again(failure.end, Some(self.spec.first_token_deadline));
            return Ok(match failure.not_run {
                Some(proof) => request.return_to_waiting(proof),
                None => request.retry(),
            });
        }
        self.held.end(failure.end);
        let refusal = match failure.not_run {
            Some(proof) => {
                let message = failure.reason.message;
                let reason = Reason::with_retry_after(Code::Overloaded, message, FULL_RETRY_AFTER);
                request.refuse_not_run(proof, reason)
            }
            None => request.fail(failure.reason),
        };
        Err(Box::new(FinalFailure { request, refusal }))
    }

    /// Checks whether the request may be retried; if so, takes one retry from the budget.
    ///
    /// The error names the bound that forbids the retry.
    fn may_retry(&self, failure: &Failure, now: Instant) -> Result<(), &'static str> {
        if failure.not_run.is_none() && !self.contract.method.may_retry() {
            Err("method")
        } else if self.attempts >= self.contract.max_attempts {
            Err("attempts")
        } else if now >= self.spec.answer_deadline {
            Err("deadline")
        } else if self.quarantine_refusal().is_some() {
            Err("quarantine")
        } else if !self.node.take_retry(&self.spec.service, now) {
            Err("budget")
        } else {
            Ok(())
        }
    }

    /// Waits for a grant and connects to the granted server.
    async fn wait(&mut self) -> Result<Ready, Reason> {
        let connect_time = Timeouts::duration(self.node.config.timeouts.connect_ms);
        loop {
            let left = self
                .spec
                .first_token_deadline
                .saturating_duration_since(Instant::now());
            let decision = timeout(left + HOME_MARGIN, self.held.decision()).await;
            let grant = match decision {
                // This grant is too late to be used; it is returned when the held request is dropped.
                Some(Decision::Grant(_)) if Instant::now() >= self.spec.first_token_deadline => {
                    return Err(timed_out());
                }
                Some(Decision::Grant(grant)) => grant,
                Some(Decision::Refuse(_)) if self.switch_versions() => {
                    self.held.offer_again(End::Unused, None);
                    continue;
                }
                Some(Decision::Refuse(reason)) => return Err(reason),
                None => return Err(timed_out()),
            };
            if self.return_barred(&grant) {
                continue;
            }
            if self.spec.resumes && self.is_other_version(&grant) {
                let message = "the server has another version than its pool's home knows";
                return Err(Reason::with_retry_after(
                    Code::NoServer,
                    message,
                    FULL_RETRY_AFTER,
                ));
            }
            self.trace.record_grant(&grant);
            match self.connect(&grant, connect_time).await {
                // The server may have asked for rest meanwhile.
                Ok(_) if self.return_barred(&grant) => {}
                Ok(ready) => {
                    self.trace.record_connected(ready.through.as_ref());
                    self.check_sendable()?;
                    return Ok(ready);
                }
                Err(error) => {
                    slog::warn!(
                        self.node.log, "a backend server accepts no connection";
                        "server" => &*grant.server, "cause" => %error,
                        "request_id" => &self.trace.request_id
                    );
                    self.switch_versions();
                    self.held.offer_again(error.end(), None);
                }
            }
        }
    }

    /// Connects to a granted server.
    async fn connect(&self, grant: &Grant, limit: Duration) -> Result<Ready, network::Error> {
        let target = Target::of(&self.spec.service, grant);
        let connected = self.node.network.connect(&target, limit).await?;
        let connection = backend::handshake(connected.stream).await;
        Ok(Ready {
            target,
            through: connected.through,
            version: grant.version.clone(),
            connected_at: Instant::now(),
            connection: connection.map_err(network::Error::Undetermined)?,
        })
    }

    /// Whether the host list shows that a granted server has another version by now.
    fn is_other_version(&self, grant: &Grant) -> bool {
        let scheduler = &self.node.scheduler;
        scheduler.has_other_version(&self.spec.service, grant)
    }

    /// Returns a grant whose server wants no requests, as far as this host knows; returns whether it did.
    fn return_barred(&mut self, grant: &Grant) -> bool {
        let Some(bar) = self.held.bar(&self.spec.service, grant) else {
            return false;
        };
        self.switch_versions();
        self.held.return_barred(bar, &self.trace.request_id);
        true
    }

    /// Sends the request and reads as much of the answer as is needed to accept it.
    async fn send(&mut self, ready: Ready) -> Result<Success, Failure> {
        let request = self.outgoing_request(&ready.target.server);
        let end = Instant::now() + self.response_timeout();
        let left = || end.saturating_duration_since(Instant::now());
        let answer = match timeout(left(), ready.connection.send(request)).await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => return Err(Failure::broken(error)),
            None => return Err(Failure::silent()),
        };
        if ready.through.is_none() {
            let network = &self.node.network;
            network.note_reached(ready.target.address(), ready.connected_at);
        }
        let status = answer.response.status();
        let reply = self
            .node
            .dialect
            .read_answer(status, answer.response.headers());
        self.trace.record_load(reply.load);
        if reply.is_from_intended_server(self.inbound.caller_id.as_deref()) {
            self.held.report_notice(&reply.notice, &self.node.metrics);
        }
        self.check_head(&answer, &reply)?;
        if self.contract.method.is_stream() && status.is_success() {
            let (head, stream) = timeout(left(), Stream::begin(answer, self.inbound.last_event))
                .await
                .ok_or_else(Failure::silent)??;
            return Ok(Success::Stream(head, stream));
        }
        let (head, body) = timeout(left(), self.read_body(answer))
            .await
            .ok_or_else(Failure::silent)??;
        if status.is_server_error() {
            let message = format!("the backend server answered {status}");
            let reason = Reason::new(Code::BackendFailed, message);
            return Err(Failure {
                error_response: Some(Box::new((head, body))),
                ..Failure::of(End::Broken, reason)
            });
        }
        Ok(Success::Buffered(head, body))
    }

    /// Time that a server has for the whole answer, or for the first event of a stream.
    fn response_timeout(&self) -> Duration {
        let left = self.silence_left();
        let is_retryable =
            self.contract.method.may_retry() && self.attempts < self.contract.max_attempts;
        if is_retryable {
            return left.min(self.contract.objective * SILENT_OBJECTIVES);
        }
        left
    }

    /// Time left until the whole answer is due.
    pub(super) fn time_left(&self) -> Duration {
        self.spec
            .answer_deadline
            .saturating_duration_since(Instant::now())
    }

    /// Time that a server may stay silent: until the whole answer is due, or less if the caller of a silent stream
    /// abandons it earlier.
    pub(super) fn silence_left(&self) -> Duration {
        let left = self.time_left();
        self.contract
            .silence
            .map_or(left, |silence| silence.min(left))
    }

    /// Checks the head of an answer: whether the request ran, whether the answer belongs to it, and whether a
    /// success carries the server's mark.
    fn check_head(&self, answer: &Answer, reply: &AnswerMeta) -> Result<(), Failure> {
        let status = answer.response.status();
        if let Some(proof) = NotRun::stated_in(reply) {
            let end = if reply.is_misdirected {
                End::Replaced
            } else {
                End::Full
            };
            let message = format!("the backend server did not run the request: {status}");
            return Err(Failure {
                not_run: Some(proof),
                ..Failure::of(end, Reason::new(Code::Overloaded, message))
            });
        }
        if !reply.is_answer_to(self.inbound.caller_id.as_deref()) {
            let reason = Reason::new(Code::AnswerMismatch, "the answer is another request's");
            return Err(Failure::of(End::Broken, reason));
        }
        if status.is_success() && !reply.has_mark {
            let reason = Reason::new(Code::BackendFailed, "a success without its mark");
            return Err(Failure::of(End::Broken, reason));
        }
        Ok(())
    }

    async fn read_body(&self, answer: Answer) -> Result<(response::Parts, Bytes), Failure> {
        let (head, body) = answer.response.into_parts();
        let max_bytes = usize::try_from(self.node.config.limits.answer_bytes).unwrap_or(usize::MAX);
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(Failure::broken)?;
        Ok((head, body.to_bytes()))
    }

    /// Builds the request that is sent to the server.
    fn outgoing_request(&self, server: &str) -> HttpRequest<Full<Bytes>> {
        let head = &self.inbound.head;
        let mut request = HttpRequest::new(Full::new(self.inbound.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&head.headers);
        let dialect = &self.node.dialect;
        hop_by_hop::strip(headers, |header| dialect.is_end_to_end(header));
        let delivery = ForwardMeta {
            left: self.time_left(),
            account: self.inbound.account.as_deref(),
            server,
            last_event: self.inbound.last_event,
        };
        dialect.write_request(headers, &delivery);
        request
    }
}

/// The reason for refusing a request that got no server in time.
pub(super) fn timed_out() -> Reason {
    Reason::with_retry_after(Code::DeadlinePassed, "no server in time", FULL_RETRY_AFTER)
}

/// Builds the caller's response from the head of the server's answer and a body.
fn forward_response(mut head: response::Parts, body: Body) -> Response<Body> {
    hop_by_hop::strip(&mut head.headers, |_| false);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
