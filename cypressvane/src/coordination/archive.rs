//! The rows of the table service in which the versions of streams outlive the hosts that remember them.
//!
//! Each group of streams has a ring of rows, which one host writes: the streams of the last moments go to the next row
//! as a segment, and overwrite the oldest one. Nothing is ever removed, so the rows of a group are bounded.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use super::origin::{ID_BYTES, Id, RECORDS_MAX, Version};
use crate::state::clock::Instant;

/// Number of rows of a group. With a segment a second, they hold more than four minutes.
const SLOTS: u64 = 256;
/// Most streams in a segment, so that its row stays well under the 64 KiB that a row may hold.
const SEGMENT_STREAMS_MAX: usize = 1_024;
/// A segment with so many streams is full. Before that, its row is written again with each further one, so that small
/// segments do not use up the rows.
const SEGMENT_STREAMS: usize = 64;
/// Time after which a segment is full with fewer streams.
const SEGMENT_TIME: Duration = Duration::from_secs(1);

/// Why a row does not hold a segment.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is no segment.
    #[error("the segment does not parse: {0}")]
    Json(#[from] serde_json::Error),
    /// The ids are not in base64.
    #[error("the ids of the segment do not parse: {0}")]
    Base64(#[from] base64::DecodeError),
    /// There are bytes left that are no id.
    #[error("the ids of the segment have {0} bytes, which is no multiple of {ID_BYTES}")]
    Length(usize),
}

/// The streams that one version began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Batch {
    version: Version,
    /// The streams' ids one after the other, in base64.
    ids: String,
}

/// The streams of a group that were recorded in one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Number of the segment; increases with each one of the group.
    sequence: u64,
    batches: Vec<Batch>,
}

impl Segment {
    fn new(sequence: u64, streams: &[(Id, Version)]) -> Self {
        let mut ids: BTreeMap<&Version, Vec<u8>> = BTreeMap::new();
        for (id, version) in streams {
            ids.entry(version).or_default().extend(id.as_bytes());
        }
        let batches = ids.into_iter().map(|(version, ids)| Batch {
            version: version.clone(),
            ids: STANDARD_NO_PAD.encode(ids),
        });
        Self {
            sequence,
            batches: batches.collect(),
        }
    }

    /// Reads a row's value.
    ///
    /// # Errors
    /// When it is no segment.
    pub(crate) fn parse(value: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(value)?)
    }

    /// Returns the row's value.
    pub(crate) fn value(&self) -> String {
        serde_json::to_string(self).expect("numbers and texts can be written as JSON")
    }

    /// Number of the segment's row within its group.
    pub(crate) fn slot(&self) -> u64 {
        self.sequence % SLOTS
    }

    /// Returns the streams and their versions.
    ///
    /// # Errors
    /// When the ids are malformed.
    pub(crate) fn streams(&self) -> Result<Vec<(Id, Version)>, Error> {
        let mut streams = Vec::new();
        for batch in &self.batches {
            let bytes = STANDARD_NO_PAD.decode(&batch.ids)?;
            let (ids, rest) = bytes.as_chunks::<ID_BYTES>();
            if !rest.is_empty() {
                return Err(Error::Length(bytes.len()));
            }
            streams.extend(
                ids.iter()
                    .map(|id| (Id::from_bytes(*id), batch.version.clone())),
            );
        }
        Ok(streams)
    }
}

/// The segment of a group that is being filled.
#[derive(Clone, Debug)]
struct Open {
    sequence: u64,
    opened: Instant,
    streams: Vec<(Id, Version)>,
}

impl Open {
    /// Whether the next streams go to another segment.
    fn is_full(&self, now: Instant) -> bool {
        self.streams.len() >= SEGMENT_STREAMS
            || now.saturating_duration_since(self.opened) >= SEGMENT_TIME
    }
}

/// The streams of a group that are to be written.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Number of the next segment; `None` before the rows have been read.
    next: Option<u64>,
    /// The segment whose row is written again with the next streams.
    open: Option<Open>,
    unsaved: VecDeque<(Id, Version)>,
}

impl Group {
    /// Adds a stream. If there are too many, the oldest ones are left out.
    pub(crate) fn note(&mut self, id: Id, version: &Version) {
        if self.unsaved.len() >= RECORDS_MAX {
            self.unsaved.pop_front();
        }
        self.unsaved.push_back((id, version.clone()));
    }

    /// Continues after the segments in the group's rows.
    pub(crate) fn continue_after(&mut self, segments: &[Segment]) {
        let newest = segments.iter().map(|segment| segment.sequence).max();
        let after = newest.map_or(0, |newest| newest.saturating_add(1));
        self.next = Some(self.next.unwrap_or(0).max(after));
    }

    /// Notes that another host may have written segments since the rows were read.
    pub(crate) fn suspend(&mut self) {
        self.next = None;
        self.open = None;
    }

    /// Whether the rows have been read, so that the next segment has a number.
    pub(crate) fn is_read(&self) -> bool {
        self.next.is_some()
    }

    /// Number of streams that are to be written.
    pub(crate) fn unsaved(&self) -> usize {
        self.unsaved.len()
    }

    /// Adds the unsaved streams to a segment, and returns it; `None` if there are none, or before the rows have been read.
    pub(crate) fn take_segment(&mut self, now: Instant) -> Option<Segment> {
        if self.unsaved.is_empty() {
            return None;
        }
        let next = self.next.as_mut()?;
        let open = self.open.take().filter(|open| !open.is_full(now));
        let mut open = open.unwrap_or_else(|| {
            let sequence = *next;
            *next = next.saturating_add(1);
            Open {
                sequence,
                opened: now,
                streams: Vec::new(),
            }
        });
        let room = SEGMENT_STREAMS_MAX.saturating_sub(open.streams.len());
        let count = self.unsaved.len().min(room);
        open.streams.extend(self.unsaved.drain(..count));
        let segment = Segment::new(open.sequence, &open.streams);
        self.open = Some(open);
        Some(segment)
    }

    /// Notes that the last segment was not written. The write may still take effect later, so the segment's streams go to
    /// another one.
    pub(crate) fn note_failure(&mut self) {
        for (id, version) in self.open.take().into_iter().flat_map(|open| open.streams) {
            self.note(id, &version);
        }
    }
}

/// Sorts segments by age, the oldest first.
pub(crate) fn sort_by_age(segments: &mut [Segment]) {
    segments.sort_by_key(|segment| segment.sequence);
}

#[cfg(test)]
#[path = "archive_tests.rs"]
mod tests;
