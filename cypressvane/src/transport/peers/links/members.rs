//! The liveness of hosts: observed on standing links, and learned from neighbours.
//!
//! In a region where all hosts are neighbours, a host goes by its own links alone. In a larger one it tells its
//! neighbours what is new of other hosts, and they pass that on.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Links;
use super::link::{Ineligibility, Link, View};
use crate::coordination::membership::{Announcement, FANOUT, Liveness, Update};
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Pauses between the first requests for all that a neighbour knows, while many hosts may start together.
const FIRST_PULL_PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];
/// Later pauses, up to half of it longer at random. Updates are lost only when links break.
const PULL_PAUSE: Duration = Duration::from_secs(5);

/// When this host asks neighbours for all that they know.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    count: usize,
    due_at: Option<Instant>,
}

impl Pulls {
    /// Whether a request is due; if so, plans the next one.
    fn take_due(&mut self, now: Instant) -> bool {
        if self.due_at.is_some_and(|at| now < at) {
            return false;
        }
        let later = PULL_PAUSE.mul_f64(1.0 + fastrand::f64() / 2.0);
        let pause = FIRST_PULL_PAUSES.get(self.count).copied().unwrap_or(later);
        self.due_at = Some(now + pause);
        self.count += 1;
        true
    }
}

/// What a heartbeat says of its sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    /// Configuration version in force.
    pub(crate) version: u64,
    pub(crate) announcement: Announcement,
    /// Whether the sender has picked this host as a neighbour.
    pub(crate) picked: bool,
}

impl Links {
    /// Records the state of a host from its heartbeat.
    pub(crate) fn note_heartbeat(self: &Arc<Self>, from: &Name, state: PeerState, now: Instant) {
        let links = self.peers.load();
        if let Some(link) = links.get(from) {
            let mut view = lock(&link.view);
            view.version = state.version;
            view.draining = state.announcement.draining;
            drop(view);
            if state.picked {
                self.note_picked_by(link, now);
            }
        }
        let update = Update {
            host: from.clone(),
            announcement: state.announcement,
            suspected_by: BTreeSet::new(),
            ended: false,
        };
        self.merge_member(&update, now);
    }

    /// Keeps a standing link to a host that has picked this one.
    fn note_picked_by(self: &Arc<Self>, link: &Arc<Link>, now: Instant) {
        let was_standing = self.is_standing(link, now);
        *lock(&link.picked_by_at) = Some(now);
        if was_standing {
            return;
        }
        // Wakes the task of a link that is connected and idle, so that heartbeats begin.
        let mut first = Vec::new();
        self.push_heartbeat(link, &mut first);
        for message in first {
            // The channel is closed only once the link is gone.
            let _ = link.queue.try_send(message);
        }
        self.make_standing(link, now);
    }

    /// Merges what a neighbour knows of a host; returns whether the host was restarted.
    pub(crate) fn merge_member(&self, update: &Update, now: Instant) -> bool {
        let mut membership = lock(&self.membership);
        let before = membership.own();
        let is_restarted = membership.merge(update, now);
        if membership.own() != before {
            self.counters.refutations.inc();
        }
        drop(membership);
        if is_restarted {
            self.note_incarnation(&update.host, update.announcement.incarnation);
        }
        is_restarted
    }

    /// Forgets what an earlier incarnation of a host has said.
    fn note_incarnation(&self, host: &Name, incarnation: u64) {
        let links = self.peers.load();
        let Some(link) = links.get(host) else { return };
        let mut view = lock(&link.view);
        if view.incarnation < incarnation {
            *view = View {
                incarnation,
                ..View::default()
            };
        }
    }

    /// Passes on what is new of other hosts to a few neighbours.
    pub(super) fn spread_news(self: &Arc<Self>, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        let updates = lock(&self.membership).take_news();
        if updates.is_empty() || self.is_mesh() {
            return;
        }
        let neighbours = links
            .values()
            .filter(|link| self.is_standing(link, now) && link.is_connected());
        let mut neighbours: Vec<&Arc<Link>> = neighbours.collect();
        fastrand::shuffle(&mut neighbours);
        for link in neighbours.into_iter().take(FANOUT) {
            let updates = updates.clone();
            self.send(&link.name, Message::Members { updates });
        }
    }

    /// Announces this host's own state, if it has changed.
    pub(crate) fn announce_state(&self) {
        let draining = self.draining.load(Ordering::Relaxed);
        let cut_off = self.cut_off.load(Ordering::Relaxed);
        let severed = self.severed.load(Ordering::Relaxed);
        lock(&self.membership).set_own(draining, cut_off, severed);
    }

    /// Sends a neighbour all that is known of other hosts, unless its view has the same digest.
    pub(crate) fn answer_pull(self: &Arc<Self>, from: &Name, digest: u64) {
        let membership = lock(&self.membership);
        if membership.digest() == digest {
            return;
        }
        let updates = membership.updates();
        drop(membership);
        self.send(from, Message::Members { updates });
    }

    /// Asks a neighbour for all that it knows, when that is due: updates may have been lost with a link.
    pub(super) fn pull_members(self: &Arc<Self>, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        let connected = links
            .values()
            .filter(|link| self.is_standing(link, now) && link.is_connected());
        let connected: Vec<&Arc<Link>> = connected.collect();
        let Some(link) = fastrand::choice(connected) else {
            return;
        };
        if lock(&self.pulls).take_due(now) {
            let digest = lock(&self.membership).digest();
            self.send(&link.name, Message::MembersPull { digest });
        }
    }

    /// Updates which links are standing ones, and counts them.
    pub(super) fn update_standing(&self, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        let mut count = 0;
        for link in links.values() {
            if self.is_standing(link, now) {
                count += 1;
            } else {
                *lock(&link.standing_since) = None;
            }
        }
        self.neighbour_count.store(count, Ordering::Relaxed);
        let open = links.values().filter(|link| link.is_connected()).count();
        self.counters.neighbours.set(count.into());
        self.counters
            .open_links
            .set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    /// Whether the liveness of a host is observed on the link to it: it has been a standing one for long enough.
    fn is_observed(&self, link: &Link, now: Instant) -> bool {
        let since = *lock(&link.standing_since);
        let grace = self.suspect_after();
        self.is_mesh() || since.is_some_and(|at| now.saturating_duration_since(at) >= grace)
    }

    /// Why a host may not be a home; `None` if it may.
    pub(super) fn ineligibility(&self, link: &Link, now: Instant) -> Option<Ineligibility> {
        if self.is_observed(link, now) {
            return link.observed_ineligibility(self.suspect_after(), now);
        }
        if link.is_leaving() {
            return Some(Ineligibility::Leaving);
        }
        match lock(&self.membership).liveness(&link.name) {
            Liveness::Live => None,
            Liveness::Unknown => Some(Ineligibility::Unconnected),
            Liveness::Draining => Some(Ineligibility::Leaving),
            Liveness::Silent => Some(Ineligibility::Silent),
        }
    }

    /// The other hosts that may be homes.
    pub(super) fn eligible(&self, links: &HashMap<Name, Arc<Link>>, now: Instant) -> Vec<Name> {
        let eligible = links
            .values()
            .filter(|link| self.ineligibility(link, now).is_none());
        eligible.map(|link| link.name.clone()).collect()
    }

    /// The state of another host in the dump.
    pub(super) fn state(&self, link: &Link, now: Instant) -> &'static str {
        match self.ineligibility(link, now) {
            None => "live",
            Some(Ineligibility::Leaving) => "leaving",
            Some(Ineligibility::Gone | Ineligibility::Unconnected | Ineligibility::Silent) => {
                "suspect"
            }
        }
    }

    /// Records which neighbours have ended or fallen silent, to be passed on.
    ///
    /// A host that does not hear most of its neighbours is probably cut off itself, and suspects none for their silence.
    /// A refused connection shows that a process has ended, whatever else this host hears.
    pub(super) fn suspect_silent(&self, links: &HashMap<Name, Arc<Link>>, now: Instant) {
        if self.has_missed_refresh(now) {
            return;
        }
        let observed = links
            .values()
            .filter(|link| self.is_standing(link, now) && self.is_observed(link, now));
        let observed: Vec<&Arc<Link>> = observed.collect();
        let (silent, heard): (Vec<&Arc<Link>>, Vec<&Arc<Link>>) =
            observed.into_iter().partition(|link| {
                !link.is_connected() || !link.has_received_within(self.suspect_after(), now)
            });
        let hears_most = heard.len() > silent.len();
        for link in silent {
            let ended = link.is_refused.load(Ordering::Relaxed);
            if !ended && !hears_most {
                continue;
            }
            if lock(&self.membership).suspect(&link.name, ended, now) {
                self.counters.suspicions.inc();
            }
        }
    }
}
