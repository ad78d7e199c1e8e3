//! A request under way: at one server, or at two while the first is silent.

mod second;

use std::future;
use std::mem;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt as _;
use http::response;
use smol::Timer;

use super::exchange::{Exchange, Ready};
use super::failure::Failure;
use super::place::Place;
use super::sending::{Part, Sending};
use crate::coordination::hedge::{AfterFailure, Leg};
use crate::coordination::pool::End;
use crate::protocol::refusal::Refusal;
use crate::protocol::request::{Dispatched, PendingRequest, Request, Waiting};
use crate::state::clock::Instant;
use crate::transport::departure;
use crate::transport::scheduler::HeldRequest;
use second::Second;

/// Delay of a timer from which this host, or its machine, is taken to have stood still.
const STANDSTILL_MIN: Duration = Duration::from_millis(100);
/// Time in which a host that stood still reads what has come meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// A request under way.
pub(super) struct Flight {
    pub(super) exchange: Exchange,
    stage: Stage,
    second: Second,
    /// Whether the caller has the head of a stream.
    has_head: bool,
    /// When the caller last got something, or the request was sent.
    last_part_at: Instant,
    /// Until when nothing is concluded from silence, if this host stood still since the last part.
    judges_from: Option<Instant>,
    /// First events of a stream, until they are passed on.
    first_events: Option<Bytes>,
}

enum Stage {
    /// The request waits for a server.
    Waiting(PendingRequest, HeldRequest),
    /// The request waits for the place that was sought while it was at a server which has failed since.
    Promised(PendingRequest, Place),
    /// The request was sent to a server.
    Sent(Request<Dispatched>, Box<Sending>),
    /// The request has ended; what it was sent to, if it succeeded.
    Ended(Option<Box<Sending>>),
}

/// How an answer begins.
pub(super) enum Begun {
    Whole(response::Parts, Bytes),
    /// The head of a stream, whose events follow.
    Stream(response::Parts),
}

/// Events of a stream.
pub(super) struct Events {
    pub(super) bytes: Bytes,
    /// The pause of the server before them, if they are not its first ones, and it was no silence.
    pub(super) pause: Option<Duration>,
}

/// Something that happens to a request that was sent.
enum Event {
    Part(Leg, Part, Option<Duration>),
    Failed(Leg, Failure),
    /// Others hear the server, and the path to it has failed.
    PathFailed(Leg),
    /// The place that was sought.
    Place(Option<Ready>),
    /// A time limit has passed, which was due at this moment.
    Wake(Instant),
}

impl Flight {
    pub(super) fn new(exchange: Exchange, request: Request<Waiting>) -> Self {
        let held = exchange.node.scheduler.hold(&exchange.spec);
        Self {
            exchange,
            stage: Stage::Waiting(PendingRequest::First(request), held),
            second: Second::None,
            has_head: false,
            last_part_at: Instant::now(),
            judges_from: None,
            first_events: None,
        }
    }

    /// The server whose answer the caller gets; `None` before there is one.
    pub(super) fn server(&self) -> Option<&Sending> {
        match &self.stage {
            Stage::Sent(_, sending) => Some(sending),
            Stage::Ended(sending) => sending.as_deref(),
            Stage::Waiting(..) | Stage::Promised(..) => None,
        }
    }

    /// Waits for the beginning of an answer.
    pub(super) async fn begin(&mut self) -> Result<Begun, Refusal> {
        match self.next_part().await? {
            (Part::Whole(head, body), _) => Ok(Begun::Whole(head, body)),
            (Part::Begin(head, events), _) => {
                self.has_head = true;
                self.first_events = Some(events);
                Ok(Begun::Stream(head))
            }
            (Part::Events(_) | Part::End, _) => {
                unreachable!("a server's answer begins with its head")
            }
        }
    }

    /// Waits for the next events of a stream; `None` at its end.
    pub(super) async fn next_events(&mut self) -> Result<Option<Events>, Refusal> {
        if let Some(bytes) = self.first_events.take() {
            return Ok(Some(Events { bytes, pause: None }));
        }
        let (part, pause) = self.next_part().await?;
        Ok(match part {
            // The caller has the head of the first server's answer.
            Part::Begin(_, bytes) | Part::Events(bytes) => Some(Events { bytes, pause }),
            Part::End => None,
            Part::Whole(..) => unreachable!("a whole answer to a stream's caller is a failure"),
        })
    }

    /// Records a whole answer; `pause` is the mean pause between the events of a stream.
    pub(super) fn record_success(&mut self, pause: Option<Duration>) {
        let stage = mem::replace(&mut self.stage, Stage::Ended(None));
        let mut sending = match stage {
            Stage::Sent(_, sending) => Some(sending),
            Stage::Ended(sending) => sending,
            Stage::Waiting(..) | Stage::Promised(..) => None,
        };
        self.second = Second::None;
        self.exchange.record_success(sending.as_deref_mut(), pause);
        self.stage = Stage::Ended(sending);
    }

    /// Waits for the next part of the answer, from whichever server sends one first.
    async fn next_part(&mut self) -> Result<(Part, Option<Duration>), Refusal> {
        loop {
            self.wait_for_server().await?;
            let event = self.next_event().await;
            match event {
                Event::Part(leg, Part::Whole(..), _) if self.has_head => {
                    let failure = Failure::broken("no stream follows the events before");
                    self.handle_failure(leg, failure).await?;
                }
                Event::Part(leg, part, pause) => {
                    self.use_answer_of(leg);
                    self.record_part(&part);
                    self.last_part_at = Instant::now();
                    self.judges_from = None;
                    self.exchange.hedge.note_part(self.last_part_at);
                    return Ok((part, pause));
                }
                Event::Failed(leg, failure) => {
                    if let Some(answer) = self.handle_failure(leg, failure).await? {
                        return Ok((answer, None));
                    }
                }
                Event::PathFailed(Leg::First) => {
                    if let Stage::Sent(_, first) = &mut self.stage {
                        first.is_path_failed = true;
                    }
                    let now = Instant::now();
                    self.exchange.hedge.note_path_failed(now);
                    self.handle_wake(now).await?;
                }
                Event::PathFailed(Leg::Second) => {
                    let mut failure = Failure::silent();
                    failure.blame_path();
                    self.handle_failure(Leg::Second, failure).await?;
                }
                Event::Place(Some(ready)) => self.send_second(ready),
                Event::Place(None) => {
                    self.second = Second::None;
                    self.exchange.hedge.note_no_place(Instant::now());
                    self.count_hedge("no_place");
                }
                Event::Wake(due) => self.handle_wake(due).await?,
            }
        }
    }

    /// Sends the request if it waits for a server.
    async fn wait_for_server(&mut self) -> Result<(), Refusal> {
        let sent = match mem::replace(&mut self.stage, Stage::Ended(None)) {
            Stage::Waiting(pending, held) => self.exchange.send(pending, held).await?,
            Stage::Promised(pending, place) => {
                if let Some(ready) = place.ready.await {
                    if let Err(reason) = self.exchange.check_sendable().await {
                        return Err(pending.refuse(reason));
                    }
                    self.exchange.send_over_second(pending, ready, place.choice)
                } else {
                    let held = self.exchange.node.scheduler.hold(&self.exchange.spec);
                    self.exchange.send(pending, held).await?
                }
            }
            stage => {
                self.stage = stage;
                return Ok(());
            }
        };
        if !self.has_head {
            self.last_part_at = Instant::now();
        }
        self.stage = Stage::Sent(sent.0, Box::new(sent.1));
        Ok(())
    }

    /// Waits until something happens to the request, which was sent.
    async fn next_event(&mut self) -> Event {
        let wake_at = self.wakes_at();
        let Stage::Sent(_, first) = &mut self.stage else {
            unreachable!("a request that has ended is not waited for");
        };
        let second = &mut self.second;
        let path_failed = first.held.path_failed();
        let first = async { event_of(Leg::First, first.next().await) };
        let first_path = async {
            // The sender exists for as long as the request is held.
            let _ = path_failed.recv().await;
            Event::PathFailed(Leg::First)
        };
        let second = async {
            match second {
                Second::None => future::pending().await,
                Second::Sought(place) => Event::Place(place.ready.as_mut().await),
                Second::Sent(second) => {
                    let path_failed = second.held.path_failed();
                    let answer = async { event_of(Leg::Second, second.next().await) };
                    let path = async {
                        let _ = path_failed.recv().await;
                        Event::PathFailed(Leg::Second)
                    };
                    answer.or(path).await
                }
            }
        };
        let timer = async {
            Timer::after(wake_at.saturating_duration_since(Instant::now())).await;
            Event::Wake(wake_at)
        };
        let departure = &self.exchange.node.departure;
        let leaves = async {
            departure.end().await;
            Event::Wake(Instant::now())
        };
        first.or(second).or(first_path).or(timer).or(leaves).await
    }

    /// When a time limit passes: the first server's silence is reported, a second one is sought, or the caller leaves.
    fn wakes_at(&self) -> Instant {
        let second = match &self.second {
            Second::Sent(second) => second.silence_report_at(),
            Second::None | Second::Sought(_) => None,
        };
        let first = self.server().and_then(Sending::silence_report_at);
        let seek_at = self.exchange.hedge.wakes_at();
        let limits = first.into_iter().chain(second).chain(seek_at);
        let wake_at = limits.fold(self.ends_at(), Instant::min);
        self.judges_from.map_or(wake_at, |from| wake_at.max(from))
    }

    /// When the request ends without a whole answer: its caller stops waiting, or this process ends.
    fn ends_at(&self) -> Instant {
        let caller_leaves_at = self.caller_leaves_at();
        let answer_by = self.exchange.node.departure.answer_by();
        answer_by.map_or(caller_leaves_at, |at| at.min(caller_leaves_at))
    }

    /// When the caller stops waiting: the answer is due, or the stream has been silent for too long.
    fn caller_leaves_at(&self) -> Instant {
        let deadline = self.exchange.spec.answer_deadline;
        let silence = self.exchange.contract.silence;
        silence.map_or(deadline, |silence| {
            deadline.min(self.last_part_at + silence)
        })
    }

    /// Does what is due: reports a silence, seeks a second server, or ends the request at the caller's limit.
    ///
    /// A host that stood still first reads what has come meanwhile, before it takes servers for silent.
    async fn handle_wake(&mut self, due: Instant) -> Result<(), Refusal> {
        let now = Instant::now();
        let is_late = now.saturating_duration_since(due) >= STANDSTILL_MIN;
        if is_late && self.judges_from.is_none() {
            self.judges_from = Some(now + CATCH_UP_TIME);
            return Ok(());
        }
        let ends_at = self.ends_at();
        if now >= ends_at {
            return Err(self.end_unanswered().await);
        }
        let Stage::Sent(_, first) = &mut self.stage else {
            return Ok(());
        };
        first.report_silence(now);
        if let Second::Sent(second) = &mut self.second {
            second.report_silence(now);
        }
        if self.exchange.hedge.seek(now) {
            self.seek_second(now, ends_at);
        }
        Ok(())
    }

    /// Records what a part of the answer says of its server.
    fn record_part(&mut self, part: &Part) {
        let Stage::Sent(_, sending) = &self.stage else {
            return;
        };
        if matches!(part, Part::Whole(..) | Part::Begin(..)) {
            self.exchange.trace.record_load(sending.load);
            self.exchange.record_first_token(sending);
        }
    }

    /// Handles the failure of one server's answer. Returns the server's own answer if it is the last word.
    async fn handle_failure(
        &mut self,
        leg: Leg,
        mut failure: Failure,
    ) -> Result<Option<Part>, Refusal> {
        let failed = match (leg, &mut self.stage, &mut self.second) {
            (Leg::First, Stage::Sent(_, first), _) => first,
            (Leg::Second, _, Second::Sent(second)) => second,
            _ => unreachable!("only a server that has the request fails"),
        };
        self.exchange.find_cause(&mut failure, failed).await;
        self.exchange.record_failure(&failure, failed);
        match (
            self.exchange.hedge.note_failure(leg, Instant::now()),
            mem::replace(&mut self.second, Second::None),
        ) {
            (AfterFailure::KeepOther, Second::Sent(mut second)) => {
                self.exchange.log_failure(&failure, None);
                self.count_hedge("one_failed");
                match leg {
                    Leg::First => self.replace_first(second, failure.end),
                    Leg::Second => second.held.end(failure.end),
                }
                Ok(None)
            }
            (AfterFailure::Retry | AfterFailure::KeepOther, second) => self.retry(failure, second),
        }
    }

    /// Lets the request wait for another server after its only one has failed, or ends it.
    fn retry(&mut self, mut failure: Failure, second: Second) -> Result<Option<Part>, Refusal> {
        let until = self.waits_until();
        let Stage::Sent(request, mut first) = mem::replace(&mut self.stage, Stage::Ended(None))
        else {
            unreachable!("only a request that was sent fails");
        };
        if self.has_head {
            self.exchange.keep_version(&first);
        }
        self.exchange.inbound.last_event = first.last_event();
        let error_response = failure.error_response.take().filter(|_| !self.has_head);
        let end = failure.end;
        match (self.exchange.end_attempt(request, failure), error_response) {
            (Ok(pending), _) => {
                self.stage = if let Second::Sought(place) = second {
                    first.held.end(end);
                    Stage::Promised(pending, place)
                } else {
                    self.exchange.offer_again(&mut first.held, end, until);
                    Stage::Waiting(pending, first.held)
                };
                Ok(None)
            }
            (Err(refusal), error_response) => {
                first.held.end(end);
                error_response.map_or(Err(refusal), |error_response| {
                    let (head, body) = *error_response;
                    Ok(Some(Part::Whole(head, body)))
                })
            }
        }
    }

    /// Until when a retry may wait for a server: while the caller of a stream that has begun stays.
    fn waits_until(&self) -> Instant {
        if self.has_head {
            self.ends_at()
        } else {
            self.exchange.spec.answer_deadline
        }
    }

    /// Ends the request at the limit of its caller, or at the end of this process.
    async fn end_unanswered(&mut self) -> Refusal {
        let is_leaving = Instant::now() < self.caller_leaves_at();
        let Stage::Sent(request, mut first) = mem::replace(&mut self.stage, Stage::Ended(None))
        else {
            unreachable!("only a request that was sent is waited for");
        };
        self.second = Second::None;
        let mut failure = Failure::silent();
        let now = Instant::now();
        if is_leaving {
            failure = Failure::of(End::Unused, departure::unfinished());
        } else if first.is_path_failed {
            failure.blame_path();
        } else if first.silence_report_at().is_some_and(|at| now < at) {
            // The caller leaves before the server has been silent for longer than expected.
            failure.end = End::Unused;
        } else {
            self.exchange.find_cause(&mut failure, &mut first).await;
            self.exchange.record_failure(&failure, &first);
        }
        let bound = if is_leaving { "departure" } else { "deadline" };
        self.exchange.log_failure(&failure, Some(bound));
        first.held.finish(failure.end);
        request.fail(failure.reason)
    }
}

fn event_of(leg: Leg, next: Result<(Part, Option<Duration>), Failure>) -> Event {
    match next {
        Ok((part, pause)) => Event::Part(leg, part, pause),
        Err(failure) => Event::Failed(leg, failure),
    }
}
