//! What heartbeats tell of this host.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Links;
use super::link::Link;
use crate::protocol::message::Message;
use crate::state::clock::Instant;

impl Links {
    /// Heartbeats tell this version from now on.
    pub(crate) fn tell_version(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Heartbeats tell from now on that this host is leaving.
    pub(crate) fn tell_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Heartbeats tell from now on whether the platform gives this host no answer.
    pub(crate) fn tell_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }

    /// Heartbeats tell from now on how far this host has read the host list itself.
    pub(crate) fn tell_list_read(&self, read: Vec<u64>) {
        self.list_read.store(Arc::new(read));
    }

    /// Heartbeats tell this digest of the rulings on requests from now on.
    pub(crate) fn tell_rulings(&self, digest: u64) {
        self.rulings.store(digest, Ordering::Relaxed);
    }

    /// Heartbeats tell from now on that `version` was the newest at `stamp`, by the platform's clock.
    pub(crate) fn tell_confirmed(&self, version: u64, stamp: u64) {
        self.confirmed.store(Some(Arc::new((version, stamp))));
    }

    /// What a heartbeat on a link says.
    pub(super) fn beat(&self, link: &Link, batch: &mut Vec<Message>) {
        let version = self.version.load(Ordering::Relaxed);
        let confirmed = self.confirmed.load();
        let of_version = confirmed
            .as_ref()
            .filter(|confirmed| confirmed.0 == version);
        batch.push(Message::Heartbeat {
            version,
            confirmed: of_version.map(|confirmed| confirmed.1),
            draining: self.draining.load(Ordering::Relaxed),
            cut_off: self.cut_off.load(Ordering::Relaxed),
            list_read: self.list_read.load().as_ref().clone(),
            hears: link.is_heard(self.suspect_after(), Instant::now()),
            doubts: link.take_doubt(),
            rulings: self.rulings.load(Ordering::Relaxed),
        });
    }
}
