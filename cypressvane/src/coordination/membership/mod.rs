//! Which hosts of a region are live, as hosts tell each other.
//!
//! In a large region a host observes only a few others itself: its neighbours, see `neighbours`. Each host announces
//! its own state, and neighbours of a host that falls silent suspect it. Both spread as updates from neighbour to
//! neighbour: from time to time each host passes on what was new to it to a few of them. Updates may arrive late, twice
//! and in any order: merging them is commutative, associative and idempotent, so hosts with the same updates have the
//! same view.
//!
//! A host that is suspected in error announces itself again, with a higher sequence number, which voids the suspicions.
//! One host alone may be wrong about another one, so a host counts as silent only once several suspect it.

pub(crate) mod neighbours;

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::clock::Instant;
use crate::state::name::Name;

/// Number of hosts that must suspect another one before it counts as silent.
pub(crate) const SUSPICIONS_MIN: usize = 3;

/// Number of neighbours to which a host passes on what was new to it. One in three thousand hosts misses an update,
/// until it asks a neighbour for all that it knows.
pub(crate) const FANOUT: usize = 8;

/// What a host says of itself. A later announcement voids the earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct Announcement {
    /// Start time of the host.
    pub(crate) incarnation: u64,
    /// Number of the announcement within the incarnation.
    pub(crate) sequence: u32,
    /// Whether the host is leaving.
    pub(crate) draining: bool,
    /// Whether the platform does not answer the host.
    pub(crate) cut_off: bool,
    /// Whether the host reaches no backend server directly.
    pub(crate) severed: bool,
}

impl Announcement {
    fn order(&self) -> (u64, u32) {
        (self.incarnation, self.sequence)
    }
}

/// What is known of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    pub(crate) host: Name,
    pub(crate) announcement: Announcement,
    /// Hosts that suspect it since the announcement, at most `SUSPICIONS_MIN`.
    pub(crate) suspected_by: BTreeSet<Name>,
    /// Whether its process has ended since the announcement: it refuses connections.
    pub(crate) ended: bool,
}

/// The liveness of a host, as far as this host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The host has not announced itself.
    Unknown,
    Live,
    Draining,
    /// The host has ended, or several hosts suspect it.
    Silent,
}

#[derive(Clone, Debug)]
struct Member {
    update: Update,
    /// Since when the host counts as silent.
    silent_since: Option<Instant>,
}

/// A host's view of the hosts of its region.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Name,
    own: Announcement,
    others: HashMap<Name, Member>,
    /// Hosts of which something is new since `take_news` was last called.
    changed: BTreeSet<Name>,
}

impl Membership {
    pub(crate) fn new(me: Name, incarnation: u64) -> Self {
        let own = Announcement {
            incarnation,
            ..Announcement::default()
        };
        Self {
            me,
            own,
            others: HashMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Returns this host's current announcement.
    pub(crate) fn own(&self) -> Announcement {
        self.own
    }

    /// Sets this host's state, and announces it if it has changed.
    pub(crate) fn set_own(&mut self, draining: bool, cut_off: bool, severed: bool) {
        let state = Announcement {
            draining,
            cut_off,
            severed,
            ..self.own
        };
        if state != self.own {
            self.own = state;
            self.announce_above(self.own.sequence);
        }
    }

    /// Announces this host with a number above `sequence`.
    fn announce_above(&mut self, sequence: u32) {
        self.own.sequence = sequence.saturating_add(1);
        self.changed.insert(self.me.clone());
    }

    fn own_update(&self) -> Update {
        Update {
            host: self.me.clone(),
            announcement: self.own,
            suspected_by: BTreeSet::new(),
            ended: false,
        }
    }

    /// Merges an update; returns whether the host has a newer incarnation than was known.
    pub(crate) fn merge(&mut self, update: &Update, now: Instant) -> bool {
        if update.host == self.me {
            self.refute(update);
            return false;
        }
        let Some(member) = self.others.get_mut(&update.host) else {
            let member = Member::new(update.clone(), now);
            self.others.insert(update.host.clone(), member);
            self.changed.insert(update.host.clone());
            return true;
        };
        let known = member.update.announcement;
        let is_changed = match update.announcement.order().cmp(&known.order()) {
            Ordering::Less => false,
            Ordering::Equal => member.add_suspicions(&update.suspected_by, update.ended, now),
            Ordering::Greater => {
                *member = Member::new(update.clone(), now);
                true
            }
        };
        if is_changed {
            self.changed.insert(update.host.clone());
        }
        update.announcement.incarnation > known.incarnation
    }

    /// Announces this host anew if it is counted as silent, or if its announcements lag behind what others know.
    fn refute(&mut self, update: &Update) {
        let seen = update.announcement;
        if seen.incarnation != self.own.incarnation || seen.sequence < self.own.sequence {
            return;
        }
        if seen.sequence > self.own.sequence || update.is_silent() {
            self.announce_above(seen.sequence);
        }
    }

    /// Records that this host suspects another one; `ended` means that its process has ended. Returns whether that is
    /// new.
    pub(crate) fn suspect(&mut self, host: &Name, ended: bool, now: Instant) -> bool {
        let Some(member) = self.others.get_mut(host) else {
            return false;
        };
        let own_suspicion = BTreeSet::from([self.me.clone()]);
        let is_new = member.add_suspicions(&own_suspicion, ended, now);
        if is_new {
            self.changed.insert(host.clone());
        }
        is_new
    }

    /// Takes what is new since the last call, to be passed on to `FANOUT` neighbours.
    pub(crate) fn take_news(&mut self) -> Vec<Update> {
        let changed = std::mem::take(&mut self.changed);
        let updates = changed.iter().filter_map(|host| {
            if *host == self.me {
                return Some(self.own_update());
            }
            Some(self.others.get(host)?.update.clone())
        });
        updates.collect()
    }

    /// Returns the liveness of another host.
    pub(crate) fn liveness(&self, host: &str) -> Liveness {
        match self.others.get(host) {
            None => Liveness::Unknown,
            Some(member) if member.update.is_silent() => Liveness::Silent,
            Some(member) if member.update.announcement.draining => Liveness::Draining,
            Some(_) => Liveness::Live,
        }
    }

    /// Whether the platform does not answer a host, by its last announcement.
    pub(crate) fn is_cut_off(&self, host: &str) -> bool {
        let member = self.others.get(host);
        member.is_some_and(|member| member.update.announcement.cut_off)
    }

    /// Whether a host reaches no backend server directly, by its last announcement.
    pub(crate) fn is_severed(&self, host: &str) -> bool {
        let member = self.others.get(host);
        member.is_some_and(|member| member.update.announcement.severed)
    }

    /// Returns for how long a host has counted as silent; zero if it does not, `None` if it never announced itself.
    pub(crate) fn silent_for(&self, host: &str, now: Instant) -> Option<Duration> {
        let since = self.others.get(host)?.silent_since;
        Some(since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)))
    }

    /// Returns everything known, for a host that may have missed updates.
    pub(crate) fn updates(&self) -> Vec<Update> {
        let others = self.others.values().map(|member| member.update.clone());
        others.chain([self.own_update()]).collect()
    }

    /// Returns a digest of the view, which is equal on hosts with the same view.
    pub(crate) fn digest(&self) -> u64 {
        let others = self.others.values().map(|member| &member.update);
        let digests = others.map(Update::digest);
        digests.fold(self.own_update().digest(), |all, one| all ^ one)
    }

    /// Forgets a host that is no longer in the host list.
    pub(crate) fn forget(&mut self, host: &Name) {
        self.others.remove(host);
    }
}

impl Update {
    fn is_silent(&self) -> bool {
        self.ended || self.suspected_by.len() >= SUSPICIONS_MIN
    }

    /// Suspicions that have no effect yet are left out, so that they cause no transfer of whole views.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.host.hash(&mut hasher);
        self.announcement.hash(&mut hasher);
        self.is_silent().hash(&mut hasher);
        hasher.finish()
    }
}

impl Member {
    fn new(update: Update, now: Instant) -> Self {
        let silent_since = update.is_silent().then_some(now);
        Self {
            update,
            silent_since,
        }
    }

    /// Adds suspicions, as long as they have an effect; returns whether any was new.
    fn add_suspicions(&mut self, by: &BTreeSet<Name>, ended: bool, now: Instant) -> bool {
        let update = &mut self.update;
        if update.is_silent() && (update.ended || !ended) {
            return false;
        }
        let before = update.suspected_by.len();
        if ended {
            update.ended = true;
            update.suspected_by.clear();
        } else {
            let missing = SUSPICIONS_MIN - before;
            let new = by.difference(&update.suspected_by).take(missing);
            let new: Vec<Name> = new.cloned().collect();
            update.suspected_by.extend(new);
        }
        if update.is_silent() {
            self.silent_since.get_or_insert(now);
        }
        update.ended || update.suspected_by.len() > before
    }
}

#[cfg(test)]
#[path = "../membership_tests.rs"]
mod tests;
