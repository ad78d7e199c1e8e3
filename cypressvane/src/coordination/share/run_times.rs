//! Running times of the requests of each account and kind.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::admission::Kind;
use crate::coordination::estimate::Estimate;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Maximum number of account and kind pairs whose running times are known.
const PAIRS_MAX: usize = 4_096;
/// Maximum number of kinds, since a policy may return any priority.
const KINDS_MAX: usize = 256;
/// Time without an answer after which a pair makes room for another.
const RETENTION: Duration = Duration::from_secs(60);

/// Learned running times, in seconds.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    by_account: HashMap<Name, HashMap<Kind, Learned>>,
    /// Number of pairs in `by_account`.
    pairs: usize,
    by_kind: HashMap<Kind, Estimate>,
}

#[derive(Debug)]
struct Learned {
    estimate: Estimate,
    noted: Instant,
}

impl RunTimes {
    /// Records the running time of a request.
    pub(super) fn note(&mut self, account: &Name, kind: Kind, ran: Duration, now: Instant) {
        let seconds = ran.as_secs_f64();
        if self.by_kind.len() < KINDS_MAX || self.by_kind.contains_key(&kind) {
            self.by_kind.entry(kind).or_default().observe(seconds);
        }
        let kinds = self.by_account.get_mut(account);
        if let Some(learned) = kinds.and_then(|kinds| kinds.get_mut(&kind)) {
            learned.estimate.observe(seconds);
            learned.noted = now;
            return;
        }
        if self.pairs >= PAIRS_MAX {
            self.drop_old(now);
        }
        if self.pairs < PAIRS_MAX {
            let mut estimate = Estimate::default();
            estimate.observe(seconds);
            let kinds = self.by_account.entry(account.clone()).or_default();
            kinds.insert(
                kind,
                Learned {
                    estimate,
                    noted: now,
                },
            );
            self.pairs += 1;
        }
    }

    fn drop_old(&mut self, now: Instant) {
        self.by_account.retain(|_, kinds| {
            kinds.retain(|_, learned| now.saturating_duration_since(learned.noted) < RETENTION);
            !kinds.is_empty()
        });
        self.pairs = self.by_account.values().map(HashMap::len).sum();
    }

    /// Forecast running time in seconds: the account's own for this kind, or that of all accounts; `None` before the
    /// first answer.
    pub(super) fn forecast(&self, account: &Name, kind: Kind) -> Option<f64> {
        let own = self.by_account.get(account);
        let own = own.and_then(|kinds| kinds.get(&kind)?.estimate.mean());
        own.or_else(|| self.by_kind.get(&kind)?.mean())
    }
}
