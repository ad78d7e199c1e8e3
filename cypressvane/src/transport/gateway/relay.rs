//! Relays the events of a stream, resuming it at another server if one fails.

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
use crate::protocol::events::Splitter;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Dispatched, Request};
use crate::state::clock::Instant;
use crate::transport::backend::Answer;
use crate::transport::runtime::timeout;
use crate::transport::streams::Relayed;

/// Multiple of the route's longest pause after which a stream is taken from a silent server. Callers abandon a stream
/// after eight such pauses.
const SILENT_GAPS: u32 = 4;

/// Fewest pauses of a stream whose mean is representative of its server.
const PAUSES_MIN: u32 = 3;

/// A server's stream of events.
pub(super) struct Stream {
    answer: Answer,
    splitter: Splitter,
    /// Events that were read but not relayed yet.
    buffered: Bytes,
    /// The last event that was read.
    last_event: Option<u64>,
}

impl Stream {
    /// Reads the first events of an answer; `after` is the last event that the caller has.
    ///
    /// Returns the answer's head with the stream.
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
            splitter: Splitter::default(),
            buffered: Bytes::new(),
            last_event: after,
        };
        stream.buffered = stream.read_events().await?.unwrap_or_default();
        Ok((head, stream))
    }

    /// Returns the next events that the caller does not have; `None` at the end of a whole stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        self.read_events().await
    }

    async fn read_events(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let body: &mut Incoming = self.answer.response.body_mut();
            match body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.splitter.push(&data);
                    let events = self.take_events();
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(error)),
                None if self.splitter.pending_len() > 0 => {
                    return Err(Failure::broken("the last event is not whole"));
                }
                None => return Ok(None),
            }
        }
    }

    /// Takes all whole events that were read, without those that the caller has.
    fn take_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let is_delivered = event.id.is_some() && event.id <= self.last_event;
            if is_delivered {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            events.extend_from_slice(&event.bytes);
        }
        events.freeze()
    }
}

/// A server's stream with the request that it answers.
struct Upstream {
    request: Request<Dispatched>,
    stream: Stream,
}

/// A stream that is being relayed to its caller.
struct Relay {
    exchange: Exchange,
    /// The server's stream; `None` once the relay has ended.
    upstream: Option<Upstream>,
    /// When the last events arrived; `None` before the first.
    last_events_at: Option<Instant>,
    pauses: Pauses,
    /// What is told of the stream; `None` if the caller does not name the stream with which the request goes on.
    relayed: Option<Relayed>,
}

/// Number and sum of the pauses between the events of a stream.
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

    /// The mean pause; `None` for fewer than `PAUSES_MIN` pauses.
    fn mean(self) -> Option<Duration> {
        (self.count >= PAUSES_MIN).then(|| self.sum / self.count)
    }
}

/// Builds the response body that relays a stream.
pub(super) fn body(exchange: Exchange, request: Request<Dispatched>, stream: Stream) -> Body {
    let (streams, service) = (&exchange.node.streams, &exchange.spec.service);
    let relayed = exchange
        .inbound
        .stream
        .map(|id| Relayed::open(streams, service, id));
    let relay = Relay {
        relayed,
        exchange,
        upstream: Some(Upstream { request, stream }),
        last_events_at: None,
        pauses: Pauses::default(),
    };
    let frames = stream::unfold(relay, |mut relay| async {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Relay {
    /// Returns the next events, the error that breaks the answer off, or `None` at its end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let mut upstream = self.upstream.take()?;
            let failure = match timeout(self.silence_timeout(), upstream.stream.next()).await {
                Some(Ok(Some(events))) => {
                    self.record_events();
                    self.upstream = Some(upstream);
                    return Some(Ok(events));
                }
                Some(Ok(None)) => {
                    let pause = self.pauses.mean();
                    self.exchange.record_success(pause);
                    if let Some(relayed) = &mut self.relayed {
                        relayed.note_end();
                    }
                    return None;
                }
                Some(Err(failure)) => failure,
                None => Failure::silent(),
            };
            match self.resume(upstream, failure).await {
                Ok(resumed) => self.upstream = Some(resumed),
                Err(reason) => {
                    self.exchange.trace.record_failure(&reason);
                    return Some(Err(io::Error::other(reason.message)));
                }
            }
        }
    }

    /// Time that the server may stay silent before the stream is resumed elsewhere or fails.
    fn silence_timeout(&self) -> Duration {
        let left = self.exchange.silence_left();
        if self.exchange.contract.method.may_retry() && !self.exchange.contract.gap.is_zero() {
            return left.min(self.exchange.contract.gap * SILENT_GAPS);
        }
        left
    }

    /// Resumes the stream at another server after the last event that the caller has.
    async fn resume(
        &mut self,
        upstream: Upstream,
        mut failure: Failure,
    ) -> Result<Upstream, Reason> {
        let Upstream { request, stream } = upstream;
        let exchange = &mut self.exchange;
        if self.last_events_at.is_some() {
            exchange.keep_version();
        }
        exchange.inbound.last_event = stream.last_event;
        // This closes the connection, so that the failed server stops working on the request.
        drop(stream);
        exchange.find_cause(&mut failure).await;
        exchange.record_failure(&failure);
        let pending = exchange.retry_or_fail(request, failure);
        let pending = pending.map_err(|failed| failed.refusal.reason)?;
        match exchange.send_until_accepted(pending).await {
            Ok((request, Success::Stream(_, stream))) => Ok(Upstream { request, stream }),
            Ok((_, Success::Buffered(head, _))) => {
                let message = format!("the stream could not be resumed: {}", head.status);
                Err(Reason::new(Code::BackendFailed, message))
            }
            Err(refusal) => Err(refusal.reason),
        }
    }

    fn record_events(&mut self) {
        let now = Instant::now();
        if let (Some(relayed), Some(attempt)) = (&mut self.relayed, &self.exchange.last_attempt) {
            relayed.note_events(&attempt.version);
        }
        match self.last_events_at {
            None => {
                self.exchange.trace.record_first_token();
                self.exchange.held.report_first_token();
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                self.exchange.trace.record_gap(pause);
                self.exchange.held.note_pause(pause);
                self.pauses.add(pause);
            }
        }
        self.last_events_at = Some(now);
    }
}
