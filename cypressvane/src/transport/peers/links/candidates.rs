//! The hosts that may be homes, and the changes of this set.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use super::Links;
use super::link::{Ineligibility, Link};
use crate::coordination::home;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Most cached homes, of the 33,000 accounts that sites are planned with.
const CACHED_HOMES_MAX: usize = 16_384;

/// Part of the hosts, as a divisor, beyond which the cached homes are dropped when so many hosts are gained at once.
const GAINED_FACTOR: usize = 8;

/// The hosts that may be homes, with a cache of the homes computed from them.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Sorted by name.
    pub(super) hosts: Vec<Name>,
    /// Cached homes by subject, since computing one takes a hash for each host.
    homes: Mutex<HashMap<Name, Name>>,
    /// Cached hosts by subject, for what a few hosts keep together.
    spreads: Mutex<HashMap<Name, Arc<[Name]>>>,
}

impl Candidates {
    pub(super) fn of(hosts: Vec<Name>) -> Self {
        Self {
            hosts,
            homes: Mutex::default(),
            spreads: Mutex::default(),
        }
    }

    /// The first `count` hosts for a subject, in different data centres where possible.
    pub(super) fn spread(
        &self,
        subject: &str,
        count: usize,
        data_centre_of: impl Fn(&Name) -> Option<Name>,
    ) -> Arc<[Name]> {
        if let Some(spread) = lock(&self.spreads).get(subject) {
            return Arc::clone(spread);
        }
        let hosts = self.hosts.iter();
        let hosts: Vec<(Name, Option<Name>)> = hosts
            .map(|host| (host.clone(), data_centre_of(host)))
            .collect();
        let spread: Arc<[Name]> = home::spread(subject, &hosts, count).into();
        lock(&self.spreads).insert(subject.into(), Arc::clone(&spread));
        spread
    }

    /// The home of a subject; `None` if there are no hosts.
    pub(super) fn home_of(&self, subject: &str) -> Option<Name> {
        let mut homes = lock(&self.homes);
        if let Some(home) = homes.get(subject) {
            return Some(home.clone());
        }
        let home = home::of(subject, &self.hosts)?.clone();
        if homes.len() < CACHED_HOMES_MAX {
            homes.insert(subject.into(), home.clone());
        }
        Some(home)
    }

    /// Whether a host may be a home.
    pub(super) fn contains(&self, host: &Name) -> bool {
        self.hosts.binary_search(host).is_ok()
    }

    /// The candidates after `changes`, with the cached homes that these leave as they are. A host that was gained takes
    /// the subjects for which it is preferred; the homes of the subjects that a lost host had are computed when needed.
    pub(super) fn succeeded_by(&self, hosts: Vec<Name>, changes: &CandidateChanges) -> Self {
        let later = Self::of(hosts);
        // Recomputing the homes takes less time than comparing each with many hosts.
        if changes.gained.len() * GAINED_FACTOR > later.hosts.len() {
            return later;
        }
        let homes = lock(&self.homes);
        let kept = homes
            .iter()
            .filter(|(_, home)| changes.lost.iter().all(|(lost, _)| lost != *home));
        let kept = kept.map(|(subject, home)| {
            let preferred = changes.gained.iter().fold(home, |best, gained| {
                if home::is_preferred(subject, gained, best) {
                    gained
                } else {
                    best
                }
            });
            (subject.clone(), preferred.clone())
        });
        Self {
            homes: Mutex::new(kept.collect()),
            ..later
        }
    }

    /// The changes to a later list, which is sorted too; `ineligibility` returns why a host is no longer in it.
    pub(super) fn changes(
        &self,
        later: &[Name],
        ineligibility: impl Fn(&Name) -> Ineligibility,
    ) -> CandidateChanges {
        let lost = self
            .hosts
            .iter()
            .filter(|name| later.binary_search(name).is_err());
        let gained = later
            .iter()
            .filter(|name| self.hosts.binary_search(name).is_err());
        CandidateChanges {
            gained: gained.cloned().collect(),
            lost: lost
                .map(|name| (name.clone(), ineligibility(name)))
                .collect(),
        }
    }
}

/// A change of the hosts that may be homes.
#[derive(Debug)]
pub(crate) struct CandidateChanges {
    /// Hosts that may be homes from now on.
    pub(crate) gained: Vec<Name>,
    /// Hosts that may no longer be homes, and why.
    pub(crate) lost: Vec<(Name, Ineligibility)>,
}

impl Links {
    /// Why a host may no longer be a home.
    pub(super) fn ineligibility_of(
        &self,
        links: &HashMap<Name, Arc<Link>>,
        name: &Name,
        now: Instant,
    ) -> Ineligibility {
        if *name == self.me.name {
            return Ineligibility::Leaving;
        }
        let Some(link) = links.get(name) else {
            return Ineligibility::Gone;
        };
        // The host has become eligible again since the list was made, so it was silent until just now.
        self.ineligibility(link, now)
            .unwrap_or(Ineligibility::Silent)
    }
}
