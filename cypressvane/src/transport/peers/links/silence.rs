//! Hosts from which nothing arrives, and links over which this host's messages do not arrive.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Links;
use super::link::Link;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Suspicion timeouts after which the link to a silent host is reconnected: the other host reports within two whether
/// it receives messages from this one, unless its own link is silent too.
const SILENT_PERIODS: u32 = 3;

impl Links {
    /// Discounts the time for which this host itself was suspended from the silence of the others.
    ///
    /// A host that resumes has yet to read the messages that arrived meanwhile. Without this it would consider all
    /// others dead, and itself the home of every pool and account.
    pub(crate) fn discount_suspension(&self, time: Duration, now: Instant) {
        let later = |at: Instant| (at + time).min(now);
        for link in self.peers.load().values() {
            let mut view = lock(&link.view);
            view.last_received = view.last_received.map(later);
            view.not_receiving_since = view.not_receiving_since.map(later);
        }
    }

    /// The hosts from which nothing has arrived for `time`, counted from the opening of the link if nothing ever has.
    ///
    /// There are none while this host may itself have been suspended.
    pub(crate) fn silent_for(&self, time: Duration, now: Instant) -> Vec<Name> {
        if self.has_missed_refresh(now) {
            return Vec::new();
        }
        let links = self.peers.load();
        let silent = links
            .values()
            .filter(|link| self.silence_of(link, now) >= time);
        silent.map(|link| link.name.clone()).collect()
    }

    /// For how long nothing has arrived from a host, counted from the opening of the link if nothing ever has.
    fn silence_of(&self, link: &Link, now: Instant) -> Duration {
        if self.is_mesh() {
            let since = lock(&link.view).last_received.unwrap_or(link.opened);
            return now.saturating_duration_since(since);
        }
        let silence = lock(&self.membership).silent_for(&link.name, now);
        silence.unwrap_or_else(|| now.saturating_duration_since(link.opened))
    }

    /// Notes whether another host reports that it receives messages from this one; returns whether the link to it is
    /// reconnected.
    ///
    /// A link may be silent though each of its packets is acknowledged, so only the other host can detect it. A single
    /// report may be outdated, since a host that was frozen soon receives messages again: the link is reconnected only
    /// if the reports go on for the suspicion timeout.
    pub(crate) fn note_reception(&self, from: &Name, is_receiving: bool, now: Instant) -> bool {
        let links = self.peers.load();
        let Some(link) = links.get(from) else {
            return false;
        };
        let mut view = lock(&link.view);
        if is_receiving || !link.is_connected() {
            view.not_receiving_since = None;
            return false;
        }
        let since = *view.not_receiving_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.suspect_after() {
            return false;
        }
        view.not_receiving_since = None;
        link.reconnect();
        true
    }

    /// Reconnects the link to a host that left a message unanswered, unless the connection is too young; returns
    /// whether it does.
    ///
    /// The next heartbeat reports this to the other host, since its own link may be the silent one. Later messages
    /// are then answered long before the host would be suspected.
    pub(crate) fn reconnect_unanswered(&self, host: &Name, now: Instant) -> bool {
        let links = self.peers.load();
        let Some(link) = links.get(host) else {
            return false;
        };
        let is_reconnected = link.reconnect_if_old(now);
        if is_reconnected {
            link.doubted.store(true, Ordering::Relaxed);
        }
        is_reconnected
    }

    /// The hosts whose links have been reconnected, each returned once at once and once `later`: messages sent to it
    /// before may be lost.
    pub(crate) fn take_reconnected(&self, later: Duration, now: Instant) -> Vec<Name> {
        let links = self.peers.load();
        let reconnected = links
            .values()
            .filter(|link| link.take_due_report(later, now));
        reconnected.map(|link| link.name.clone()).collect()
    }

    /// Reconnects the link to a host that has got no answer from this one, unless the connection is too young.
    pub(crate) fn reconnect_doubted(&self, from: &Name, now: Instant) {
        let links = self.peers.load();
        if let Some(link) = links.get(from) {
            link.reconnect_if_old(now);
        }
    }

    /// Whether this host has not refreshed its links for the suspicion timeout, so that it may have been suspended.
    pub(super) fn has_missed_refresh(&self, now: Instant) -> bool {
        let refreshed_at = *lock(&self.refreshed_at);
        refreshed_at.is_some_and(|at| now.saturating_duration_since(at) >= self.suspect_after())
    }

    /// Reconnects the links to silent hosts: if both directions are silent, neither host learns that the other receives
    /// nothing.
    pub(super) fn reconnect_silent(&self, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        let has_missed_refresh = self.has_missed_refresh(now);
        *lock(&self.refreshed_at) = Some(now);
        // A host that was frozen has yet to read the messages that arrived meanwhile.
        if has_missed_refresh {
            return;
        }
        let silence = self.suspect_after() * SILENT_PERIODS;
        let silent = links
            .values()
            .filter(|link| self.is_standing(link, now) && link.is_silent(silence, now));
        silent.for_each(|link| link.reconnect());
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
