//! The events of a stream, passed on as they come, over one server or more.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};

use super::exchange::{Exchange, Success};
use super::failure::Failure;
use super::respond::Body;
use crate::protocol::events::Cutter;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Dispatched, Request};
use crate::state::clock::Instant;
use crate::transport::backend::Answer;
use crate::transport::runtime::within;

/// Longest pauses of the route after which a stream is taken from a silent server; a caller gives a
/// stream up after eight.
const SILENT_GAPS: u32 = 4;

/// Least pauses of a stream whose mean tells of its server.
const PAUSES_MIN: u32 = 3;

/// A server's stream, read up to its next events.
pub(super) struct Stream {
    answer: Answer,
    cutter: Cutter,
    /// Events that were read and not yet passed on.
    ready: Bytes,
    /// The last event that was read.
    last_event: Option<u64>,
}

impl Stream {
    /// Reads the head and the first events of an answer; `after` is the last event that is known.
    pub(super) async fn begin(
        answer: Answer,
        after: Option<u64>,
    ) -> Result<(response::Parts, Self), Failure> {
        let (head, body) = answer.response.into_parts();
        let answer = Answer {
            response: http::Response::new(body),
            driver: answer.driver,
        };
        let mut stream = Self {
            answer,
            cutter: Cutter::default(),
            ready: Bytes::new(),
            last_event: after,
        };
        stream.ready = stream.read().await?.unwrap_or_default();
        Ok((head, stream))
    }

    /// The next events that the caller does not have; `None` at the end of a whole stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        if !self.ready.is_empty() {
            return Ok(Some(std::mem::take(&mut self.ready)));
        }
        self.read().await
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let body: &mut Incoming = self.answer.response.body_mut();
            match body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.cutter.push(&data);
                    let events = self.take_events();
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(error)),
                None if self.cutter.rest() > 0 => {
                    return Err(Failure::broken("the last event is not whole"));
                }
                None => return Ok(None),
            }
        }
    }

    /// All whole events that were read and that the caller does not have.
    fn take_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        while let Some(event) = self.cutter.next_event() {
            let is_known = event.id.is_some() && event.id <= self.last_event;
            if is_known {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            events.extend_from_slice(&event.bytes);
        }
        events.freeze()
    }
}

/// A server's stream with the request that it answers.
struct Running {
    request: Request<Dispatched>,
    stream: Stream,
}

/// A stream under way to its caller.
struct Relay {
    exchange: Exchange,
    /// What is under way; taken when the stream ends.
    running: Option<Running>,
    /// When the last events came; `None` before the first.
    last: Option<Instant>,
    pauses: Pauses,
}

/// Pauses between the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
struct Pauses {
    count: u32,
    sum: Duration,
}

impl Pauses {
    fn add(&mut self, pause: Duration) {
        self.count += 1;
        self.sum += pause;
    }

    /// Their mean; `None` where they are too few to tell of the server.
    fn mean(self) -> Option<Duration> {
        (self.count >= PAUSES_MIN).then(|| self.sum / self.count)
    }
}

/// The body that passes a stream on.
pub(super) fn body(exchange: Exchange, request: Request<Dispatched>, stream: Stream) -> Body {
    let relay = Relay {
        exchange,
        running: Some(Running { request, stream }),
        last: None,
        pauses: Pauses::default(),
    };
    let frames = stream::unfold(relay, |mut relay| async {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Relay {
    /// The next events, the error that breaks the answer off, or `None` at its end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let mut running = self.running.take()?;
            let failure = match within(self.patience(), running.stream.next()).await {
                Some(Ok(Some(events))) => {
                    self.note();
                    self.running = Some(running);
                    return Some(Ok(events));
                }
                Some(Ok(None)) => {
                    let pause = self.pauses.mean();
                    self.exchange.answered(pause);
                    return None;
                }
                Some(Err(failure)) => failure,
                None => Failure::silent(),
            };
            match self.resume(running, failure).await {
                Ok(resumed) => self.running = Some(resumed),
                Err(reason) => {
                    self.exchange.trace.fail(&reason);
                    return Some(Err(io::Error::other(reason.message)));
                }
            }
        }
    }

    /// How long the server may send nothing.
    fn patience(&self) -> Duration {
        let left = self.exchange.left_in_silence();
        if self.exchange.contract.method.may_repeat() && !self.exchange.contract.gap.is_zero() {
            return left.min(self.exchange.contract.gap * SILENT_GAPS);
        }
        left
    }

    /// Goes on with another server after the last event that the caller has.
    async fn resume(&mut self, running: Running, mut failure: Failure) -> Result<Running, Reason> {
        let Running { request, stream } = running;
        let exchange = &mut self.exchange;
        exchange.message.last_event = stream.last_event;
        // Closes the connection, so that the server before is not at work any more.
        drop(stream);
        exchange.examine(&mut failure).await;
        exchange.saw_failure(&failure);
        let turn = exchange.turn_back(request, failure);
        let turn = turn.map_err(|last| last.refusal.reason)?;
        match exchange.obtain(turn).await {
            Ok((request, Success::Stream(_, stream))) => Ok(Running { request, stream }),
            Ok((_, Success::Whole(head, _))) => {
                let message = format!("the stream could not be resumed: {}", head.status);
                Err(Reason::new(Code::BackendFailed, message))
            }
            Err(refusal) => Err(refusal.reason),
        }
    }

    fn note(&mut self) {
        let now = Instant::now();
        match self.last {
            None => {
                self.exchange.trace.first_token();
                self.exchange.place.first_token();
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                self.exchange.trace.gap(pause);
                self.exchange.place.pause(pause);
                self.pauses.add(pause);
            }
        }
        self.last = Some(now);
    }
}
