//! The limits of client accounts, over all hosts together.
//!
//! Each account has a home among the hosts, as each pool has one. The home keeps the account's
//! buckets, and the hosts that receive its requests ask it. While a home hears only some of the
//! hosts, it gives out only their part of the limit, and a host that gets no answer gives out its own
//! part. So hosts that are cut off from each other keep to the limit together.

pub(crate) mod bucket;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::limit::bucket::{Bounds, Bucket};
use crate::state::clock::Instant;
use crate::state::fleet::Account;
use crate::state::name::Name;
use crate::state::units::real;

pub use crate::coordination::limit::bucket::Tolerance;

/// Time after which the buckets of an idle account are full again, and forgotten.
const IDLE: Duration = Duration::from_secs(10);
/// Least level of a bucket of tokens that lets a request pass.
const TOKENS_FLOOR: f64 = f64::MIN_POSITIVE;

/// Why a request is over its account's limits, and when to come back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Over {
    /// Too many requests a second.
    Requests(Duration),
    /// Too many tokens a second.
    Tokens(Duration),
    /// Too many requests in flight; there is no telling when one ends.
    InFlight,
}

/// How much of the fleet's limits a host may give out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Hosts for which it gives out, itself included.
    pub heard: u32,
    /// Hosts that there may be.
    pub known: u32,
}

impl Share {
    /// The share of a host that gives out for itself alone.
    #[must_use]
    pub fn own(self) -> Self {
        Self { heard: 1, ..self }
    }

    /// The part of the hosts for which it gives out, from 0 to 1.
    #[must_use]
    pub fn part(self) -> f64 {
        let known = self.known.max(1);
        f64::from(self.heard.min(known)) / f64::from(known)
    }

    /// This part of a limit, rounded up, so that no share is zero.
    fn of(self, limit: u32) -> f64 {
        let known = u64::from(self.known.max(1));
        let heard = u64::from(self.heard).min(known);
        real((u64::from(limit) * heard).div_ceil(known))
    }

    /// This part of what a limit may be missed by: all parts together are no more than the whole.
    fn of_tolerance(self, tolerance: Tolerance) -> Tolerance {
        Tolerance {
            slack: tolerance.slack * self.part(),
            ..tolerance
        }
    }
}

/// The buckets of an account.
#[derive(Debug)]
struct Usage {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    /// When something was last taken out.
    at: Instant,
}

impl Usage {
    fn take(&mut self, tokens: u32, now: Instant) {
        if let Some(bucket) = &mut self.requests {
            bucket.take(1.0);
        }
        if let Some(bucket) = &mut self.tokens {
            bucket.take(f64::from(tokens));
        }
        self.at = now;
    }
}

/// The buckets of the accounts of which this host gave something out, as their home or of its own part.
#[derive(Debug)]
pub struct Ledger {
    tolerance: Option<Tolerance>,
    /// Since when the homes are as they are; buckets begin to fill then.
    since: Instant,
    usage: HashMap<Name, Usage>,
}

impl Ledger {
    /// A ledger without usage; with a tolerance it keeps the limits over any window.
    #[must_use]
    pub fn new(tolerance: Option<Tolerance>, now: Instant) -> Self {
        Self {
            tolerance,
            since: now,
            usage: HashMap::new(),
        }
    }

    /// Takes a request out of its account's buckets, or says which limit it is over.
    ///
    /// # Errors
    /// Names the limit and when to come back; nothing is taken out then.
    pub fn spend(
        &mut self,
        account: &Account,
        tokens: u32,
        share: Share,
        now: Instant,
    ) -> Result<(), Over> {
        let usage = self.fill(account, share, now);
        let wait = |bucket: &Option<Bucket>, floor| bucket.as_ref()?.wait(floor);
        if let Some(wait) = wait(&usage.requests, 1.0) {
            return Err(Over::Requests(wait));
        }
        if let Some(wait) = wait(&usage.tokens, TOKENS_FLOOR) {
            return Err(Over::Tokens(wait));
        }
        usage.take(tokens, now);
        Ok(())
    }

    /// Takes out what another host gave out of its own part, whether it is there or not.
    pub fn debit(&mut self, account: &Account, tokens: u32, share: Share, now: Instant) {
        self.fill(account, share, now).take(tokens, now);
    }

    /// Puts back what a request was given that no backend server ran.
    pub fn give_back(&mut self, account: &Account, tokens: u32, share: Share, now: Instant) {
        let usage = self.fill(account, share, now);
        if let Some(bucket) = &mut usage.requests {
            bucket.give_back(1.0);
        }
        if let Some(bucket) = &mut usage.tokens {
            bucket.give_back(f64::from(tokens));
        }
    }

    /// Brings the buckets of an account up to `now`.
    fn fill(&mut self, account: &Account, share: Share, now: Instant) -> &mut Usage {
        let tolerance = self.tolerance.map(|whole| share.of_tolerance(whole));
        let tolerance = tolerance.as_ref();
        let requests = account
            .requests_per_second
            .map(|limit| Bounds::of(share.of(limit), None, tolerance));
        let burst = account.burst_tokens.map(|burst| share.of(burst));
        let tokens = account
            .tokens_per_second
            .map(|limit| Bounds::of(share.of(limit), burst, tolerance));
        let usage = self
            .usage
            .entry(account.name.clone())
            .or_insert_with(|| Usage {
                requests: None,
                tokens: None,
                at: now,
            });
        fill(&mut usage.requests, requests, self.since, now);
        fill(&mut usage.tokens, tokens, self.since, now);
        usage
    }

    /// Begins the buckets anew of the accounts of which `moved` says that their home has come here
    /// or has gone: what others gave out meanwhile is not known.
    pub fn rehome(&mut self, moved: impl Fn(&Name) -> bool, now: Instant) {
        self.since = now;
        self.usage.retain(|account, _| !moved(account));
    }

    /// Forgets accounts that were idle for long enough to have full buckets again.
    pub fn sweep(&mut self, now: Instant) {
        let is_idle = |usage: &Usage| now.saturating_duration_since(usage.at) >= IDLE;
        self.usage.retain(|_, usage| !is_idle(usage));
    }

    /// Number of accounts with state on this host.
    #[must_use]
    pub fn len(&self) -> usize {
        self.usage.len()
    }

    /// Whether no account has state on this host.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }
}

/// Brings a bucket up to `now`; one whose limit was taken away goes, a new one begins at `since`.
fn fill(bucket: &mut Option<Bucket>, bounds: Option<Bounds>, since: Instant, now: Instant) {
    let Some(bounds) = bounds else {
        *bucket = None;
        return;
    };
    bucket
        .get_or_insert_with(|| Bucket::new(bounds, since))
        .fill(bounds, now);
}

/// The requests of each account that are in flight at this host.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: HashMap<Name, u32>,
}

impl InFlight {
    /// Whether one more request is within this host's part of the account's limit.
    ///
    /// # Errors
    /// When it is not.
    pub fn check(&self, account: &Account, hosts: u32) -> Result<(), Over> {
        let Some(limit) = account.in_flight else {
            return Ok(());
        };
        let count = self.counts.get(&account.name).copied().unwrap_or_default();
        if count >= limit.div_ceil(hosts.max(1)) {
            return Err(Over::InFlight);
        }
        Ok(())
    }

    /// Counts a request.
    pub fn enter(&mut self, account: &Name) {
        *self.counts.entry(account.clone()).or_default() += 1;
    }

    /// Counts a request as ended.
    pub fn leave(&mut self, account: &Name) {
        let Some(count) = self.counts.get_mut(account) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.counts.remove(account);
        }
    }
}
