//! The contents of this host's heartbeats.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Links;
use super::link::Link;
use crate::coordination::evacuation;
use crate::protocol::message::{Heartbeat, Message};
use crate::state::clock::Instant;
use crate::transport::runtime::lock;

impl Links {
    /// Sets the configuration version in the heartbeats.
    pub(crate) fn announce_version(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Marks this host as leaving in the heartbeats.
    pub(crate) fn announce_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.announce_state();
    }

    /// Sets whether the heartbeats say that the platform does not answer this host.
    pub(crate) fn announce_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
        self.announce_state();
    }

    /// Sets whether the heartbeats say that this host reaches no backend server directly.
    pub(crate) fn announce_severed(&self, severed: bool) {
        self.severed.store(severed, Ordering::Relaxed);
        self.announce_state();
    }

    /// Sets the newest changes of the host list that this host knows, as the heartbeats say.
    pub(crate) fn announce_list_known(&self, known: Vec<u64>) {
        self.list_known.store(Arc::new(known));
    }

    /// Sets the digest of the rulings in the heartbeats.
    pub(crate) fn announce_rulings(&self, digest: u64) {
        self.rulings.store(digest, Ordering::Relaxed);
    }

    /// Sets in the heartbeats that `version` was the newest at `stamp`, in milliseconds by the platform's clock.
    pub(crate) fn announce_confirmed(&self, version: u64, stamp: u64) {
        self.confirmed.store(Some(Arc::new((version, stamp))));
    }

    /// Sets the evacuated data centres that go along with the heartbeats.
    pub(crate) fn announce_evacuation(&self, report: Option<evacuation::Report>) {
        self.evacuation.store(report.map(Arc::new));
    }

    /// Passes on that `version` was the newest at `stamp`, where neighbours hear only from neighbours.
    pub(crate) fn relay_confirmed(&self, version: u64, stamp: u64) {
        let known = self.confirmed.load();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| (known.0, known.1) < (version, stamp));
        if is_newer && version == self.version.load(Ordering::Relaxed) && !self.is_mesh() {
            self.announce_confirmed(version, stamp);
        }
    }

    /// Records the newest changes of the host list that another host says it knows.
    pub(crate) fn note_list_known(&self, told: &[u64]) {
        if self.is_mesh() {
            return;
        }
        let mut elsewhere = lock(&self.list_known_elsewhere);
        elsewhere.resize(told.len(), 0);
        for (known, told) in elsewhere.iter_mut().zip(told) {
            *known = (*known).max(*told);
        }
    }

    /// The newest changes of the host list that this host knows, and where neighbours hear only from neighbours, those that
    /// others know.
    fn list_known_to_tell(&self) -> Vec<u64> {
        let mut known = self.list_known.load().as_ref().clone();
        for (own, told) in known
            .iter_mut()
            .zip(lock(&self.list_known_elsewhere).iter())
        {
            *own = (*own).max(*told);
        }
        known
    }

    /// Adds the heartbeat of a link to a batch.
    pub(super) fn push_heartbeat(&self, link: &Link, batch: &mut Vec<Message>) {
        let version = self.version.load(Ordering::Relaxed);
        let confirmed = self.confirmed.load();
        let of_version = confirmed
            .as_ref()
            .filter(|confirmed| confirmed.0 == version);
        let own = lock(&self.membership).own();
        batch.push(Message::Heartbeat(Heartbeat {
            version,
            confirmed: of_version.map(|confirmed| confirmed.1),
            draining: own.draining,
            cut_off: own.cut_off,
            severed: own.severed,
            sequence: own.sequence,
            picked: link.picked.load(Ordering::Relaxed),
            list_known: self.list_known_to_tell(),
            hears: link.has_received_within(self.suspect_after(), Instant::now()),
            doubts: link.take_doubt(),
            rulings: self.rulings.load(Ordering::Relaxed),
        }));
        let evacuation = self.evacuation.load();
        batch.extend(evacuation.as_deref().cloned().map(Message::Evacuated));
    }
}
