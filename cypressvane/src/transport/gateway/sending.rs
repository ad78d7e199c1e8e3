//! A request that was sent to a backend server, and what has come of its answer.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request as HttpRequest, response};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;

use super::exchange::Ready;
use super::failure::Failure;
use super::stream::Stream;
use crate::coordination::pool::End;
use crate::coordination::silence;
use crate::protocol::headers::{AnswerMeta, Load};
use crate::protocol::refusal::{Code, Ran, Reason};
use crate::protocol::request::NotRun;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::backend::{self, Answer, EndedAfterHead};
use crate::transport::memory::{Intake, IntakeError, Memory, Piecewise};
use crate::transport::network::Target;
use crate::transport::node::Node;
use crate::transport::rollout::Choice;
use crate::transport::scheduler::{Grant, HeldRequest};

/// What the answer to a request must be.
pub(super) struct Expected {
    /// The caller's id of the request, if it gave one.
    pub(super) caller_id: Option<String>,
    pub(super) is_stream: bool,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Longest pause between two events that is on time; zero if there is no bound.
    pub(super) gap: Duration,
}

/// A part of an answer.
pub(super) enum Part {
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// The head of a stream and its first events.
    Begin(response::Parts, Bytes),
    /// Further events of a stream.
    Events(Bytes),
    /// The end of a whole stream.
    End,
}

/// How far the answer has been read.
enum Reading {
    Head(Pin<Box<dyn Future<Output = Result<Answer, backend::Error>> + Send>>),
    Body(Pin<Box<dyn Future<Output = Result<Part, Failure>> + Send>>),
    Stream {
        /// The head, until the first events were read.
        head: Option<Box<response::Parts>>,
        stream: Box<Stream>,
    },
}

/// A request at a backend server; dropping it closes the connection and returns the grant.
pub(super) struct Sending {
    node: Arc<Node>,
    expected: Expected,
    pub(super) held: HeldRequest,
    pub(super) grant: Grant,
    pub(super) target: Target,
    /// The host that passed the request on; `None` if it went directly.
    pub(super) through: Option<Name>,
    /// The versions selected for the request when it was sent.
    pub(super) choice: Choice,
    pub(super) at: Instant,
    /// The server's load when it answered, if the server stated it.
    pub(super) load: Option<Load>,
    connected_at: Instant,
    reading: Reading,
    /// When the server last sent something, or the request was sent.
    heard_at: Instant,
    /// Whether the home was told of the present silence.
    is_silence_reported: bool,
    /// Whether the home was told of any silence.
    has_been_silent: bool,
    /// Whether others hear the server, so that the path to it has failed.
    pub(super) is_path_failed: bool,
    /// Longest pause between two events, silences left out.
    longest_pause: Duration,
}

impl Sending {
    /// Sends a request over a connection on which nothing has been sent.
    pub(super) fn begin(
        node: &Arc<Node>,
        ready: Ready,
        request: HttpRequest<Piecewise>,
        choice: Choice,
        expected: Expected,
    ) -> Self {
        let now = Instant::now();
        Self {
            node: Arc::clone(node),
            expected,
            held: ready.held,
            grant: ready.grant,
            target: ready.target,
            through: ready.through,
            choice,
            at: now,
            load: None,
            connected_at: ready.connected_at,
            reading: Reading::Head(Box::pin(ready.connection.send(request))),
            heard_at: now,
            is_silence_reported: false,
            has_been_silent: false,
            is_path_failed: false,
            longest_pause: Duration::ZERO,
        }
    }

    /// The last event that the caller would have after what was read.
    pub(super) fn last_event(&self) -> Option<u64> {
        match &self.reading {
            Reading::Stream { stream, .. } => stream.last_event(),
            Reading::Head(_) | Reading::Body(_) => self.expected.last_event,
        }
    }

    /// Whether the home was told of a silence of the server, so that the times of this answer need not show its speed.
    pub(super) fn has_been_silent(&self) -> bool {
        self.has_been_silent
    }

    /// How long the server has been silent.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// When a silence is to be reported to the home; `None` if the present one was.
    pub(super) fn silence_report_at(&self) -> Option<Instant> {
        let suspicious = match &self.reading {
            Reading::Stream { head: None, .. } => {
                silence::suspicious_pause(self.longest_pause, self.expected.gap)
            }
            Reading::Head(_) | Reading::Stream { .. } => {
                silence::suspicious_after(self.grant.first_token)
            }
            // The parts of a body are not seen one by one.
            Reading::Body(_) => return None,
        };
        (!self.is_silence_reported).then(|| self.heard_at + suspicious)
    }

    /// Reports a silence to the home if it is due.
    pub(super) fn report_silence(&mut self, now: Instant) {
        if self.silence_report_at().is_some_and(|at| at <= now) {
            self.is_silence_reported = true;
            self.has_been_silent = true;
            self.held.report_silence(self.silence(now));
        }
    }

    /// Records that the server has sent something. Returns the time since it had sent something before, unless that was a
    /// silence.
    fn note_heard(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.heard_at);
        self.heard_at = now;
        if std::mem::take(&mut self.is_silence_reported) {
            self.held.report_voice();
            return None;
        }
        Some(pause)
    }

    /// Returns the next part of the answer, and the pause before it if it is not the first one and no silence.
    ///
    /// Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Result<(Part, Option<Duration>), Failure> {
        loop {
            match &mut self.reading {
                Reading::Head(answer) => {
                    let answer = answer.await.map_err(Failure::broken)?;
                    self.note_heard();
                    self.accept(answer)?;
                }
                Reading::Body(whole) => return Ok((whole.await?, None)),
                Reading::Stream { head, stream } => {
                    let events = stream.next().await?;
                    let head = head.take().map(|head| *head);
                    let pause = self.note_heard();
                    return Ok(self.part(head, events, pause));
                }
            }
        }
    }

    /// Makes a part of the events of a stream; `head` is given with the first ones.
    fn part(
        &mut self,
        head: Option<response::Parts>,
        events: Option<Bytes>,
        pause: Option<Duration>,
    ) -> (Part, Option<Duration>) {
        match (head, events) {
            (Some(head), events) => {
                self.held.report_first_token();
                (Part::Begin(head, events.unwrap_or_default()), None)
            }
            (None, Some(events)) => {
                if let Some(pause) = pause {
                    self.longest_pause = self.longest_pause.max(pause);
                    self.held.note_pause(pause);
                }
                (Part::Events(events), pause)
            }
            (None, None) => (Part::End, None),
        }
    }

    /// Checks the head of an answer, records what it states, and goes on with its body.
    fn accept(&mut self, answer: Answer) -> Result<(), Failure> {
        if self.through.is_none() {
            let network = &self.node.network;
            network.note_reached(self.target.address(), self.connected_at);
        }
        let status = answer.response.status();
        let reply = self
            .node
            .dialect
            .read_answer(status, answer.response.headers());
        self.load = reply.load;
        if reply.is_from_intended_server(self.expected.caller_id.as_deref()) {
            if reply.is_load_malformed {
                let scheduler = &self.node.scheduler;
                scheduler.note_malformed_load(&self.grant.server, &self.node.metrics);
            }
            self.held.note_pace(reply.load.and_then(|load| load.pace));
            self.held.report_notice(&reply.notice, &self.node.metrics);
        }
        self.check_head(&answer, &reply)?;
        self.reading = if self.expected.is_stream && status.is_success() {
            let (head, stream) = Stream::of(answer, self.expected.last_event);
            Reading::Stream {
                head: Some(Box::new(head)),
                stream: Box::new(stream),
            }
        } else {
            // A stream's load is as old as the stream when it ends.
            if let Some(load) = self.load {
                self.held.note_occupancy(load.occupancy());
            }
            let bytes_max = self.node.config.limits.answer_bytes;
            let bytes_max = usize::try_from(bytes_max).unwrap_or(usize::MAX);
            let memory = self.node.memory.clone();
            Reading::Body(Box::pin(read_body(answer, memory, bytes_max)))
        };
        Ok(())
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
        if !reply.is_answer_to(self.expected.caller_id.as_deref()) {
            let reason = Reason::new(Code::AnswerMismatch, "the answer is another request's");
            return Err(Failure::of(End::Broken, reason));
        }
        if status.is_success() && !reply.has_mark {
            let reason = Reason::new(Code::BackendFailed, "a success without its mark");
            return Err(Failure::of(End::Broken, reason));
        }
        Ok(())
    }
}

/// Reads a whole answer. One with the status of a server's error is a failure, and so is one whose status says that the
/// request has not run. If the answer may have to give up its room while it is written, its head has the `Eviction`.
async fn read_body(answer: Answer, memory: Memory, bytes_max: usize) -> Result<Part, Failure> {
    let (mut head, body) = answer.response.into_parts();
    let intake = Intake::of_answer(&memory, body.size_hint().exact(), bytes_max);
    let intake = intake.map_err(|error| match error {
        // None of a body that is known to be too long is of use, and its server is sound.
        IntakeError::TooLong(most) => Failure::of(
            End::Unused,
            Reason::new(Code::BackendFailed, too_long(most)),
        ),
        error => unread(error),
    })?;
    // Kept until the body was read, since the connection ends when it is dropped.
    let _driver = answer.driver;
    let meter = answer.meter;
    let may_have_no_body = backend::may_have_no_body(&head, &body);
    let body = body.map_frame(|frame| {
        meter.note_use();
        frame
    });
    let intake = intake.collect(body).await.map_err(unread)?;
    let (body, eviction) = intake.finish_answer();
    if let Some(eviction) = eviction {
        head.extensions.insert(eviction);
    }
    if may_have_no_body && body.is_empty() {
        return Err(Failure::broken(EndedAfterHead));
    }
    let status = head.status;
    // The server has not stated that it did not run the request.
    let is_truthful = Ran::Unknown.allows(status.as_u16());
    if status.is_server_error() || !is_truthful {
        let message = format!("the backend server answered {status}");
        let reason = Reason::new(Code::BackendFailed, message);
        return Err(Failure {
            error_response: is_truthful.then(|| Box::new((head, body))),
            ..Failure::of(End::Broken, reason)
        });
    }
    Ok(Part::Whole(head, body))
}

/// The failure of an answer that was not read to its end. One without an end counts as broken off.
fn unread(error: IntakeError) -> Failure {
    match error {
        IntakeError::Full(_) => Failure::without_memory(),
        IntakeError::TooLong(most) => Failure::broken(too_long(most)),
        IntakeError::Broken(error) => Failure::broken(error),
    }
}

fn too_long(bytes_max: usize) -> String {
    format!("the backend server's answer is longer than {bytes_max} bytes")
}
