//! Relays a streamed answer chunk by chunk.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use futures_util::{TryStreamExt as _, stream};
use http_types::headers::{CACHE_CONTROL, CONTENT_TYPE};
use http_types::{Body, Response};

use super::dispatch::backend_reason;
use super::sent::SentRequest;
use crate::coordination::pool::End;
use crate::coordination::silence;
use crate::protocol::refusal::Reason;
use crate::protocol::request::{Dispatched, Request};
use crate::state::clock::Instant;
use crate::transport::departure;
use crate::transport::http::answer::{self, REQUEST_ID};
use crate::transport::http::client::Error;
use crate::transport::runtime::timeout;
use crate::transport::scheduler::HeldRequest;
use crate::transport::trace::{ANSWERED, Trace};

/// Size of a read of a stream, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The event that ends a complete stream.
const LAST_EVENT: &[u8] = b"data: [DONE]";
/// Number of trailing bytes of a stream that are searched for the last event.
const TAIL_BYTES: usize = 32;

/// Time limits of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Longest time without a byte.
    pub(crate) silence: Duration,
    /// Silence before the first chunk from which it is reported to the home.
    pub(crate) suspicious: Duration,
    /// When the whole answer is due.
    pub(crate) deadline: Instant,
}

/// A stream that is being relayed.
struct Relay {
    request: Request<Dispatched>,
    response: Response,
    sent: SentRequest,
    /// Taken when the stream ends.
    held: Option<HeldRequest>,
    trace: Trace,
    limits: Limits,
    /// When the last chunk arrived; `None` before the first.
    last_chunk_at: Option<Instant>,
    /// Longest pause between two chunks, silences left out.
    longest_pause: Duration,
    tail: Vec<u8>,
}

/// Builds the response that relays the stream in `response`.
pub(crate) fn stream(
    request: Request<Dispatched>,
    response: Response,
    held: HeldRequest,
    trace: Trace,
    limits: Limits,
    sent: SentRequest,
) -> Response {
    let mut answer = answer::with_body(200, Vec::new());
    answer.insert_header(CONTENT_TYPE, "text/event-stream");
    answer.insert_header(CACHE_CONTROL, "no-cache");
    answer.insert_header(REQUEST_ID, &request.id);
    let relay = Relay {
        request,
        response,
        sent,
        held: Some(held),
        trace,
        limits,
        last_chunk_at: None,
        longest_pause: Duration::ZERO,
        tail: Vec::new(),
    };
    let chunks = stream::unfold(relay, |relay| async {
        let (chunk, relay) = relay.next().await?;
        Some((Ok::<_, io::Error>(chunk), relay))
    });
    let reader = Box::pin(chunks).into_async_read();
    answer.set_body(Body::from_reader(reader, None));
    answer.insert_header(CONTENT_TYPE, "text/event-stream");
    answer
}

impl Relay {
    /// Returns the next chunk, or an error event if the stream failed; `None` at the end.
    async fn next(mut self) -> Option<(Vec<u8>, Self)> {
        self.held.as_ref()?;
        let departure = &Arc::clone(&self.sent.node).departure;
        let Some(chunk) = departure.before_end(self.read_chunk()).await else {
            let reason = departure::unfinished();
            self.held.take()?.finish(End::Unused);
            self.trace.record_outcome(reason.code.text());
            return Some((self.error_event(reason), self));
        };
        match chunk {
            Ok(Some(chunk)) => {
                self.record_chunk(&chunk);
                Some((chunk, self))
            }
            Ok(None) => {
                if let Some(held) = self.held.take() {
                    held.finish(End::Whole);
                }
                self.trace.record_outcome(ANSWERED);
                let took = self.request.state.at.elapsed();
                departure.note_answer(&self.trace.service, took);
                self.sent.record_success();
                None
            }
            Err(error) => {
                let reason = backend_reason(&error);
                if let Some(held) = self.held.take() {
                    self.sent.end_failed(held, &error);
                }
                self.trace.record_outcome(reason.code.text());
                Some((self.error_event(reason), self))
            }
        }
    }

    /// Reads a chunk; `None` at the end of a complete stream.
    async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let address = self.sent.target.address();
        let left = self
            .limits
            .deadline
            .saturating_duration_since(Instant::now());
        let mut chunk = vec![0; READ_BYTES];
        let suspicious = self.suspicious();
        let limit = self.limits.silence.min(left);
        let response = &mut self.response;
        let read = async {
            let read = timeout(limit, response.read(&mut chunk)).await;
            read.ok_or(Error::Silent { address })?
                .map_err(|error| Error::Broken {
                    address,
                    cause: error.to_string(),
                })
        };
        let count = match &self.held {
            Some(held) => held.listen(suspicious, read).await?,
            None => read.await?,
        };
        chunk.truncate(count);
        if count > 0 {
            return Ok(Some(chunk));
        }
        if self.tail.trim_ascii_end().ends_with(LAST_EVENT) {
            return Ok(None);
        }
        Err(Error::Broken {
            address,
            cause: "the stream has no last event".to_owned(),
        })
    }

    /// Silence after which the home is told.
    fn suspicious(&self) -> Duration {
        match self.last_chunk_at {
            None => self.limits.suspicious,
            Some(_) => silence::suspicious_pause(self.longest_pause, Duration::ZERO),
        }
    }

    /// Records the timing and events of a chunk, and keeps the last bytes of the stream.
    fn record_chunk(&mut self, chunk: &[u8]) {
        let now = Instant::now();
        let suspicious = self.suspicious();
        let times = &self.trace.times;
        match self.last_chunk_at {
            None => {
                let since = now.saturating_duration_since(self.trace.arrived);
                times.first_token.observe(since.as_secs_f64());
                if let Some(held) = &mut self.held {
                    held.report_first_token();
                }
            }
            Some(last) => {
                let since = now.saturating_duration_since(last);
                times.between_tokens.observe(since.as_secs_f64());
                if since < suspicious {
                    self.longest_pause = self.longest_pause.max(since);
                }
            }
        }
        self.last_chunk_at = Some(now);
        let events = memchr::memmem::find_iter(chunk, EVENT_END).count();
        self.trace.count_tokens(events as u64);
        self.tail
            .extend_from_slice(&chunk[chunk.len().saturating_sub(TAIL_BYTES)..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// Builds the event that tells the caller that the answer is incomplete.
    fn error_event(&self, reason: Reason) -> Vec<u8> {
        let body = self.request.fail(reason).body();
        let body = serde_json::to_string(&body).expect("plain values have a JSON form");
        format!("\n\ndata: {body}\n\n").into_bytes()
    }
}
