//! The hosts that may be homes, and how that changes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use super::Links;
use super::link::{Link, Unfit};
use crate::coordination::home;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Most homes that are kept after they were looked up: 33,000 accounts are the plan's; those met lately
/// find room, since each change of the hosts begins anew.
const HOMES_MAX: usize = 16_384;

/// The hosts that may be homes, with the homes that were looked up among them.
#[derive(Debug, Default)]
pub(super) struct Well {
    /// Sorted.
    pub(super) hosts: Vec<Name>,
    /// By subject: finding one takes a hash for each host.
    homes: Mutex<HashMap<Name, Name>>,
}

impl Well {
    pub(super) fn of(hosts: Vec<Name>) -> Self {
        Self {
            hosts,
            homes: Mutex::default(),
        }
    }

    /// The home of a subject; `None` when there are no hosts.
    pub(super) fn home_of(&self, subject: &str) -> Option<Name> {
        let mut homes = lock(&self.homes);
        if let Some(home) = homes.get(subject) {
            return Some(home.clone());
        }
        let home = home::of(subject, &self.hosts)?.clone();
        if homes.len() < HOMES_MAX {
            homes.insert(subject.into(), home.clone());
        }
        Some(home)
    }

    /// What is otherwise in a later list, which is sorted too; `unfit` says why a host is not in it.
    pub(super) fn moves(&self, later: &[Name], unfit: impl Fn(&Name) -> Unfit) -> Moves {
        let lost = self
            .hosts
            .iter()
            .filter(|name| later.binary_search(name).is_err());
        let gained = later
            .iter()
            .filter(|name| self.hosts.binary_search(name).is_err());
        Moves {
            gained: gained.cloned().collect(),
            lost: lost.map(|name| (name.clone(), unfit(name))).collect(),
        }
    }
}

/// A change of the hosts that may be homes.
#[derive(Debug)]
pub(crate) struct Moves {
    /// Those that may be from now on.
    pub(crate) gained: Vec<Name>,
    /// Those that may not be any more, and why.
    pub(crate) lost: Vec<(Name, Unfit)>,
}

impl Links {
    /// Why a host is no longer given homes.
    pub(super) fn unfit(
        &self,
        links: &HashMap<Name, Arc<Link>>,
        name: &Name,
        now: Instant,
    ) -> Unfit {
        if *name == self.me.name {
            return Unfit::Leaving;
        }
        let Some(link) = links.get(name) else {
            return Unfit::Gone;
        };
        // Well again within the same look: it was silent until just now.
        link.unfit(self.suspect_after(), now)
            .unwrap_or(Unfit::Silent)
    }
}
