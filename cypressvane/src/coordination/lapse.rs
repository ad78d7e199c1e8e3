//! Backend servers whose entries lapsed because the host list itself was away.
//!
//! Servers renew their entries, so that a list which was away for long comes back without them. They
//! are back in it shortly after; until then they are taken as there.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind, Presence};

/// How long entries that lapsed are kept: the users' sites have servers back in the list within two
/// seconds.
const KEPT_FOR: Duration = Duration::from_secs(2);
/// Part of a service's servers that do not leave in one moment by themselves.
const MANY: f64 = 0.5;
/// Fewest servers of which such a part is a sign.
const MANY_MIN: usize = 2;

/// The entries that are kept though the list does not have them.
#[derive(Debug, Default)]
pub struct Lapse {
    last: HashMap<Name, Entry>,
    kept: HashMap<Name, (Entry, Instant)>,
}

impl Lapse {
    /// Adds to what was listed the servers that are taken as there; `back` is when the list was
    /// there again after it was away.
    pub fn merge(
        &mut self,
        mut listed: Vec<Entry>,
        back: Option<Instant>,
        now: Instant,
    ) -> Vec<Entry> {
        let is_back = back.filter(|at| now.saturating_duration_since(*at) < KEPT_FOR);
        let names: HashSet<&Name> = listed.iter().map(|entry| &entry.name).collect();
        let is_missing = |entry: &&Entry| {
            entry.kind == Kind::Backend
                && entry.presence == Presence::Live
                && !names.contains(&entry.name)
        };
        let missing: Vec<Entry> = self.last.values().filter(is_missing).cloned().collect();
        for entry in &missing {
            let of_service = |other: &&Entry| other.service == entry.service;
            let gone = missing.iter().filter(of_service).count();
            let were = self.last.values().filter(of_service).count();
            let many = gone >= MANY_MIN && as_part(gone, were) > MANY;
            if is_back.is_some() || many {
                let until = is_back.unwrap_or(now) + KEPT_FOR;
                let kept = (entry.clone(), until);
                self.kept.entry(entry.name.clone()).or_insert(kept);
            }
        }
        self.kept
            .retain(|name, (_, until)| !names.contains(name) && now < *until);
        self.last = listed
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()))
            .collect();
        listed.extend(self.kept.values().map(|(entry, _)| entry.clone()));
        listed
    }

    /// When the first of the kept entries is given up.
    #[must_use]
    pub fn ends(&self) -> Option<Instant> {
        self.kept.values().map(|(_, until)| *until).min()
    }
}

fn as_part(count: usize, of: usize) -> f64 {
    #[allow(
        clippy::cast_precision_loss,
        reason = "numbers of servers are far below 52 bits"
    )]
    let part = count as f64 / of.max(1) as f64;
    part
}
