//! What hosts agree on: the requests that are kept from the servers, and those let through again.

use std::collections::HashMap;
use std::time::Duration;

use super::Subject;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Most rulings that are remembered: what one host tells another of them fits into one frame.
const RULINGS_MAX: usize = 512;

/// Whether a request is kept from the servers.
///
/// Versions of one request's ruling only grow, and the highest counts, so that hosts agree in whichever order
/// they hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ruling {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) subject: Subject,
    /// Odd where it is kept from the servers, even where it was let through again.
    pub(crate) version: u32,
    /// The servers that ended under it.
    pub(crate) servers: Vec<Name>,
    /// Since when.
    pub(crate) since: Instant,
}

impl Ruling {
    /// Whether the request is kept from the servers.
    pub(crate) fn holds(&self) -> bool {
        self.version % 2 == 1
    }

    /// Whether it is younger than `kept`.
    fn is_in_force(&self, kept: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < kept
    }
}

/// The newest ruling on each request.
#[derive(Debug)]
pub(crate) struct Rulings {
    kept: Duration,
    newest: HashMap<Fingerprint, Ruling>,
}

impl Rulings {
    pub(super) fn new(kept: Duration) -> Self {
        Self {
            kept,
            newest: HashMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    pub(super) fn holds(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let ruling = self.newest.get(fingerprint);
        ruling.is_some_and(|ruling| ruling.holds() && ruling.is_in_force(self.kept, now))
    }

    /// Keeps a request from the servers that was not.
    pub(super) fn settle(
        &mut self,
        fingerprint: Fingerprint,
        subject: Subject,
        servers: Vec<Name>,
        now: Instant,
    ) -> Ruling {
        let before = self.newest.get(&fingerprint);
        // The next odd number, also where one of an earlier time is still here.
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

    /// Lets a request through again; `None` where it was not kept.
    pub(super) fn release(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Ruling> {
        let ruling = self.newest.get_mut(fingerprint)?;
        if !ruling.holds() {
            return None;
        }
        ruling.version += 1;
        ruling.since = now;
        Some(ruling.clone())
    }

    /// Takes in another host's ruling; tells whether it is newer than the one known here.
    pub(super) fn take(&mut self, ruling: Ruling, now: Instant) -> bool {
        if !ruling.is_in_force(self.kept, now) {
            return false;
        }
        match self.newest.get_mut(&ruling.fingerprint) {
            Some(known) if known.version >= ruling.version => {
                // What is told later seems younger than it is.
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

    /// How many requests are kept from the servers.
    pub(super) fn held(&self) -> usize {
        let held = self.newest.values().filter(|ruling| ruling.holds());
        held.count()
    }

    pub(super) fn digest(&self) -> u64 {
        let each = self.newest.values();
        each.fold(0, |digest, ruling| {
            let factor = 2 * u64::from(ruling.version) + 1;
            digest ^ ruling.fingerprint.prefix().wrapping_mul(factor)
        })
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        let kept = self.kept;
        self.newest
            .retain(|_, ruling| ruling.is_in_force(kept, now));
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
