//! Backend servers whose entries expired because the host list itself was unavailable.
//!
//! Servers renew their entries, so a host list that was unavailable for long comes back without them. They register
//! again shortly after; until then their last entries are retained.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind, Presence};

/// How long expired entries are retained: at the users' sites, servers are back in the list within two seconds.
pub(crate) const RETAINED_FOR: Duration = Duration::from_secs(2);
/// Number of servers of a service from which their simultaneous disappearance counts as expiry if none is left. While one
/// is left, it takes the work.
const MASS_EXPIRY_MIN: usize = 2;

/// Entries that are retained although the host list no longer has them.
#[derive(Debug, Default)]
pub struct Retention {
    /// The host list as last read.
    last: HashMap<Name, Entry>,
    /// Retained entries, each with the time at which it is dropped.
    retained: HashMap<Name, (Entry, Instant)>,
}

impl Retention {
    /// Adds the retained entries to `listed`, the host list as read now.
    ///
    /// `recovered_at` is when the platform answered again after its last outage, if there was one.
    pub fn merge(
        &mut self,
        mut listed: Vec<Entry>,
        recovered_at: Option<Instant>,
        now: Instant,
    ) -> Vec<Entry> {
        let recent_recovery =
            recovered_at.filter(|at| now.saturating_duration_since(*at) < RETAINED_FOR);
        let names: HashSet<&Name> = listed.iter().map(|entry| &entry.name).collect();
        let is_missing = |entry: &&Entry| {
            entry.kind == Kind::Backend
                && entry.presence == Presence::Live
                && !names.contains(&entry.name)
        };
        let missing: Vec<Entry> = self.last.values().filter(is_missing).cloned().collect();
        let live = listed
            .iter()
            .filter(|entry| entry.kind == Kind::Backend && entry.presence == Presence::Live);
        let served: HashSet<&Option<Name>> = live.map(|entry| &entry.service).collect();
        for entry in &missing {
            let of_service = |other: &&Entry| other.service == entry.service;
            let missing_count = missing.iter().filter(of_service).count();
            let is_mass_expiry =
                missing_count >= MASS_EXPIRY_MIN && !served.contains(&entry.service);
            if recent_recovery.is_some() || is_mass_expiry {
                let until = recent_recovery.unwrap_or(now) + RETAINED_FOR;
                let retained = (entry.clone(), until);
                self.retained.entry(entry.name.clone()).or_insert(retained);
            }
        }
        self.retained
            .retain(|name, (_, until)| !names.contains(name) && now < *until);
        self.last = listed
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()))
            .collect();
        listed.extend(self.retained.values().map(|(entry, _)| entry.clone()));
        listed
    }

    /// Number of retained entries.
    #[must_use]
    pub fn count(&self) -> usize {
        self.retained.len()
    }

    /// When the next retained entry is dropped.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.retained.values().map(|(_, until)| *until).min()
    }
}
