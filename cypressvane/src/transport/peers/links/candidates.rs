//! The hosts that may be homes, and the changes of this set.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use super::Links;
use super::link::{Ineligibility, Link};
use crate::coordination::home;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Most cached homes. Sites are planned with 33,000 accounts; recently used ones find room, since the cache is emptied
/// whenever the hosts change.
const CACHED_HOMES_MAX: usize = 16_384;

/// The hosts that may be homes, with a cache of the homes computed from them.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Sorted by name.
    pub(super) hosts: Vec<Name>,
    /// Cached homes by subject, since computing one takes a hash for each host.
    homes: Mutex<HashMap<Name, Name>>,
}

impl Candidates {
    pub(super) fn of(hosts: Vec<Name>) -> Self {
        Self {
            hosts,
            homes: Mutex::default(),
        }
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
    pub(super) fn ineligibility(
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
        link.ineligibility(self.suspect_after(), now)
            .unwrap_or(Ineligibility::Silent)
    }
}
