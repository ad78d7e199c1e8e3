//! Rulings that hosts agree on: which requests are quarantined, and which were released.

use std::collections::HashMap;
use std::time::Duration;

use super::Subject;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Most rulings that are remembered, so that a message with all of them fits into one frame.
const RULINGS_MAX: usize = 512;

/// Whether a request is quarantined.
///
/// The version of a request's ruling only grows and the highest one wins, so that hosts agree whatever the order in
/// which they receive rulings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ruling {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) subject: Subject,
    /// Odd if the request is quarantined, even if it was released.
    pub(crate) version: u32,
    /// Servers that ended under the request, or the first of them by name if they are many.
    pub(crate) servers: Vec<Name>,
    /// When the request was quarantined or released.
    pub(crate) since: Instant,
}

impl Ruling {
    /// Whether the request is quarantined.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.version % 2 == 1
    }

    /// Whether the ruling is younger than `retention`.
    fn is_in_force(&self, retention: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < retention
    }
}

/// The newest ruling on each request.
#[derive(Debug)]
pub(crate) struct Rulings {
    retention: Duration,
    newest: HashMap<Fingerprint, Ruling>,
}

impl Rulings {
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            retention,
            newest: HashMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    pub(super) fn is_quarantined(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let ruling = self.newest.get(fingerprint);
        ruling.is_some_and(|ruling| {
            ruling.is_quarantined() && ruling.is_in_force(self.retention, now)
        })
    }

    /// Quarantines a request that was not quarantined.
    pub(super) fn quarantine(
        &mut self,
        fingerprint: Fingerprint,
        subject: Subject,
        servers: Vec<Name>,
        now: Instant,
    ) -> Ruling {
        let before = self.newest.get(&fingerprint);
        // The next odd number, also after an expired ruling that was not swept yet.
        let version = before.map_or(1, |ruling| ruling.version + 1 + ruling.version % 2);
        let ruling = Ruling {
            fingerprint,
            subject,
            version,
            servers,
            since: now,
        };
        self.insert(ruling.clone());
        ruling
    }

    /// Releases a request; `None` if it was not quarantined.
    pub(super) fn release(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Ruling> {
        let ruling = self.newest.get_mut(fingerprint)?;
        if !ruling.is_quarantined() {
            return None;
        }
        ruling.version += 1;
        ruling.since = now;
        Some(ruling.clone())
    }

    /// Merges another host's ruling; returns whether it is newer than the known one.
    pub(super) fn merge(&mut self, ruling: Ruling, now: Instant) -> bool {
        if !ruling.is_in_force(self.retention, now) {
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
                self.insert(ruling);
                true
            }
        }
    }

    pub(super) fn all(&self) -> Vec<Ruling> {
        self.newest.values().cloned().collect()
    }

    /// Returns how many requests are quarantined.
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
        self.newest
            .retain(|_, ruling| ruling.is_in_force(retention, now));
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
