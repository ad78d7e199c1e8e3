//! Relays the events of a stream, from one server or several, to the caller.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;

use super::flight::Flight;
use super::respond::Body;
use crate::state::clock::Instant;

/// Fewest pauses of a stream whose mean is representative of its server.
const PAUSES_MIN: u32 = 3;

/// A stream that is being relayed to its caller.
struct Relay {
    flight: Flight,
    has_ended: bool,
    /// When the last events arrived; `None` before the first.
    last_events_at: Option<Instant>,
    pauses: Pauses,
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

/// Builds the response body that relays a stream whose head the caller gets.
pub(super) fn body(flight: Flight) -> Body {
    let relay = Relay {
        flight,
        has_ended: false,
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
        if self.has_ended {
            return None;
        }
        match self.flight.next_events().await {
            Ok(Some(events)) => {
                self.record_events(events.pause);
                Some(Ok(events.bytes))
            }
            Ok(None) => {
                self.has_ended = true;
                self.flight.record_success(self.pauses.mean());
                if let Some(relayed) = &mut self.flight.exchange.relayed {
                    relayed.note_end();
                }
                None
            }
            Err(refusal) => {
                self.has_ended = true;
                let reason = refusal.reason;
                self.flight.exchange.trace.record_failure(&reason);
                Some(Err(io::Error::other(reason.message)))
            }
        }
    }

    /// Records events that are passed on, and the pause of their server before them.
    fn record_events(&mut self, pause: Option<Duration>) {
        let now = Instant::now();
        let version = self
            .flight
            .server()
            .map(|sending| sending.grant.version.clone());
        if let (Some(relayed), Some(version)) = (&mut self.flight.exchange.relayed, version) {
            relayed.note_events(&version);
        }
        let trace = &mut self.flight.exchange.trace;
        match self.last_events_at {
            None => trace.record_first_token(),
            Some(last) => trace.record_gap(now.saturating_duration_since(last)),
        }
        if let Some(pause) = pause {
            self.pauses.add(pause);
        }
        self.last_events_at = Some(now);
    }
}
