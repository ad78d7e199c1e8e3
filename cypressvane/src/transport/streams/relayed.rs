//! Streams that this host relays.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::{Service, Streams};
use crate::coordination::origin::{Id, Version};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// A stream that this host relays, from the moment its request is sent; dropping it records the version if the stream may be
/// taken up again.
pub(crate) struct Relayed {
    streams: Arc<Streams>,
    service: Arc<Service>,
    /// The stream, and the version that began it once its first event has been relayed.
    id: Id,
    version: Option<Version>,
    /// The version that other hosts were told.
    told: Option<Version>,
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
            told: None,
            is_whole: false,
        }
    }

    /// Notes that the request is sent to a server. If the service has several versions, this tells the stream, so that it
    /// is stored by the time of its first event. If another version's events come all the same, two versions are told, and
    /// the stream cannot be taken up.
    pub(crate) fn note_sent(&mut self, version: &Version) {
        if self.told.is_none() {
            self.tell(version);
        }
    }

    /// Notes that events of a version are relayed. The stream is told as soon as the service has several versions.
    pub(crate) fn note_events(&mut self, version: &Version) {
        if self.version.is_none() {
            self.version = Some(version.clone());
        }
        if self.told.as_ref() != Some(version) {
            self.tell(version);
        }
    }

    fn tell(&mut self, version: &Version) {
        if self.service.has_several.load(Ordering::Relaxed) {
            self.told = Some(version.clone());
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
        if self.is_whole || self.told.is_some() {
            return;
        }
        if let Some(version) = &self.version {
            let retention = self.streams.retention();
            let mut records = lock(&self.streams.records);
            records.note(self.id, version, retention, Instant::now());
        }
    }
}
