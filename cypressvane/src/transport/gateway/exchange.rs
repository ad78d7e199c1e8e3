//! What is needed to answer an admitted request on a route; waits for grants and connects to servers.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt as _;
use http::{Request as HttpRequest, Response, response};

use super::failure::Failure;
use super::flight::{Begun, Flight};
use super::inbound::{Contract, InboundRequest};
use super::relay;
use super::respond::{self, Body};
use super::sending::{Expected, Sending};
use crate::coordination::hedge::Hedge;
use crate::coordination::pool::End;
use crate::protocol::headers::ForwardMeta;
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Dispatched, PendingRequest, Request, Waiting};
use crate::state::clock::Instant;
use crate::state::config::Timeouts;
use crate::state::fleet::CallKind;
use crate::state::name::Name;
use crate::transport::backend::{self, Connection};
use crate::transport::http::hop_by_hop;
use crate::transport::memory::{Eviction, Piecewise};
use crate::transport::network::{self, Target};
use crate::transport::node::Node;
use crate::transport::quarantine::Turn;
use crate::transport::rollout::Choice;
use crate::transport::runtime::timeout;
use crate::transport::scheduler::{Decision, Grant, HeldRequest, RequestSpec};
use crate::transport::streams::Relayed;
use crate::transport::trace::Trace;

/// Time past a request's due time in which its home may still refuse it; after that its holder refuses it.
pub(super) const HOME_MARGIN: Duration = Duration::from_millis(20);
/// Retry-after of a request that no server had room for, or that got no server in time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

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
    pub(super) route: Name,
    /// The versions selected for the request.
    pub(super) choice: Choice,
    /// Decides about the servers to which the request is sent.
    pub(super) hedge: Hedge,
    /// The request's turn, if it shares a suspected feature with others.
    pub(super) turn: Option<Turn>,
    /// What is told of the stream; `None` if the answer is none that may be taken up, or if the caller does not name the
    /// stream with which the request goes on.
    pub(super) relayed: Option<Relayed>,
}

/// Where a request goes: its route, its service's version, and what it asks of the pool's home.
pub(super) struct Routing {
    pub(super) route: Name,
    pub(super) choice: Choice,
    pub(super) spec: RequestSpec,
}

/// A granted server with an open connection on which nothing has been sent.
pub(super) struct Ready {
    pub(super) held: HeldRequest,
    pub(super) grant: Grant,
    pub(super) target: Target,
    /// The host that passes the bytes on; `None` if the connection is direct.
    pub(super) through: Option<Name>,
    pub(super) connected_at: Instant,
    pub(super) connection: Connection,
}

/// An open connection to a granted server.
pub(super) struct Connected {
    pub(super) target: Target,
    pub(super) through: Option<Name>,
    pub(super) at: Instant,
    pub(super) connection: Connection,
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
        let (streams, service) = (&node.streams, &spec.service);
        let may_be_taken_up = contract.method == CallKind::ResumableStream;
        let stream = inbound.stream.filter(|_| may_be_taken_up);
        let relayed = stream.map(|id| Relayed::open(streams, service, id));
        Self {
            relayed,
            route,
            choice,
            node,
            trace,
            spec,
            contract,
            inbound,
            hedge: Hedge::new(contract.hedge_terms()),
            turn: None,
        }
    }

    /// Runs the request until it is answered or refused.
    pub(super) async fn run(self, request: Request<Waiting>) -> Response<Body> {
        let mut flight = Flight::new(self, request);
        match flight.begin().await {
            Ok(Begun::Whole(head, body)) => {
                flight.exchange.trace.record_first_token();
                flight.record_success(None);
                forward_response(head, respond::full_body(body))
            }
            Ok(Begun::Stream(head)) => forward_response(head, relay::body(flight)),
            Err(refusal) => {
                let exchange = &mut flight.exchange;
                exchange.trace.record_failure(&refusal.reason);
                let id = exchange.inbound.caller_id.as_deref();
                respond::refusal(&exchange.node.dialect, &refusal, id)
            }
        }
    }

    /// Waits for a grant, and sends the request to the granted server.
    pub(super) async fn send(
        &mut self,
        pending: PendingRequest,
        held: HeldRequest,
    ) -> Result<(Request<Dispatched>, Sending), Refusal> {
        let ready = match self.wait(held).await {
            Ok(ready) => ready,
            Err(reason) => return Err(pending.refuse(reason)),
        };
        let now = Instant::now();
        self.hedge.note_sent(now);
        self.trace.record_sent();
        let request = pending.dispatch(now);
        Ok((request, self.send_over(ready, self.choice.clone())))
    }

    /// Sends the request, which no server works on any more, over a connection that was sought as a second one.
    pub(super) fn send_over_second(
        &mut self,
        pending: PendingRequest,
        ready: Ready,
        choice: Choice,
    ) -> (Request<Dispatched>, Sending) {
        let now = Instant::now();
        self.hedge.note_sent(now);
        self.trace.record_grant(&ready.grant);
        self.trace.record_connected(ready.through.as_ref());
        let request = pending.dispatch(now);
        (request, self.send_over(ready, choice))
    }

    /// Sends the request over a connection on which nothing has been sent.
    pub(super) fn send_over(&mut self, ready: Ready, choice: Choice) -> Sending {
        if let Some(relayed) = &mut self.relayed {
            relayed.note_sent(&ready.grant.version);
        }
        let request = self.outgoing_request(&ready.target.server);
        let expected = Expected {
            caller_id: self.inbound.caller_id.clone(),
            is_stream: self.contract.method.is_stream(),
            last_event: self.inbound.last_event,
            gap: self.contract.gap,
        };
        Sending::begin(&self.node, ready, request, choice, expected)
    }

    /// Ends a failed attempt: the request waits for another server, or is refused if it may not be retried.
    pub(super) fn end_attempt(
        &mut self,
        request: Request<Dispatched>,
        failure: Failure,
    ) -> Result<PendingRequest, Refusal> {
        let retry = self.may_retry(&failure, Instant::now());
        self.log_failure(&failure, retry.err());
        if retry.is_ok() {
            return Ok(match failure.not_run {
                Some(proof) => request.return_to_waiting(proof),
                None => request.retry(),
            });
        }
        Err(match failure.not_run {
            Some(proof) => {
                let message = failure.reason.message;
                let reason = Reason::with_retry_after(Code::Overloaded, message, FULL_RETRY_AFTER);
                request.refuse_not_run(proof, reason)
            }
            None => request.fail(failure.reason),
        })
    }

    /// Offers a request again whose grant ended with `end`; it must lead to an event before `until`.
    pub(super) fn offer_again(&mut self, held: &mut HeldRequest, end: End, until: Instant) {
        self.switch_versions(held);
        held.set_versions(&self.spec.versions, self.spec.resumes);
        let deadline = self.retry_deadline(Instant::now()).min(until);
        self.spec.first_token_deadline = deadline;
        held.offer_again(end, Some(deadline));
    }

    /// Time until which a retry waits for a server.
    fn retry_deadline(&self, now: Instant) -> Instant {
        let wait = self.contract.objective * RETRY_OBJECTIVES;
        self.spec.answer_deadline.min(now + wait)
    }

    /// Logs a failed attempt; `bound` is what forbids a retry.
    pub(super) fn log_failure(&self, failure: &Failure, bound: Option<&'static str>) {
        slog::info!(
            self.node.log, "a sending gave no answer that counts";
            "request_id" => &self.trace.request_id,
            "server" => self.trace.server(),
            "server_ended" => failure.server_ended,
            "path_failed" => failure.path_failed,
            "fingerprint" => %self.inbound.features()[0].fingerprint,
            "sent" => self.hedge.attempts(),
            "not_run" => failure.not_run.is_some(),
            "again" => bound.is_none(),
            "bound" => bound,
            "cause" => &failure.reason.message,
        );
    }

    /// Checks whether the request may be retried; if so, takes one retry from the budget.
    ///
    /// The error names the bound that forbids the retry.
    fn may_retry(&self, failure: &Failure, now: Instant) -> Result<(), &'static str> {
        if failure.not_run.is_none() && !self.contract.method.may_retry() {
            Err("method")
        } else if failure.is_own() {
            Err("memory")
        } else if !self.hedge.has_attempts_left() {
            Err("attempts")
        } else if now >= self.spec.answer_deadline {
            Err("deadline")
        } else if !self.may_repeat() {
            Err("quarantine")
        } else if !self.node.take_retry(&self.spec.service, now) {
            Err("budget")
        } else {
            Ok(())
        }
    }

    /// Waits for a grant and connects to the granted server.
    async fn wait(&mut self, mut held: HeldRequest) -> Result<Ready, Reason> {
        loop {
            let deadline = self.spec.first_token_deadline;
            let grant = match self.decision(&held, deadline).await? {
                // This grant is too late to be used; it is returned when the held request is dropped.
                Decision::Grant(_) if Instant::now() >= deadline => return Err(timed_out()),
                Decision::Grant(grant) => grant,
                Decision::Refuse(_) if self.switch_versions(&held) => {
                    held.offer_again(End::Unused, None);
                    continue;
                }
                Decision::Refuse(reason) => return Err(reason),
            };
            if let Some(bar) = held.bar(&self.spec.service, &grant) {
                self.switch_versions(&held);
                held.return_barred(bar, &self.trace.request_id);
                continue;
            }
            if is_other_version(&self.node, &self.spec, &grant) {
                let message = "the server has another version than its pool's home knows";
                return Err(Reason::with_retry_after(
                    Code::NoServer,
                    message,
                    FULL_RETRY_AFTER,
                ));
            }
            self.trace.record_grant(&grant);
            let may_repeat = self.contract.method.may_retry();
            match connect(&self.node, &self.spec.service, &grant, may_repeat).await {
                Ok(connected) => {
                    // The server may have asked for rest meanwhile.
                    if let Some(bar) = held.bar(&self.spec.service, &grant) {
                        self.switch_versions(&held);
                        held.return_barred(bar, &self.trace.request_id);
                        continue;
                    }
                    self.trace.record_connected(connected.through.as_ref());
                    if Instant::now() >= deadline {
                        return Err(timed_out());
                    }
                    self.check_sendable().await?;
                    return Ok(Ready::of(held, grant, connected));
                }
                Err(error) => {
                    log_no_connection(&self.node, &self.trace.request_id, &grant, &error);
                    self.switch_versions(&held);
                    held.offer_again(error.end(), None);
                }
            }
        }
    }

    /// Waits for the home's decision until `deadline`, or until it is too late to send the request as this host leaves.
    async fn decision(&self, held: &HeldRequest, deadline: Instant) -> Result<Decision, Reason> {
        let left = deadline.saturating_duration_since(Instant::now());
        let decided = async {
            let decision = timeout(left + HOME_MARGIN, held.decision()).await;
            decision.ok_or_else(timed_out)
        };
        let departure = &self.node.departure;
        let leaves = async {
            let answer_deadline = self.spec.answer_deadline;
            Err(departure.too_late(&self.route, answer_deadline).await)
        };
        decided.or(leaves).await
    }

    /// Time left until the whole answer is due.
    fn time_left(&self) -> Duration {
        self.spec
            .answer_deadline
            .saturating_duration_since(Instant::now())
    }

    /// What a second place for the request asks of the pool's home, while `first` is silent, and the versions selected for
    /// it. It must lead to an event before `until`.
    pub(super) fn second_spec(&self, first: &Sending, until: Instant) -> (RequestSpec, Choice) {
        let choice = self
            .other_versions()
            .map_or_else(|| first.choice.clone(), Choice::of);
        let spec = RequestSpec {
            versions: if self.spec.resumes {
                self.spec.versions.clone()
            } else {
                choice.versions.clone()
            },
            first_token_deadline: self.retry_deadline(Instant::now()).min(until),
            returning: true,
            avoid: Some(first.grant.server.clone()),
            ..self.spec.clone()
        };
        (spec, choice)
    }

    /// Builds the request that is sent to the server.
    fn outgoing_request(&self, server: &str) -> HttpRequest<Piecewise> {
        let head = &self.inbound.head;
        let mut request = HttpRequest::new(Piecewise::new(self.inbound.body.clone()));
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

impl Ready {
    pub(super) fn of(held: HeldRequest, grant: Grant, connected: Connected) -> Self {
        held.note_way(connected.through.as_ref());
        Self {
            held,
            grant,
            target: connected.target,
            through: connected.through,
            connected_at: connected.at,
            connection: connected.connection,
        }
    }
}

/// Connects to a granted server.
pub(super) async fn connect(
    node: &Node,
    service: &Name,
    grant: &Grant,
    may_repeat: bool,
) -> Result<Connected, network::Error> {
    let limit = Timeouts::duration(node.config.timeouts.connect_ms);
    let target = Target::of(service, grant);
    let connected = node.network.connect(&target, may_repeat, limit).await?;
    let connection = backend::handshake(connected.stream).await;
    Ok(Connected {
        target,
        through: connected.through,
        at: Instant::now(),
        connection: connection.map_err(network::Error::Undetermined)?,
    })
}

pub(super) fn log_no_connection(
    node: &Node,
    request_id: &str,
    grant: &Grant,
    error: &network::Error,
) {
    slog::warn!(
        node.log, "a backend server accepts no connection";
        "server" => &*grant.server, "cause" => %error, "request_id" => request_id,
    );
}

/// Whether the host list shows by now that a granted server has another version than the stream of the request.
pub(super) fn is_other_version(node: &Node, spec: &RequestSpec, grant: &Grant) -> bool {
    spec.resumes && node.scheduler.has_other_version(&spec.service, grant)
}

/// The reason for refusing a request that got no server in time.
fn timed_out() -> Reason {
    Reason::with_retry_after(Code::DeadlinePassed, "no server in time", FULL_RETRY_AFTER)
}

/// Builds the caller's response from the head of the server's answer and a body.
fn forward_response(mut head: response::Parts, body: Body) -> Response<Body> {
    hop_by_hop::strip(&mut head.headers, |_| false);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if let Some(eviction) = head.extensions.remove::<Eviction>() {
        response.extensions_mut().insert(eviction);
    }
    response
}
