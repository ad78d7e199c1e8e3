//! Which software version of a service began each stream.
//!
//! What two versions write does not fit together, so a stream that broke off goes on only at the version that began it.
//! While a service has one version, that is known without remembering any stream. While it has several, hosts record
//! the version of each stream, and tell a few hosts that any host finds by the stream's id.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::coordination::view::{View, Watch};
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Length of a truncated digest in bytes; 128 bits make collisions infeasible.
pub(crate) const ID_BYTES: usize = 16;
/// Number of groups of streams; each has hosts of its own that know its streams. A host tells all hosts of all groups at
/// most, so the number bounds its links, whatever the size of the fleet.
pub(crate) const GROUPS: u8 = 16;
/// Most streams that a host remembers; beyond that, the oldest are forgotten.
pub(crate) const RECORDS_MAX: usize = 16_384;

/// Version of a backend server's software; `None` if it states none.
pub(crate) type Version = Option<Name>;

/// Identifies a stream by the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Id([u8; ID_BYTES]);

impl Id {
    /// Computes the id from the caller's id of the attempt, which is unique within an account.
    pub(crate) fn of(service: &str, account: Option<&str>, attempt: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [service, account.unwrap_or_default(), attempt] {
            // The length prefix keeps bytes at a boundary from shifting into the neighbouring part.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        let digest = hasher.finalize();
        let mut bytes = [0; ID_BYTES];
        bytes.copy_from_slice(&digest[..ID_BYTES]);
        Self(bytes)
    }

    /// Returns the id with these bytes.
    pub(crate) fn from_bytes(bytes: [u8; ID_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the id's bytes.
    pub(crate) fn as_bytes(&self) -> &[u8; ID_BYTES] {
        &self.0
    }

    /// Returns the stream's group, below `GROUPS`.
    pub(crate) fn group(&self) -> u8 {
        self.0[0] % GROUPS
    }
}

/// What is recorded of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Origin {
    Version(Version),
    /// Two versions are recorded, so neither may be used.
    Conflicting,
}

/// A record of a stream.
#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    at: Instant,
}

/// The versions that began streams, as far as this host knows.
#[derive(Debug, Default)]
pub(crate) struct Records {
    by_id: HashMap<Id, Record>,
    /// In the order in which the records were written; a stream that was recorded again occurs more than once.
    written: VecDeque<(Instant, Id)>,
}

impl Records {
    /// Records that a version began a stream, or that the stream is still in use.
    pub(crate) fn note(&mut self, id: Id, version: &Version, retention: Duration, now: Instant) {
        self.forget_old(retention, now);
        let origin = match self.by_id.get(&id) {
            Some(known) if known.origin != Origin::Version(version.clone()) => Origin::Conflicting,
            _ => Origin::Version(version.clone()),
        };
        self.by_id.insert(id, Record { origin, at: now });
        self.written.push_back((now, id));
    }

    /// Removes the records that are too old to be of use, and the oldest if there are too many.
    pub(crate) fn forget_old(&mut self, retention: Duration, now: Instant) {
        while let Some((at, id)) = self.written.front().copied() {
            let is_old = now.saturating_duration_since(at) > retention;
            if !is_old && self.written.len() < RECORDS_MAX {
                break;
            }
            self.written.pop_front();
            if self.by_id.get(&id).is_some_and(|record| record.at <= at) {
                self.by_id.remove(&id);
            }
        }
    }

    /// Returns the version that began a stream, if that is known.
    pub(crate) fn version(&self, id: &Id) -> Option<&Version> {
        match &self.by_id.get(id)?.origin {
            Origin::Version(version) => Some(version),
            Origin::Conflicting => None,
        }
    }

    /// Returns whether two versions are recorded for a stream.
    pub(crate) fn is_conflicting(&self, id: &Id) -> bool {
        let record = self.by_id.get(id);
        record.is_some_and(|record| record.origin == Origin::Conflicting)
    }

    /// Returns the recorded streams with their versions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Id, &Version)> {
        self.by_id.iter().filter_map(|(id, record)| {
            let Origin::Version(version) = &record.origin else {
                return None;
            };
            Some((id, version))
        })
    }

    /// Returns the number of streams.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// The versions of a service that this host has seen in the host list.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// When each version vanished from the list; `None` while it is listed.
    vanished: BTreeMap<Version, Option<Instant>>,
    watch: Watch,
}

impl History {
    /// Applies the service's versions in the host list.
    pub(crate) fn apply_list(&mut self, listed: &BTreeSet<Version>, now: Instant) {
        self.watch.note_read(now);
        for (version, vanished) in &mut self.vanished {
            if !listed.contains(version) {
                vanished.get_or_insert(now);
            }
        }
        for version in listed {
            self.vanished.insert(version.clone(), None);
        }
    }

    /// Returns the versions that may have begun a stream within the last `retention`, as far as this host has seen.
    pub(crate) fn recent(&self, retention: Duration, now: Instant) -> BTreeSet<Version> {
        let is_recent = |vanished: &Option<Instant>| {
            vanished.is_none_or(|at| now.saturating_duration_since(at) <= retention)
        };
        let recent = self.vanished.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Notes that this host may have missed versions until now.
    pub(crate) fn note_gap(&mut self, now: Instant) {
        self.watch.note_gap(now);
    }

    /// Returns for how long this host has known which versions are listed.
    pub(crate) fn span(&self, now: Instant) -> Duration {
        self.watch.span(now)
    }

    /// Returns the versions that may have begun a stream within the last `retention`.
    pub(crate) fn view(&self, retention: Duration, now: Instant) -> View<BTreeSet<Version>> {
        let recent = self.recent(retention, now);
        self.watch.view(recent, retention, now)
    }
}

/// What a host knows of a stream that is taken up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// The version that began it, if the host has a record.
    pub(crate) version: Option<Version>,
    /// Whether the host has records of two versions.
    pub(crate) is_conflicting: bool,
    /// The versions that may have begun it, as far as the host has seen.
    pub(crate) recent: BTreeSet<Version>,
    /// For how long the host has seen which versions are listed.
    pub(crate) span: Duration,
    /// Whether the host has heard from the platform, or from a host that did, within the settle time.
    pub(crate) is_current: bool,
    /// The versions that hosts had stored on the platform before this one started, or since it was last out of touch, none if
    /// no host ever ran; `None` if they are not known.
    pub(crate) stored: Option<BTreeSet<Version>>,
    /// Whether the host has still to read what hosts stored of the stream's group before it started.
    pub(crate) is_reading: bool,
}

/// What follows from the reports on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The stream may go on at this version.
    Version(Version),
    /// Two versions or more may have begun it.
    Unknown,
    /// One version may have begun it, unless another one was listed before the hosts started.
    Unconfirmed,
    /// The hosts that answered, and this one, may be cut off and know too little.
    Unanswered,
}

/// The reports on a stream that is taken up.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    /// The report of the host that was asked to go on with the stream, and those of the hosts that it asked.
    pub(crate) reports: Vec<Report>,
    /// Number of hosts that were asked.
    pub(crate) asked: usize,
    /// Whether the asking host hears most of the hosts that it knows.
    pub(crate) hears_most: bool,
    /// The versions that hosts have stored on the platform, if the asking host has read them since it was asked.
    pub(crate) stored: Option<BTreeSet<Version>>,
}

impl Evidence {
    /// Returns whether a host has a record of the stream.
    pub(crate) fn is_recorded(&self) -> bool {
        self.reports.iter().any(|report| report.version.is_some())
    }

    /// Returns whether no further host can come to know the stream: all that were asked have told what they know.
    pub(crate) fn is_final(&self) -> bool {
        let is_conflicting = self.reports.iter().any(|report| report.is_conflicting);
        let is_complete = self.reports.len() > self.asked;
        is_conflicting || is_complete && self.reports.iter().all(|report| !report.is_reading)
    }

    /// Whether a version that came lately would be known to this host or to one that answered: one of them is not cut off.
    ///
    /// While the platform is away, no host hears of changes, so those that hear most of the others are not cut off. A host
    /// that is alone with itself must be current, unless there are no others.
    fn is_in_touch(&self) -> bool {
        let has_company = self.reports.len() > 1 || self.asked == 0;
        self.reports.iter().any(|report| report.is_current) || self.hears_most && has_company
    }

    /// The versions that were there before hosts started; `None` if they are not known. What a host read when it started
    /// does not show versions that came since, so it counts only if the host would have seen these.
    fn stored(&self) -> Option<BTreeSet<&Version>> {
        let is_only_host = self.asked == 0 && self.reports.iter().all(|report| report.is_current);
        let sees_changes = is_only_host || self.reports.len() > 1 && self.is_in_touch();
        let told = self.reports.iter().filter(|_| sees_changes);
        let told = told.filter_map(|report| report.stored.as_ref());
        let mut known = told.chain(&self.stored);
        let first = known.next()?;
        Some(first.iter().chain(known.flatten()).collect())
    }

    /// Decides at which version the stream may go on.
    pub(crate) fn decide(&self, retention: Duration) -> Verdict {
        let reports = &self.reports;
        let recorded: BTreeSet<&Version> = reports
            .iter()
            .filter_map(|it| it.version.as_ref())
            .collect();
        if reports.iter().any(|report| report.is_conflicting) || recorded.len() > 1 {
            return Verdict::Unknown;
        }
        if let Some(version) = recorded.first() {
            return Verdict::Version((*version).clone());
        }
        // What was read from the platform just now has all versions that got requests.
        if !self.is_in_touch() && self.stored.is_none() {
            return Verdict::Unanswered;
        }
        let recent: BTreeSet<&Version> = reports.iter().flat_map(|it| &it.recent).collect();
        let mut versions = recent.into_iter();
        let (Some(only), None) = (versions.next(), versions.next()) else {
            return Verdict::Unknown;
        };
        if self.is_in_touch() && reports.iter().any(|report| report.span >= retention) {
            return Verdict::Version(only.clone());
        }
        match self.stored() {
            None => Verdict::Unconfirmed,
            Some(stored) if stored.iter().all(|version| *version == only) => {
                Verdict::Version(only.clone())
            }
            Some(_) => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
#[path = "origin_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "origin_schedule_tests.rs"]
mod schedule_tests;
