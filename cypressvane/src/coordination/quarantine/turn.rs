//! Turns of requests that share a suspected feature, of which one at a time runs on all hosts.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Longest time for which a turn is given; its holder may never give it back.
const LEASE_MAX: Duration = Duration::from_secs(600);

/// The request that has a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host: Name,
    /// Identifies the turn among those of the host.
    pub(crate) sequence: u64,
}

/// The turns that this host has given, by feature.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    given: HashMap<Fingerprint, Given>,
}

#[derive(Debug)]
struct Given {
    holder: Holder,
    /// When another request may have the turn, even if it was not given back.
    until: Instant,
}

impl Turns {
    /// Gives the turns of all `features` to a request for the time of `lease`, unless another request has one of them;
    /// returns whether it did.
    pub(crate) fn take(
        &mut self,
        features: &[Fingerprint],
        holder: &Holder,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let is_taken = |feature: &Fingerprint| {
            let given = self.given.get(feature);
            given.is_some_and(|given| given.holder != *holder && now < given.until)
        };
        if features.iter().any(is_taken) {
            return false;
        }
        // No clock reaches its end within ten minutes.
        let until = now.checked_add(lease.min(LEASE_MAX)).unwrap_or(now);
        for feature in features {
            let holder = holder.clone();
            self.given.insert(*feature, Given { holder, until });
        }
        true
    }

    /// Takes back the turns of a request.
    pub(crate) fn give_back(&mut self, holder: &Holder) {
        self.given.retain(|_, given| given.holder != *holder);
    }

    /// Takes back the turns of a host that was restarted.
    pub(crate) fn forget(&mut self, host: &Name) {
        self.given.retain(|_, given| given.holder.host != *host);
    }

    /// Drops turns whose time is over.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.given.retain(|_, given| now < given.until);
    }
}

#[cfg(test)]
#[path = "../quarantine_turn_tests.rs"]
mod tests;
