//! Rulings that hosts agree on: which features of requests are quarantined, and which were released.

use std::collections::HashMap;
use std::time::Duration;

use super::{Feature, Subject};
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Highest version of a ruling that is merged. Hosts count versions from one, so that a higher one is no host's, and there
/// is always a next one.
const VERSION_MAX: u32 = u32::MAX / 2;
/// Most rulings that are remembered, so that a message with all of them fits into one frame.
const RULINGS_MAX: usize = 512;

/// Whether a feature of requests is quarantined.
///
/// The version of a feature's ruling only grows and the highest one wins, so that hosts agree whatever the order in
/// which they receive rulings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ruling {
    pub(crate) fingerprint: Fingerprint,
    /// Other features that a request must have as well to be kept from the servers, if nothing told them apart.
    pub(crate) along_with: Vec<Fingerprint>,
    pub(crate) subject: Subject,
    /// Odd if the feature is quarantined, even if it was released.
    pub(crate) version: u32,
    /// Servers that ended under the feature, or the first of them by name if they are many.
    pub(crate) servers: Vec<Name>,
    /// When the feature was quarantined or released.
    pub(crate) since: Instant,
    /// Whether the feature was released without an answer that shows it to be harmless.
    pub(crate) is_on_trial: bool,
}

impl Ruling {
    /// Whether the feature is quarantined.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.version % 2 == 1
    }

    /// Whether a request has all features that the ruling is about.
    fn applies_to(&self, features: &[Feature]) -> bool {
        has_all(features, &self.along_with)
    }

    /// Whether the ruling is younger than `retention`.
    fn is_in_force(&self, retention: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < retention
    }
}

/// Whether a request has all of some features.
fn has_all(features: &[Feature], wanted: &[Fingerprint]) -> bool {
    wanted.iter().all(|wanted| {
        let mut fingerprints = features.iter().map(|feature| feature.fingerprint);
        fingerprints.any(|fingerprint| fingerprint == *wanted)
    })
}

/// The newest ruling on each feature.
#[derive(Debug)]
pub(crate) struct Rulings {
    retention: Duration,
    newest: HashMap<Fingerprint, Ruling>,
    /// Features that were released or whose quarantine has expired, and that no answer has shown to be harmless since,
    /// with the time from which they are let through.
    trials: HashMap<Fingerprint, Trial>,
}

/// A feature of which one more end shows that it still ends servers.
#[derive(Debug)]
struct Trial {
    along_with: Vec<Fingerprint>,
    since: Instant,
    version: u32,
}

impl Trial {
    fn of(ruling: &Ruling, since: Instant) -> Self {
        Self {
            along_with: ruling.along_with.clone(),
            since,
            version: ruling.version,
        }
    }
}

impl Rulings {
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            retention,
            newest: HashMap::new(),
            trials: HashMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.newest.is_empty() && self.trials.is_empty()
    }

    /// Whether a request is let through to find out whether one of its features still ends servers; what it must have
    /// along with that feature.
    pub(super) fn trial(
        &self,
        fingerprint: &Fingerprint,
        features: &[Feature],
        now: Instant,
    ) -> Option<Vec<Fingerprint>> {
        let expired = self
            .newest
            .get(fingerprint)
            .filter(|ruling| ruling.is_quarantined() && !ruling.is_in_force(self.retention, now));
        let trial = self.trials.get(fingerprint).map(|trial| &trial.along_with);
        let along_with = trial.or(expired.map(|ruling| &ruling.along_with))?;
        has_all(features, along_with).then(|| along_with.clone())
    }

    /// Ends a trial, as an answer has shown the feature to be harmless; returns whether there was one.
    pub(super) fn end_trial(&mut self, fingerprint: &Fingerprint) -> bool {
        self.trials.remove(fingerprint).is_some()
    }

    /// Returns a feature for which a request is quarantined.
    pub(super) fn quarantined_feature(
        &self,
        features: &[Feature],
        now: Instant,
    ) -> Option<Fingerprint> {
        let fingerprints = features.iter().map(|feature| feature.fingerprint);
        fingerprints.into_iter().find(|fingerprint| {
            self.newest.get(fingerprint).is_some_and(|ruling| {
                ruling.is_quarantined()
                    && ruling.is_in_force(self.retention, now)
                    && ruling.applies_to(features)
            })
        })
    }

    /// Quarantines a feature that was not quarantined.
    pub(super) fn quarantine(
        &mut self,
        fingerprint: Fingerprint,
        along_with: Vec<Fingerprint>,
        subject: Subject,
        servers: Vec<Name>,
        now: Instant,
    ) -> Ruling {
        let newest = self.newest.get(&fingerprint).map(|ruling| ruling.version);
        let trial = self.trials.remove(&fingerprint).map(|trial| trial.version);
        // The next odd number, also after an expired ruling.
        let before = newest.max(trial);
        let version = before.map_or(1, |version| version + 1 + version % 2);
        let ruling = Ruling {
            fingerprint,
            along_with,
            subject,
            version,
            servers,
            since: now,
            is_on_trial: false,
        };
        self.insert(ruling.clone());
        ruling
    }

    /// Releases the features of a request that was answered; returns the changed rulings.
    pub(super) fn release_answered(&mut self, features: &[Feature], now: Instant) -> Vec<Ruling> {
        let fingerprints = features.iter().map(|feature| feature.fingerprint);
        let applies = |fingerprint: &Fingerprint| {
            let ruling = self.newest.get(fingerprint);
            ruling.is_some_and(|ruling| ruling.applies_to(features))
        };
        let answered: Vec<Fingerprint> = fingerprints.filter(applies).collect();
        let released = answered
            .iter()
            .filter_map(|it| self.release(it, false, now));
        released.collect()
    }

    /// Releases a feature; `None` if it was not quarantined. On trial, one more end quarantines it again.
    pub(super) fn release(
        &mut self,
        fingerprint: &Fingerprint,
        is_on_trial: bool,
        now: Instant,
    ) -> Option<Ruling> {
        let ruling = self.newest.get_mut(fingerprint)?;
        if !ruling.is_quarantined() {
            return None;
        }
        ruling.version += 1;
        ruling.since = now;
        ruling.is_on_trial = is_on_trial;
        let ruling = ruling.clone();
        self.note_trial(&ruling);
        Some(ruling)
    }

    /// Merges another host's ruling; returns whether it is newer than the known one.
    pub(super) fn merge(&mut self, ruling: Ruling, now: Instant) -> bool {
        if !ruling.is_in_force(self.retention, now) || ruling.version > VERSION_MAX {
            return false;
        }
        match self.newest.get_mut(&ruling.fingerprint) {
            Some(known) if known.version >= ruling.version => {
                // A ruling that was received later looks younger than it is, so the earlier time counts.
                if known.version == ruling.version {
                    known.since = known.since.min(ruling.since);
                }
                false
            }
            _ => {
                self.trials.remove(&ruling.fingerprint);
                self.note_trial(&ruling);
                self.insert(ruling);
                true
            }
        }
    }

    /// Lets a feature be tried from the time of a ruling that releases it on trial.
    fn note_trial(&mut self, ruling: &Ruling) {
        if ruling.is_on_trial {
            let trial = Trial::of(ruling, ruling.since);
            self.trials.insert(ruling.fingerprint, trial);
        }
    }

    pub(super) fn all(&self) -> Vec<Ruling> {
        self.newest.values().cloned().collect()
    }

    /// Returns how many features are quarantined.
    pub(super) fn quarantined(&self) -> usize {
        let quarantined = self
            .newest
            .values()
            .filter(|ruling| ruling.is_quarantined());
        quarantined.count()
    }

    pub(super) fn digest(&self) -> u64 {
        let rulings = self.newest.values();
        rulings.fold(0, |digest, ruling| {
            let factor = 2 * u64::from(ruling.version) + 1;
            digest ^ ruling.fingerprint.prefix().wrapping_mul(factor)
        })
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        self.trials
            .retain(|_, trial| now.saturating_duration_since(trial.since) < retention);
        let trials = &mut self.trials;
        self.newest.retain(|fingerprint, ruling| {
            let is_in_force = ruling.is_in_force(retention, now);
            if !is_in_force && ruling.is_quarantined() {
                trials.insert(*fingerprint, Trial::of(ruling, now));
            }
            is_in_force
        });
    }

    fn insert(&mut self, ruling: Ruling) {
        self.newest.insert(ruling.fingerprint, ruling);
        if self.newest.len() > RULINGS_MAX {
            let oldest = self.newest.values().min_by_key(|ruling| ruling.since);
            if let Some(oldest) = oldest.map(|ruling| ruling.fingerprint) {
                self.newest.remove(&oldest);
            }
        }
    }
}
