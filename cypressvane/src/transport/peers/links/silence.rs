//! Hosts that are not heard, and links on which this one is not.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Links;
use super::link::Link;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Periods of suspicion after which a link to a host that is not heard is made anew: the other host says
/// within two whether it hears this one, unless its own link is silent too.
const SILENT_PERIODS: u32 = 3;

impl Links {
    /// Takes it that others were not silent while this host itself stood still, for so long.
    ///
    /// A host that wakes is about to read what has come meanwhile. Without this it would take all others
    /// for dead, and itself for the home of every pool and account.
    pub(crate) fn stood_still(&self, time: Duration, now: Instant) {
        let later = |at: Instant| (at + time).min(now);
        for link in self.peers.load().values() {
            let mut view = lock(&link.view);
            view.heard = view.heard.map(later);
            view.deaf = view.deaf.map(later);
        }
    }

    /// The hosts that were not heard for `time`, nor since their link was opened; none while it is not known
    /// yet whether this host itself stood still.
    pub(crate) fn silent_for(&self, time: Duration, now: Instant) -> Vec<Name> {
        if self.is_late(now) {
            return Vec::new();
        }
        let links = self.peers.load();
        let silent = links.values().filter(|link| {
            let since = lock(&link.view).heard.unwrap_or(link.opened);
            now.saturating_duration_since(since) >= time
        });
        silent.map(|link| link.name.clone()).collect()
    }

    /// Notes whether another host says that it hears this one; tells whether its link is made anew.
    ///
    /// A link may be silent though each of its packets is acknowledged, so the sender cannot tell; the
    /// other host can. Said only once, it may be old: a host that was frozen is soon heard again.
    pub(crate) fn note_hearing(&self, from: &Name, hears: bool, now: Instant) -> bool {
        let links = self.peers.load();
        let Some(link) = links.get(from) else {
            return false;
        };
        let mut view = lock(&link.view);
        if hears || !link.is_connected() {
            view.deaf = None;
            return false;
        }
        let since = *view.deaf.get_or_insert(now);
        if now.saturating_duration_since(since) < self.suspect_after() {
            return false;
        }
        view.deaf = None;
        link.renew();
        true
    }

    /// Makes the link anew to a host that left something it was asked without a word, and tells it, since its own link
    /// may be silent instead. What is asked next is answered, long before the host would be suspected.
    /// Tells whether it does.
    pub(crate) fn doubt(&self, host: &Name, now: Instant) -> bool {
        let links = self.peers.load();
        let Some(link) = links.get(host) else {
            return false;
        };
        let is_renewed = link.renew_if_old(now);
        if is_renewed {
            link.doubted.store(true, Ordering::Relaxed);
        }
        is_renewed
    }

    /// The hosts to which links were made anew, each once at once and once `later`: what was told them may be lost.
    pub(crate) fn connected_anew(&self, later: Duration, now: Instant) -> Vec<Name> {
        let links = self.peers.load();
        let anew = links.values().filter(|link| link.takes_anew(later, now));
        anew.map(|link| link.name.clone()).collect()
    }

    /// Makes the link anew to a host that has asked something and heard nothing.
    pub(crate) fn renew_doubted(&self, from: &Name, now: Instant) {
        let links = self.peers.load();
        if let Some(link) = links.get(from) {
            link.renew_if_old(now);
        }
    }

    /// Whether this host has not looked at its links for so long that it would suspect another.
    fn is_late(&self, now: Instant) -> bool {
        let refreshed = *lock(&self.refreshed);
        refreshed.is_some_and(|at| now.saturating_duration_since(at) >= self.suspect_after())
    }

    /// Makes the links anew to hosts that are not heard: where both ways are silent, neither host hears
    /// that the other does not hear it.
    pub(super) fn renew_silent(&self, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        let is_late = self.is_late(now);
        *lock(&self.refreshed) = Some(now);
        // A host that was frozen has heard nobody meanwhile, and is about to read what has come.
        if is_late {
            return;
        }
        let silence = self.suspect_after() * SILENT_PERIODS;
        let silent = links.values().filter(|link| link.is_silent(silence, now));
        silent.for_each(|link| link.renew());
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
