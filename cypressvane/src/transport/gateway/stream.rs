//! A server's stream of events.

use bytes::{Bytes, BytesMut};
use http::response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::failure::Failure;
use crate::protocol::events::Splitter;
use crate::transport::backend::{self, Answer, EndedAfterHead};

/// Longest event that is read, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// A server's stream of events.
pub(super) struct Stream {
    answer: Answer,
    splitter: Splitter,
    /// The last event that was read.
    last_event: Option<u64>,
    /// Whether the server may have stopped after the head, as nothing has been read since.
    may_have_no_body: bool,
}

impl Stream {
    /// Splits an answer into its head and the stream in its body; `after` is the last event that the caller has.
    pub(super) fn of(answer: Answer, after: Option<u64>) -> (response::Parts, Self) {
        let (head, body) = answer.response.into_parts();
        let may_have_no_body = backend::may_have_no_body(&head, &body);
        let stream = Self {
            may_have_no_body,
            answer: Answer {
                response: http::Response::new(body),
                driver: answer.driver,
                meter: answer.meter,
            },
            splitter: Splitter::default(),
            last_event: after,
        };
        (head, stream)
    }

    /// The last event that was read.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the next events that the caller does not have; `None` at the end of a whole stream.
    ///
    /// Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let body: &mut Incoming = self.answer.response.body_mut();
            match body.frame().await {
                Some(Ok(frame)) => {
                    self.answer.meter.note_use();
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.may_have_no_body &= data.is_empty();
                    self.splitter.push(&data);
                    let events = self.take_events();
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                    if self.splitter.pending_len() > EVENT_BYTES_MAX {
                        return Err(Failure::broken("an event is too long"));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(error)),
                None if self.splitter.pending_len() > 0 => {
                    return Err(Failure::broken("the last event is not whole"));
                }
                None if self.may_have_no_body => {
                    return Err(Failure::broken(EndedAfterHead));
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
