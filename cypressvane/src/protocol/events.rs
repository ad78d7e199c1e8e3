//! Server-sent events, cut into whole ones.
//!
//! A server may stop in the middle of an event, so only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";
/// The field with an event's number.
const ID: &[u8] = b"id:";

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, where it has one.
    pub id: Option<u64>,
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Cutter {
    pending: BytesMut,
}

impl Cutter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = memchr::memmem::find(&self.pending, END)? + END.len();
        let bytes = self.pending.split_to(end).freeze();
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Bytes that are no whole event yet.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.pending.len()
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
