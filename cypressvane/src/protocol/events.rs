//! Splits a stream of server-sent events into complete events.
//!
//! A server may stop in the middle of an event, so only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const TERMINATOR: &[u8] = b"\n\n";
/// Field name of the event number.
const ID_FIELD: &[u8] = b"id:";

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event number, if the event has one.
    pub id: Option<u64>,
    /// Bytes of the event, including the empty line that terminates it.
    pub bytes: Bytes,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = memchr::memmem::find(&self.pending, TERMINATOR)? + TERMINATOR.len();
        let bytes = self.pending.split_to(end).freeze();
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Returns the number of bytes received since the last event that was returned.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}

/// Returns the number of an event; `None` if it has none or it is not a number.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
