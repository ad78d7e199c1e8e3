//! A request on a route on its way to its answer: grants, sending, repeating.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request as HttpRequest, Response, response};
use http_body_util::{BodyExt as _, Full, Limited};

use super::failure::Failure;
use super::message::{Contract, Message};
use super::relay::{self, Stream};
use super::respond::{self, Body, strip_connection};
use crate::coordination::pool::End;
use crate::protocol::exchange::{Delivery, Reply};
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Dispatched, NotRun, Request, Turn, Waiting};
use crate::state::clock::Instant;
use crate::state::config::Timeouts;
use crate::state::name::Name;
use crate::transport::backend::{self, Answer, Connection};
use crate::transport::desk::{Grant, Place, Wish, Word};
use crate::transport::node::Node;
use crate::transport::rollout::Way;
use crate::transport::runtime::within;
use crate::transport::trace::Trace;

/// Time past a request's due time that a home is given to refuse it before its holder does.
const HOME_MARGIN: Duration = Duration::from_millis(20);
/// What a caller is told to wait whose request no server had room for.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// Objectives after which a request that may be repeated is taken from a silent server: a server
/// that is only loaded answers most requests by then.
const SILENT_OBJECTIVES: u32 = 3;

/// Objectives for which a request waits for another server; a caller gives a stream up after four.
const AGAIN_OBJECTIVES: u32 = 3;

/// An admitted request with what it takes to answer it.
pub(super) struct Exchange {
    pub(super) node: Arc<Node>,
    pub(super) trace: Trace,
    pub(super) wish: Wish,
    pub(super) contract: Contract,
    pub(super) message: Message,
    pub(super) place: Place,
    pub(super) route: Name,
    /// Which version of its service it goes to.
    pub(super) way: Way,
    /// How often it was sent.
    sent: u32,
    /// The server to which it was sent last.
    pub(super) last: Option<Sending>,
}

/// What is sought for a request.
pub(super) struct Sought {
    pub(super) route: Name,
    pub(super) way: Way,
    pub(super) wish: Wish,
}

/// A sending of the request.
pub(super) struct Sending {
    pub(super) server: Name,
    pub(super) address: SocketAddr,
    pub(super) at: Instant,
}

/// A server that was granted, with an open connection on which nothing was sent.
struct Ready {
    server: Name,
    address: SocketAddr,
    connection: Connection,
}

/// An answer that counts: its whole body, or a stream from its first events on.
pub(super) enum Success {
    Whole(response::Parts, Bytes),
    Stream(response::Parts, Stream),
}

/// A request that is not sent once more, with what its caller is told.
pub(super) struct Last {
    request: Request<Dispatched>,
    pub(super) refusal: Refusal,
}

impl Exchange {
    pub(super) fn new(
        node: Arc<Node>,
        trace: Trace,
        sought: Sought,
        contract: Contract,
        message: Message,
    ) -> Self {
        let Sought { route, way, wish } = sought;
        let place = node.desk.hold(&wish);
        Self {
            route,
            way,
            node,
            trace,
            wish,
            contract,
            message,
            place,
            sent: 0,
            last: None,
        }
    }

    /// Runs the request to its answer.
    pub(super) async fn run(mut self, request: Request<Waiting>) -> Response<Body> {
        match self.obtain(Turn::First(request)).await {
            Ok((_, Success::Whole(head, body))) => {
                self.trace.first_token();
                self.answered(None);
                pass_on(head, respond::whole(body))
            }
            Ok((request, Success::Stream(head, stream))) => {
                let body = relay::body(self, request, stream);
                pass_on(head, body)
            }
            Err(refusal) => {
                self.trace.fail(&refusal.reason);
                let id = self.message.caller_id.as_deref();
                respond::refusal(&self.node.dialect, &refusal, id)
            }
        }
    }

    /// Sends the request until a server's answer counts, or it may not be sent once more.
    pub(super) async fn obtain(
        &mut self,
        mut turn: Turn,
    ) -> Result<(Request<Dispatched>, Success), Refusal> {
        loop {
            let ready = match self.wait().await {
                Ok(ready) => ready,
                Err(reason) => return Err(turn.refuse(reason)),
            };
            self.sent += 1;
            self.trace.sent();
            let at = Instant::now();
            self.last = Some(Sending {
                server: ready.server.clone(),
                address: ready.address,
                at,
            });
            let request = turn.dispatch(at);
            let mut failure = match self.send(ready).await {
                Ok(success) => {
                    self.saw_first(at);
                    return Ok((request, success));
                }
                Err(failure) => failure,
            };
            self.examine(&mut failure).await;
            self.saw_failure(&failure);
            let answer = failure.answer.take();
            match (self.turn_back(request, failure), answer) {
                (Ok(again), _) => turn = again,
                (Err(last), Some(answer)) => {
                    let (head, body) = *answer;
                    return Ok((last.request, Success::Whole(head, body)));
                }
                (Err(last), None) => return Err(last.refusal),
            }
        }
    }

    /// Lets a request wait again whose sending failed; gives it back where it may not be sent again.
    pub(super) fn turn_back(
        &mut self,
        request: Request<Dispatched>,
        failure: Failure,
    ) -> Result<Turn, Box<Last>> {
        let now = Instant::now();
        let again = self.may_send_again(&failure, now);
        slog::info!(
            self.node.log, "a sending gave no answer that counts";
            "request_id" => &self.trace.request_id,
            "server" => self.trace.server(),
            "server_ended" => failure.server_ended,
            "fingerprint" => %self.message.fingerprint(),
            "sent" => self.sent,
            "not_run" => failure.not_run.is_some(),
            "again" => again.is_ok(),
            "bound" => again.err(),
            "cause" => &failure.reason.message,
        );
        if again.is_ok() {
            self.choose_pool_again();
            let wait = self.contract.objective * AGAIN_OBJECTIVES;
            self.wish.due = self.wish.deadline.min(now + wait);
            self.place.again(failure.end, Some(self.wish.due));
            return Ok(match failure.not_run {
                Some(proof) => request.returned(proof),
                None => request.repeat(),
            });
        }
        self.place.end(failure.end);
        let refusal = match failure.not_run {
            Some(proof) => {
                let message = failure.reason.message;
                let reason = Reason::later(Code::Overloaded, message, FULL_RETRY);
                request.refuse_unrun(proof, reason)
            }
            None => request.fail(failure.reason),
        };
        Err(Box::new(Last { request, refusal }))
    }

    /// Whether the request may be sent once more, which takes it out of the budget; or what bounds it.
    fn may_send_again(&self, failure: &Failure, now: Instant) -> Result<(), &'static str> {
        if failure.not_run.is_none() && !self.contract.method.may_repeat() {
            Err("method")
        } else if self.sent >= self.contract.attempts {
            Err("attempts")
        } else if now >= self.wish.deadline {
            Err("deadline")
        } else if self.kept_back().is_some() {
            Err("quarantine")
        } else if !self.node.may_repeat(&self.wish.service, now) {
            Err("budget")
        } else {
            Ok(())
        }
    }

    /// Waits for a grant and a connection.
    async fn wait(&mut self) -> Result<Ready, Reason> {
        let connect_time = Timeouts::of(self.node.config.timeouts.connect_ms);
        loop {
            let left = self.wish.due.saturating_duration_since(Instant::now());
            let word = within(left + HOME_MARGIN, self.place.word()).await;
            let grant = match word {
                // A grant that comes too late is no use: it goes back with the place.
                Some(Word::Grant(_)) if Instant::now() >= self.wish.due => return Err(late()),
                Some(Word::Grant(grant)) => grant,
                Some(Word::Refuse(_)) if self.choose_pool_again() => {
                    self.place.again(End::Unused, None);
                    continue;
                }
                Some(Word::Refuse(reason)) => return Err(reason),
                None => return Err(late()),
            };
            if self.node.desk.is_leaving(&self.wish.pool, &grant.server) {
                slog::info!(
                    self.node.log, "a grant for a server that leaves goes back";
                    "request_id" => &self.trace.request_id, "server" => &*grant.server,
                );
                self.choose_pool_again();
                self.place.again(End::Leaving, None);
                continue;
            }
            self.trace.granted(&grant);
            let Grant {
                server, address, ..
            } = grant;
            match backend::connect(address, connect_time).await {
                Ok(connection) => {
                    self.trace.connected();
                    self.may_still_be_sent()?;
                    return Ok(Ready {
                        server,
                        address,
                        connection,
                    });
                }
                Err(error) => {
                    slog::warn!(
                        self.node.log, "a backend server accepts no connection";
                        "server" => &*server, "cause" => %error,
                        "request_id" => &self.trace.request_id
                    );
                    self.choose_pool_again();
                    self.place.unreachable();
                }
            }
        }
    }

    /// Sends the request, and reads the answer as far as it takes to know that it counts.
    async fn send(&mut self, ready: Ready) -> Result<Success, Failure> {
        let request = self.outgoing(&ready.server);
        let end = Instant::now() + self.patience();
        let left = || end.saturating_duration_since(Instant::now());
        let answer = match within(left(), ready.connection.send(request)).await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => return Err(Failure::broken(error)),
            None => return Err(Failure::silent()),
        };
        let status = answer.response.status();
        let reply = self.node.dialect.reply(status, answer.response.headers());
        self.trace.loaded(reply.load);
        if reply.tells_of_server(self.message.caller_id.as_deref()) {
            self.place.hear_limit(reply.limit, &self.node.metrics);
        }
        self.check(&answer, &reply)?;
        if self.contract.method.is_stream() && status.is_success() {
            let (head, stream) = within(left(), Stream::begin(answer, self.message.last_event))
                .await
                .ok_or_else(Failure::silent)??;
            return Ok(Success::Stream(head, stream));
        }
        let (head, body) = within(left(), self.read_whole(answer))
            .await
            .ok_or_else(Failure::silent)??;
        if status.is_server_error() {
            let message = format!("the backend server answered {status}");
            let reason = Reason::new(Code::BackendFailed, message);
            return Err(Failure {
                answer: Some(Box::new((head, body))),
                ..Failure::of(End::Broken, reason)
            });
        }
        Ok(Success::Whole(head, body))
    }

    /// How long a server may keep the answer, or the first event of a stream.
    fn patience(&self) -> Duration {
        let left = self.left_in_silence();
        let may_repeat = self.contract.method.may_repeat() && self.sent < self.contract.attempts;
        if may_repeat {
            return left.min(self.contract.objective * SILENT_OBJECTIVES);
        }
        left
    }

    /// What is left until the whole answer is due.
    pub(super) fn left(&self) -> Duration {
        self.wish.deadline.saturating_duration_since(Instant::now())
    }

    /// The same, or less where the caller of a silent stream leaves before.
    pub(super) fn left_in_silence(&self) -> Duration {
        let left = self.left();
        self.contract
            .silence
            .map_or(left, |silence| silence.min(left))
    }

    /// Checks the head of an answer: whose it is, and whether the request ran.
    fn check(&self, answer: &Answer, reply: &Reply) -> Result<(), Failure> {
        let status = answer.response.status();
        if let Some(proof) = NotRun::stated_in(reply) {
            let end = if reply.misdirected {
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
        if !reply.answers(self.message.caller_id.as_deref()) {
            let reason = Reason::new(Code::AnswerMismatch, "the answer is another request's");
            return Err(Failure::of(End::Broken, reason));
        }
        if status.is_success() && !reply.genuine {
            let reason = Reason::new(Code::BackendFailed, "a success without its mark");
            return Err(Failure::of(End::Broken, reason));
        }
        Ok(())
    }

    async fn read_whole(&self, answer: Answer) -> Result<(response::Parts, Bytes), Failure> {
        let (head, body) = answer.response.into_parts();
        let most = usize::try_from(self.node.config.limits.answer_bytes).unwrap_or(usize::MAX);
        let body = Limited::new(body, most).collect().await;
        let body = body.map_err(Failure::broken)?;
        Ok((head, body.to_bytes()))
    }

    /// The request as the server gets it.
    fn outgoing(&self, server: &str) -> HttpRequest<Full<Bytes>> {
        let head = &self.message.head;
        let mut request = HttpRequest::new(Full::new(self.message.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&head.headers);
        let dialect = &self.node.dialect;
        strip_connection(headers, |header| dialect.is_end_to_end(header));
        let delivery = Delivery {
            left: self.left(),
            account: self.message.account.as_deref(),
            server,
            last_event: self.message.last_event,
        };
        dialect.deliver(headers, &delivery);
        request
    }
}

/// Why a request ends that waited for too long.
pub(super) fn late() -> Reason {
    Reason::later(Code::DeadlinePassed, "no server in time", FULL_RETRY)
}

/// The server's answer as the caller gets it.
fn pass_on(mut head: response::Parts, body: Body) -> Response<Body> {
    strip_connection(&mut head.headers, |_| false);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
