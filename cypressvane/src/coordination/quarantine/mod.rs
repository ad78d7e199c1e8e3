//! Requests under which servers end, known as queries of death: which are kept from the servers.
//!
//! Each end of a server makes suspects of all requests that ran there, most of which had nothing to do with
//! it. A whole answer clears a suspect; one under which several servers ended, one after the other and without
//! a whole answer between, is kept from all servers until a time is over or it is released.
//!
//! What that buys: a caller that sends such a request again and again costs the fleet as many servers as the
//! bound says, and not one with each attempt. What it may cost: an innocent request that was there each
//! time is refused too, until it is released. One that many callers send is there at many ends, so a request that was
//! cleared before is kept back after twice as many.

mod ruling;
mod suspect;

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

pub(crate) use ruling::{Ruling, Rulings};
pub(crate) use suspect::{End, Suspect};

/// Most suspects that are remembered: 3,400 servers of which a data centre's 200 end at once with 20
/// requests each. At 250 bytes each they take 1 MB.
const SUSPECTS_MAX: usize = 4_096;
/// Most suspects of one account, so that one cannot push out all others.
const SUSPECTS_OF_ACCOUNT_MAX: usize = 512;
/// Most requests that are remembered as cleared; at 60 bytes each they take 0.5 MB.
const CLEARED_MAX: usize = 8_192;
/// How many times as many ends speak against a request that was cleared before.
const CLEARED_FACTOR: usize = 2;

/// When a request is kept from the servers, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// Servers that end under a request before it is kept from all; `None` where none ever is.
    pub(crate) ends: Option<usize>,
    /// How long what was seen is remembered.
    pub(crate) kept: Duration,
}

/// What operators are told of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    /// Its client account; `None` on a public route.
    pub(crate) account: Option<Name>,
    /// The beginning of its path.
    pub(crate) path: Name,
}

/// What the end of a server has shown of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Shown {
    /// Nothing new.
    Nothing,
    /// So many servers have ended under it.
    Suspect(usize),
    /// It is kept from the servers from now on.
    Settled(Ruling),
}

/// What a whole answer has shown of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Cleared {
    /// It was no suspect.
    Nothing,
    /// It is no suspect any more.
    Suspicion,
    /// It is let through again.
    Ruling(Ruling),
}

/// What a host knows of requests under which servers end.
#[derive(Debug)]
pub(crate) struct Quarantine {
    bounds: Bounds,
    suspects: HashMap<Fingerprint, Suspect>,
    /// When suspects were answered whole last, also those of other hosts.
    cleared: HashMap<Fingerprint, Instant>,
    rulings: Rulings,
}

impl Quarantine {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            suspects: HashMap::new(),
            cleared: HashMap::new(),
            rulings: Rulings::new(bounds.kept),
        }
    }

    /// Whether nothing is known of any request, so that none needs to be looked up.
    pub(crate) fn is_calm(&self) -> bool {
        self.suspects.is_empty() && self.rulings.is_empty()
    }

    /// Whether a request is kept from the servers.
    pub(crate) fn holds(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        self.rulings.holds(fingerprint, now)
    }

    /// Takes in that a server ended while it ran a request.
    pub(crate) fn ended(
        &mut self,
        fingerprint: Fingerprint,
        subject: &Subject,
        end: End,
        now: Instant,
    ) -> Shown {
        let Some(most) = self.bounds.ends else {
            return Shown::Nothing;
        };
        if self.holds(&fingerprint, now) {
            return Shown::Nothing;
        }
        let most = if self.was_cleared(&fingerprint, now) {
            most * CLEARED_FACTOR
        } else {
            most
        };
        let is_new = !self.suspects.contains_key(&fingerprint);
        if is_new {
            self.make_room(subject);
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(subject.clone()));
        if !suspect.add(end) {
            return Shown::Nothing;
        }
        if !suspect.is_guilty(most) {
            return Shown::Suspect(suspect.ends_apart());
        }
        let servers = suspect.servers();
        self.suspects.remove(&fingerprint);
        Shown::Settled(
            self.rulings
                .settle(fingerprint, subject.clone(), servers, now),
        )
    }

    /// Takes in that a request was answered whole.
    pub(crate) fn answered(&mut self, fingerprint: &Fingerprint, now: Instant) -> Cleared {
        let was_suspect = self.suspects.contains_key(fingerprint);
        if was_suspect {
            self.forgive(fingerprint, now);
        }
        match self.release(fingerprint, now) {
            Some(ruling) => Cleared::Ruling(ruling),
            None if was_suspect => Cleared::Suspicion,
            None => Cleared::Nothing,
        }
    }

    /// Takes in that a suspect of another host was answered whole there.
    pub(crate) fn forgive(&mut self, fingerprint: &Fingerprint, now: Instant) {
        self.suspects.remove(fingerprint);
        self.cleared.insert(*fingerprint, now);
        if self.cleared.len() > CLEARED_MAX {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&oldest);
            }
        }
    }

    /// Lets a request through again; `None` where it was not kept from the servers.
    pub(crate) fn release(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Ruling> {
        self.suspects.remove(fingerprint);
        self.rulings.release(fingerprint, now)
    }

    /// Takes in what another host has ruled; tells whether that is news.
    pub(crate) fn hear(&mut self, ruling: Ruling, now: Instant) -> bool {
        let fingerprint = ruling.fingerprint;
        let is_news = self.rulings.take(ruling, now);
        if is_news {
            self.suspects.remove(&fingerprint);
        }
        is_news
    }

    /// All rulings, those that let a request through again included.
    pub(crate) fn rulings(&self) -> Vec<Ruling> {
        self.rulings.all()
    }

    /// All suspects, each with its fingerprint.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// The same number on two hosts that know the same rulings.
    pub(crate) fn digest(&self) -> u64 {
        self.rulings.digest()
    }

    /// Forgets what is too old; gives how many requests are still kept from the servers.
    pub(crate) fn sweep(&mut self, now: Instant) -> usize {
        let kept = self.bounds.kept;
        self.suspects.retain(|_, suspect| {
            suspect
                .last()
                .is_some_and(|last| now.saturating_duration_since(last) < kept)
        });
        self.cleared
            .retain(|_, at| now.saturating_duration_since(*at) < kept);
        self.rulings.sweep(now);
        self.rulings.held()
    }

    /// Whether a request was answered whole after a server had ended under it, as long as that is remembered.
    fn was_cleared(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let at = self.cleared.get(fingerprint);
        at.is_some_and(|at| now.saturating_duration_since(*at) < self.bounds.kept)
    }

    /// Forgets the oldest suspect of an account that has too many, or of all.
    fn make_room(&mut self, subject: &Subject) {
        let of_account = |suspect: &Suspect| suspect.subject.account == subject.account;
        let theirs = self.suspects.values().filter(|it| of_account(it)).count();
        let oldest = if theirs >= SUSPECTS_OF_ACCOUNT_MAX {
            self.oldest(of_account)
        } else if self.suspects.len() >= SUSPECTS_MAX {
            self.oldest(|_| true)
        } else {
            None
        };
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }

    fn oldest(&self, is_meant: impl Fn(&Suspect) -> bool) -> Option<Fingerprint> {
        let meant = self.suspects.iter().filter(|(_, it)| is_meant(it));
        let oldest = meant.min_by_key(|(_, suspect)| suspect.last());
        oldest.map(|(fingerprint, _)| *fingerprint)
    }
}

#[cfg(test)]
#[path = "../quarantine_tests.rs"]
mod tests;
