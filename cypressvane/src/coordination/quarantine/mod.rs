//! Quarantine of requests under which servers end, also known as queries of death.
//!
//! The end of a server makes a suspect of every feature of the requests that ran there: of each request itself, and of
//! each part of its prompt that others may share. Most are innocent. A whole answer clears the features of its request.
//! A feature under which several servers ended, one after the other and without a whole answer in between, is
//! kept from all servers until the quarantine expires or it is released, if such a series is unlikely to have come by
//! chance. The narrowest feature that explains the ends is quarantined, and these count against no other one. Parts that
//! nothing has told apart are quarantined together: only requests with all of them are kept back. While a feature of
//! another request explains the ends of a part as well, there is no verdict on the part.
//!
//! The benefit: such requests cost the fleet as many servers as the evidence needs, instead of one per attempt. The cost:
//! an innocent feature that was present at each of these ends is refused too, until it is released. A feature that was
//! cleared before needs twice as many ends.

mod feature;
mod recent;
mod ruling;
mod suspect;
mod turn;

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

pub(crate) use feature::{Feature, Features, of_request};
use recent::{Recent, ServerEnd};
pub(crate) use ruling::{Ruling, Rulings};
use suspect::Otherwise;
pub(crate) use suspect::{End, Evidence, Suspect};
pub(crate) use turn::{Holder, Turns};

/// Most suspects that are remembered. This suits a fleet of 3,400 servers of which the 200 in one data centre end at
/// once with 20 requests each. At 250 bytes each the suspects take 1 MB.
const SUSPECTS_MAX: usize = 4_096;
/// Most suspects of one account, so that one account cannot evict all others.
const SUSPECTS_OF_ACCOUNT_MAX: usize = 512;
/// Most cleared features that are remembered; at 60 bytes each they take 0.5 MB.
const CLEARED_MAX: usize = 8_192;
/// Time after the first end under a feature from which any host tells of an answer that clears it. Before that, only
/// a few do, or all hosts would tell each other the same.
const CLEAR_DELAY: Duration = Duration::from_millis(200);
/// Factor by which the number of ends that quarantines a feature is higher if the feature was cleared before.
const CLEARED_FACTOR: usize = 2;

/// When a feature is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// Servers that end under a feature before it is quarantined; `None` if nothing ever is.
    pub(crate) ends: Option<usize>,
    /// How long suspects, cleared features and rulings are remembered.
    pub(crate) retention: Duration,
}

/// What operators see of a feature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    /// The client account of the first request that was seen with it; `None` on a public route.
    pub(crate) account: Option<Name>,
    /// The beginning of that request's path.
    pub(crate) path: Name,
    /// The beginning of the prompt's part; `None` if the feature is the whole request.
    pub(crate) part: Option<Name>,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    Free,
    /// It may run if no other request with one of its suspected features does on any host, and is not repeated.
    OneAtATime,
    /// It may not run for now, as a server has just ended under it.
    Deferred,
    /// It is kept from all servers, because of this feature.
    Kept(Fingerprint),
}

/// Result of recording the end of a server under a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndOutcome {
    /// Nothing changed.
    Nothing,
    /// The request's features are suspects; this is the evidence against the narrowest one with the most ends.
    Suspect(Evidence),
    /// A feature is quarantined from now on.
    Quarantined(Ruling),
}

/// Result of recording a whole answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnswerOutcome {
    /// The features that are suspects no longer.
    pub(crate) cleared: Vec<Fingerprint>,
    /// The features that are released from quarantine.
    pub(crate) released: Vec<Ruling>,
}

/// What the end of a server amounts to for one feature.
struct Weighed {
    fingerprint: Fingerprint,
    evidence: Evidence,
    is_proven: bool,
}

/// Requests that explain ends of servers beside the one that is weighed.
#[derive(Default)]
struct Rivals {
    all: Vec<Fingerprint>,
    /// Those with more ends in a series.
    stronger: Vec<Fingerprint>,
}

/// A host's state of suspects, cleared features and rulings.
#[derive(Debug)]
pub(crate) struct Quarantine {
    bounds: Bounds,
    suspects: HashMap<Fingerprint, Suspect>,
    /// When suspects were last answered whole, on this host or another.
    cleared: HashMap<Fingerprint, Instant>,
    rulings: Rulings,
    recent: Recent,
}

impl Quarantine {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            suspects: HashMap::new(),
            cleared: HashMap::new(),
            rulings: Rulings::new(bounds.retention),
            recent: Recent::default(),
        }
    }

    /// Whether there are no suspects and no rulings, so that no request needs a lookup.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.rulings.is_empty()
    }

    /// What may be done with a request that has the given features.
    pub(crate) fn access(&self, features: &[Feature], now: Instant) -> Access {
        if let Some(kept) = self.rulings.quarantined_feature(features, now) {
            return Access::Kept(kept);
        }
        let mut fingerprints = features.iter().map(|feature| &feature.fingerprint);
        let is_deferred = |fingerprint| {
            let suspect: Option<&Suspect> = self.suspects.get(fingerprint);
            suspect.is_some_and(|suspect| suspect.is_deferred(now))
        };
        if fingerprints.any(is_deferred) {
            return Access::Deferred;
        }
        if self.cautious(features, now).next().is_some() {
            return Access::OneAtATime;
        }
        Access::Free
    }

    /// The features of which one request at a time may run.
    pub(crate) fn cautious<'a>(
        &'a self,
        features: &'a [Feature],
        now: Instant,
    ) -> impl Iterator<Item = Fingerprint> + 'a {
        let fingerprints = features.iter().map(|feature| feature.fingerprint);
        fingerprints.filter(move |fingerprint| {
            let suspect = self.suspects.get(fingerprint);
            self.rulings.trial(fingerprint, features, now).is_some()
                || suspect.is_some_and(|suspect| suspect.calls_for_caution(now))
        })
    }

    /// Records that one of the `servers` of a pool ended while it ran a request with the given features, the narrowest first.
    pub(crate) fn ended(
        &mut self,
        features: &[Feature],
        subject: &Subject,
        end: &End,
        servers: usize,
        now: Instant,
    ) -> EndOutcome {
        if self.bounds.ends.is_none() {
            return EndOutcome::Nothing;
        }
        let fingerprints = features.iter().map(|feature| feature.fingerprint);
        let mut is_explained = self.recent.note(end, fingerprints);
        if self.rulings.quarantined_feature(features, now).is_some() {
            self.explain(std::slice::from_ref(end));
            is_explained = true;
        }
        if is_explained {
            return EndOutcome::Nothing;
        }
        let weighed: Vec<Weighed> = features
            .iter()
            .filter_map(|feature| {
                let weighed = self.suspect(feature, subject, end, servers, now)?;
                let trial = self.rulings.trial(&feature.fingerprint, features, now);
                let is_proven = weighed.is_proven || trial.is_some();
                Some(Weighed {
                    is_proven,
                    ..weighed
                })
            })
            .collect();
        let narrowest = weighed.iter().find(|weighed| weighed.is_proven);
        let verdict = narrowest.and_then(|narrowest| {
            let fingerprint = narrowest.fingerprint;
            let tried = self.rulings.trial(&fingerprint, features, now);
            let along_with = tried.or_else(|| self.tied_with(&fingerprint, features, end))?;
            Some((fingerprint, along_with))
        });
        let Some((fingerprint, along_with)) = verdict else {
            let evidence = weighed.iter().map(|weighed| weighed.evidence).rev();
            let strongest = evidence.max_by_key(|evidence| evidence.ends);
            return strongest.map_or(EndOutcome::Nothing, EndOutcome::Suspect);
        };
        self.quarantine(fingerprint, along_with, now)
    }

    /// The other parts of a request's prompt that explain the ends under a feature as well, so that only requests with all of
    /// them are kept from the servers.
    ///
    /// `None` if a feature of other requests explains them: the reported request may have run beside the harmful one, whose
    /// report of the latest end has not arrived yet. The next end without that feature, or a whole answer, decides.
    fn tied_with(
        &self,
        fingerprint: &Fingerprint,
        features: &[Feature],
        latest: &End,
    ) -> Option<Vec<Fingerprint>> {
        let suspect = self.suspects.get(fingerprint)?;
        if !suspect.is_part() {
            return Some(Vec::new());
        }
        let is_part_of_request = |other: &Fingerprint| {
            let mut parts = features.iter().filter(|feature| feature.part.is_some());
            parts.any(|part| part.fingerprint == *other)
        };
        let explaining = self
            .suspects
            .iter()
            .filter(|(other, it)| *other != fingerprint && it.explains(suspect, latest));
        let mut tied: Vec<Fingerprint> = explaining.map(|(other, _)| *other).collect();
        tied.sort();
        tied.iter().all(is_part_of_request).then_some(tied)
    }

    /// Records the end of a server under one feature; `None` if the report is known.
    fn suspect(
        &mut self,
        feature: &Feature,
        subject: &Subject,
        end: &End,
        servers: usize,
        now: Instant,
    ) -> Option<Weighed> {
        let fingerprint = feature.fingerprint;
        let ends_min = self.bounds.ends?;
        let was_cleared = self.was_cleared(&fingerprint, now);
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(subject);
        }
        let rivals = self.rivals(feature);
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| {
            let part = feature.part.clone();
            Suspect::new(Subject {
                part,
                ..subject.clone()
            })
        });
        if !suspect.add(end.clone()) {
            return None;
        }
        let recent = &self.recent;
        let since = suspect.first_end().unwrap_or(now);
        let background = |counts: &dyn Fn(&ServerEnd) -> bool| {
            recent.background(&end.pool, servers, since, now, counts)
        };
        let all = background(&|_| true);
        let (ends_min, otherwise) = if was_cleared {
            let otherwise = Otherwise {
                all,
                without: all,
                without_single: all,
            };
            (ends_min.saturating_mul(CLEARED_FACTOR), otherwise)
        } else {
            let single = suspect.single_ends();
            let is_single = |end: &ServerEnd| single.iter().any(|single| end.is_of(single));
            let is_open = |end: &ServerEnd| !end.involves_any(&rivals.all);
            let otherwise = Otherwise {
                all,
                without: background(&|end| !end.involves(&fingerprint) && is_open(end)),
                without_single: background(&|end| !is_single(end) && is_open(end)),
            };
            (ends_min, otherwise)
        };
        let (is_proven, evidence) = suspect.weigh(
            &otherwise,
            servers,
            ends_min,
            |end| recent.runs_at(end),
            |end| recent.involves_any(end, &rivals.stronger),
        );
        Some(Weighed {
            fingerprint,
            evidence,
            is_proven,
        })
    }

    /// The other requests under which servers end again and again. A part of prompts has none, as it may be what makes
    /// such requests harmful.
    fn rivals(&self, feature: &Feature) -> Rivals {
        if feature.part.is_some() {
            return Rivals::default();
        }
        let own = self.suspects.get(&feature.fingerprint);
        let series = own.map_or(0, Suspect::series);
        let rivals = self.suspects.iter().filter(|(fingerprint, it)| {
            **fingerprint != feature.fingerprint && !it.is_part() && it.is_in_series()
        });
        let mut found = Rivals::default();
        for (fingerprint, suspect) in rivals {
            found.all.push(*fingerprint);
            if suspect.series() > series + 1 {
                found.stronger.push(*fingerprint);
            }
        }
        found
    }

    /// Quarantines requests that have a suspect's feature and some others.
    fn quarantine(
        &mut self,
        fingerprint: Fingerprint,
        along_with: Vec<Fingerprint>,
        now: Instant,
    ) -> EndOutcome {
        let Some(suspect) = self.suspects.remove(&fingerprint) else {
            return EndOutcome::Nothing;
        };
        self.explain(suspect.ends());
        let (servers, subject) = (suspect.servers(), suspect.subject);
        let rulings = &mut self.rulings;
        EndOutcome::Quarantined(rulings.quarantine(fingerprint, along_with, subject, servers, now))
    }

    /// Takes ends that are explained by something that is quarantined off the evidence against all else.
    fn explain(&mut self, explained: &[End]) {
        for end in explained {
            self.recent.explain(end);
        }
        self.suspects.retain(|_, suspect| {
            suspect.discount(explained);
            !suspect.ends().is_empty()
        });
    }

    /// Records that a request with the given features was answered whole. `tells_first` says whether this host is one of
    /// the few that tell the others of it at once.
    pub(crate) fn answered(
        &mut self,
        features: &[Feature],
        tells_first: impl Fn(&Fingerprint) -> bool,
        now: Instant,
    ) -> AnswerOutcome {
        let mut outcome = AnswerOutcome::default();
        for feature in features {
            let fingerprint = &feature.fingerprint;
            let is_tried = self.rulings.trial(fingerprint, features, now).is_some();
            let first_end = self.suspects.get(fingerprint).and_then(Suspect::first_end);
            let is_cleared = first_end.is_some_and(|first| {
                now.saturating_duration_since(first) >= CLEAR_DELAY || tells_first(fingerprint)
            });
            if is_tried || is_cleared {
                self.clear(fingerprint, now);
                outcome.cleared.push(*fingerprint);
            }
        }
        outcome.released = self.rulings.release_answered(features, now);
        for released in &outcome.released {
            self.recent.reopen(&released.fingerprint);
        }
        outcome
    }

    /// Records that a request with a suspected feature was answered whole, on this host or another.
    pub(crate) fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) {
        self.suspects.remove(fingerprint);
        self.rulings.end_trial(fingerprint);
        self.cleared.insert(*fingerprint, now);
        if self.cleared.len() > CLEARED_MAX {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&oldest);
            }
        }
    }

    /// Releases a feature for an operator; `None` if it was not quarantined. One more end quarantines it again.
    pub(crate) fn release(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Ruling> {
        self.suspects.remove(fingerprint);
        self.recent.reopen(fingerprint);
        self.rulings.release(fingerprint, true, now)
    }

    /// Merges another host's ruling; returns whether it was new.
    pub(crate) fn merge(&mut self, ruling: Ruling, now: Instant) -> bool {
        let fingerprint = ruling.fingerprint;
        let is_quarantined = ruling.is_quarantined();
        let is_new = self.rulings.merge(ruling, now);
        if is_new
            && let Some(suspect) = self.suspects.remove(&fingerprint)
            && is_quarantined
        {
            self.explain(suspect.ends());
        }
        is_new
    }

    /// Returns all rulings, including those that released a feature.
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

    /// Removes expired entries; returns how many features are still quarantined.
    pub(crate) fn sweep(&mut self, now: Instant) -> usize {
        let retention = self.bounds.retention;
        self.suspects.retain(|_, suspect| {
            suspect
                .last_end()
                .is_some_and(|last| now.saturating_duration_since(last) < retention)
        });
        self.cleared
            .retain(|_, at| now.saturating_duration_since(*at) < retention);
        self.recent.sweep(now);
        self.rulings.sweep(now);
        self.rulings.quarantined()
    }

    /// Whether a request with the feature was answered whole after a server had ended under it, within the time that this is
    /// remembered.
    fn was_cleared(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let at = self.cleared.get(fingerprint);
        at.is_some_and(|at| now.saturating_duration_since(*at) < self.bounds.retention)
    }

    /// Evicts the suspect with the least evidence of the account if the account has too many, or of all accounts if
    /// there are too many.
    fn make_room(&mut self, subject: &Subject) {
        let of_account = |suspect: &Suspect| suspect.subject.account == subject.account;
        let count = self.suspects.values().filter(|it| of_account(it)).count();
        let weakest = if count >= SUSPECTS_OF_ACCOUNT_MAX {
            self.weakest_matching(of_account)
        } else if self.suspects.len() >= SUSPECTS_MAX {
            self.weakest_matching(|_| true)
        } else {
            None
        };
        if let Some(weakest) = weakest {
            self.suspects.remove(&weakest);
        }
    }

    fn weakest_matching(&self, predicate: impl Fn(&Suspect) -> bool) -> Option<Fingerprint> {
        let matching = self.suspects.iter().filter(|(_, it)| predicate(it));
        let weakest = matching.min_by_key(|(_, it)| (it.ends().len(), it.last_end()));
        weakest.map(|(fingerprint, _)| *fingerprint)
    }
}

#[cfg(test)]
#[path = "../quarantine_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "../quarantine_parts_tests.rs"]
mod parts_tests;

#[cfg(test)]
#[path = "../quarantine_history_tests.rs"]
mod history_tests;

#[cfg(test)]
#[path = "../quarantine_request_history_tests.rs"]
mod request_history_tests;
