//! Streams that this host relays.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::{Service, Streams};
use crate::coordination::origin::{Id, Version};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// A stream that this host relays; dropping it records the version if the stream may be taken up again.
pub(crate) struct Relayed {
    streams: Arc<Streams>,
    service: Arc<Service>,
    /// The stream, and the version that began it once its first event has been relayed.
    id: Id,
    version: Option<Version>,
    is_told: bool,
    is_whole: bool,
}

impl Relayed {
    /// Starts to follow a stream that this host relays.
    pub(crate) fn open(streams: &Arc<Streams>, service: &Name, id: Id) -> Self {
        Self {
            service: streams.service(service),
            streams: Arc::clone(streams),
            id,
            version: None,
            is_told: false,
            is_whole: false,
        }
    }

    /// Notes that events of a version are relayed. The stream is told with its first event, or as soon as the service
    /// has several versions.
    pub(crate) fn note_events(&mut self, version: &Version) {
        if self.version.is_none() {
            self.version = Some(version.clone());
        }
        if !self.is_told && self.service.has_several.load(Ordering::Relaxed) {
            self.is_told = true;
            self.streams.tell(self.id, version, Instant::now());
        }
    }

    /// Notes that the stream has ended, so that it is not taken up again.
    pub(crate) fn note_end(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if self.is_whole || self.is_told {
            return;
        }
        if let Some(version) = &self.version {
            let retention = self.streams.retention();
            let mut records = lock(&self.streams.records);
            records.note(self.id, version, retention, Instant::now());
        }
    }
}
