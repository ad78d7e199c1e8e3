//! Quarantine of requests under which servers end, also known as queries of death.
//!
//! The end of a server makes a suspect of every request that ran there, most of which did not cause it. A whole
//! answer clears a suspect. A request under which several servers ended, one after the other and without a whole
//! answer in between, is kept from all servers until the quarantine expires or it is released.
//!
//! The benefit: a caller that repeats such a request costs the fleet as many servers as the bound allows, instead of
//! one per attempt. The cost: an innocent request that ran at each of these servers is refused too, until it is
//! released. A request that many callers send is present at many ends, so it takes twice as many ends to quarantine a
//! request that was cleared before.

mod ruling;
mod suspect;

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

pub(crate) use ruling::{Ruling, Rulings};
pub(crate) use suspect::{End, Suspect};

/// Most suspects that are remembered. This suits a fleet of 3,400 servers of which the 200 in one data centre end at
/// once with 20 requests each. At 250 bytes each the suspects take 1 MB.
const SUSPECTS_MAX: usize = 4_096;
/// Most suspects of one account, so that one account cannot evict all others.
const SUSPECTS_OF_ACCOUNT_MAX: usize = 512;
/// Most cleared requests that are remembered; at 60 bytes each they take 0.5 MB.
const CLEARED_MAX: usize = 8_192;
/// Factor by which the number of ends that quarantines a request is higher if the request was cleared before.
const CLEARED_FACTOR: usize = 2;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// Servers that end under a request before it is quarantined; `None` if no request ever is.
    pub(crate) ends: Option<usize>,
    /// How long suspects, cleared requests and rulings are remembered.
    pub(crate) retention: Duration,
}

/// What operators see of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    /// The client account; `None` on a public route.
    pub(crate) account: Option<Name>,
    /// The beginning of the path.
    pub(crate) path: Name,
}

/// Result of recording the end of a server under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EndOutcome {
    /// Nothing changed.
    Nothing,
    /// The request is a suspect; this many servers have ended under it.
    Suspect(usize),
    /// The request is quarantined from now on.
    Quarantined(Ruling),
}

/// Result of recording a whole answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOutcome {
    /// The request was no suspect.
    Nothing,
    /// The request is no longer a suspect.
    Suspicion,
    /// The request is released from quarantine.
    Ruling(Ruling),
}

/// A host's state of suspects, cleared requests and rulings.
#[derive(Debug)]
pub(crate) struct Quarantine {
    bounds: Bounds,
    suspects: HashMap<Fingerprint, Suspect>,
    /// When suspects were last answered whole, on this host or another.
    cleared: HashMap<Fingerprint, Instant>,
    rulings: Rulings,
}

impl Quarantine {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            suspects: HashMap::new(),
            cleared: HashMap::new(),
            rulings: Rulings::new(bounds.retention),
        }
    }

    /// Whether there are no suspects and no rulings, so that no request needs a lookup.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.rulings.is_empty()
    }

    /// Whether a request is quarantined.
    pub(crate) fn is_quarantined(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        self.rulings.is_quarantined(fingerprint, now)
    }

    /// Records that a server ended while it ran a request.
    pub(crate) fn ended(
        &mut self,
        fingerprint: Fingerprint,
        subject: &Subject,
        end: End,
        now: Instant,
    ) -> EndOutcome {
        let Some(ends_min) = self.bounds.ends else {
            return EndOutcome::Nothing;
        };
        if self.is_quarantined(&fingerprint, now) {
            return EndOutcome::Nothing;
        }
        let ends_min = if self.was_cleared(&fingerprint, now) {
            ends_min * CLEARED_FACTOR
        } else {
            ends_min
        };
        let is_new = !self.suspects.contains_key(&fingerprint);
        if is_new {
            self.make_room(subject);
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(subject.clone()));
        if !suspect.add(end) {
            return EndOutcome::Nothing;
        }
        if !suspect.ends_servers(ends_min) {
            return EndOutcome::Suspect(suspect.distinct_ends());
        }
        let servers = suspect.servers();
        self.suspects.remove(&fingerprint);
        EndOutcome::Quarantined(
            self.rulings
                .quarantine(fingerprint, subject.clone(), servers, now),
        )
    }

    /// Records that a request was answered whole.
    pub(crate) fn answered(&mut self, fingerprint: &Fingerprint, now: Instant) -> AnswerOutcome {
        let was_suspect = self.suspects.contains_key(fingerprint);
        if was_suspect {
            self.clear(fingerprint, now);
        }
        match self.release(fingerprint, now) {
            Some(ruling) => AnswerOutcome::Ruling(ruling),
            None if was_suspect => AnswerOutcome::Suspicion,
            None => AnswerOutcome::Nothing,
        }
    }

    /// Records that a suspect was answered whole, on this host or another.
    pub(crate) fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) {
        self.suspects.remove(fingerprint);
        self.cleared.insert(*fingerprint, now);
        if self.cleared.len() > CLEARED_MAX {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&oldest);
            }
        }
    }

    /// Releases a request; `None` if it was not quarantined.
    pub(crate) fn release(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Ruling> {
        self.suspects.remove(fingerprint);
        self.rulings.release(fingerprint, now)
    }

    /// Merges another host's ruling; returns whether it was new.
    pub(crate) fn merge(&mut self, ruling: Ruling, now: Instant) -> bool {
        let fingerprint = ruling.fingerprint;
        let is_new = self.rulings.merge(ruling, now);
        if is_new {
            self.suspects.remove(&fingerprint);
        }
        is_new
    }

    /// Returns all rulings, including those that released a request.
    pub(crate) fn rulings(&self) -> Vec<Ruling> {
        self.rulings.all()
    }

    /// Returns all suspects with their fingerprints.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// Returns a digest that is the same on hosts with the same rulings.
    pub(crate) fn digest(&self) -> u64 {
        self.rulings.digest()
    }

    /// Removes expired entries; returns how many requests are still quarantined.
    pub(crate) fn sweep(&mut self, now: Instant) -> usize {
        let retention = self.bounds.retention;
        self.suspects.retain(|_, suspect| {
            suspect
                .last_end()
                .is_some_and(|last| now.saturating_duration_since(last) < retention)
        });
        self.cleared
            .retain(|_, at| now.saturating_duration_since(*at) < retention);
        self.rulings.sweep(now);
        self.rulings.quarantined()
    }

    /// Whether a request was answered whole after a server had ended under it, within the time that this is
    /// remembered.
    fn was_cleared(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let at = self.cleared.get(fingerprint);
        at.is_some_and(|at| now.saturating_duration_since(*at) < self.bounds.retention)
    }

    /// Evicts the oldest suspect of the account if the account has too many, or of all accounts if there are too
    /// many.
    fn make_room(&mut self, subject: &Subject) {
        let of_account = |suspect: &Suspect| suspect.subject.account == subject.account;
        let count = self.suspects.values().filter(|it| of_account(it)).count();
        let oldest = if count >= SUSPECTS_OF_ACCOUNT_MAX {
            self.oldest_matching(of_account)
        } else if self.suspects.len() >= SUSPECTS_MAX {
            self.oldest_matching(|_| true)
        } else {
            None
        };
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }

    fn oldest_matching(&self, predicate: impl Fn(&Suspect) -> bool) -> Option<Fingerprint> {
        let matching = self.suspects.iter().filter(|(_, it)| predicate(it));
        let oldest = matching.min_by_key(|(_, suspect)| suspect.last_end());
        oldest.map(|(fingerprint, _)| *fingerprint)
    }
}

#[cfg(test)]
#[path = "../quarantine_tests.rs"]
mod tests;
