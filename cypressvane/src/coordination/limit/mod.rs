//! Limits of client accounts, over all hosts together.
//!
//! Each account has a home among the hosts, as each pool has. The home keeps the account's token buckets, and the
//! hosts that receive the account's requests ask it. While a home is connected to only some of the hosts, it gives
//! out only their share of the limit, and a host that gets no answer gives out its own share. So the limit holds
//! over both sides of a network partition.

pub(crate) mod bucket;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::limit::bucket::{Bucket, Parameters};
use crate::state::clock::Instant;
use crate::state::fleet::Account;
use crate::state::name::Name;
use crate::state::units::to_f64;

pub use crate::coordination::limit::bucket::Tolerance;

/// Time after which the buckets of an idle account are dropped; they are assumed to be full again by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Level that the bucket for tokens per second needs to let a request pass: any above zero.
const TOKENS_FLOOR: f64 = f64::MIN_POSITIVE;

/// The limit that a request exceeds, and the time after which it may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Over {
    /// Too many requests per second.
    Requests(Duration),
    /// Too many tokens per second.
    Tokens(Duration),
    /// Too many requests in flight; when one of them ends is unknown.
    InFlight,
}

/// The share of the accounts' limits that a host may give out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of hosts whose shares this host gives out, its own included.
    pub represented: u32,
    /// Number of all hosts that have a share.
    pub total: u32,
}

impl Share {
    /// Returns the share of a host that gives out only its own share.
    #[must_use]
    pub fn own(self) -> Self {
        Self {
            represented: 1,
            ..self
        }
    }

    /// Returns the share as a fraction from 0 to 1.
    #[must_use]
    pub fn part(self) -> f64 {
        let total = self.total.max(1);
        f64::from(self.represented.min(total)) / f64::from(total)
    }

    /// Returns this share of a limit, rounded up so that it is not zero.
    fn of_limit(self, limit: u32) -> f64 {
        let total = u64::from(self.total.max(1));
        let represented = u64::from(self.represented).min(total);
        to_f64((u64::from(limit) * represented).div_ceil(total))
    }

    /// Returns the tolerance with this share of its slack. The slack is not rounded, so all shares add up to no more
    /// than the whole.
    fn of_tolerance(self, tolerance: Tolerance) -> Tolerance {
        Tolerance {
            slack: tolerance.slack * self.part(),
            ..tolerance
        }
    }
}

#[derive(Debug)]
struct Buckets {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    /// When something was last taken out; at first, when the buckets were created.
    last_taken: Instant,
}

impl Buckets {
    fn take(&mut self, tokens: u32, now: Instant) {
        if let Some(bucket) = &mut self.requests {
            bucket.take(1.0);
        }
        if let Some(bucket) = &mut self.tokens {
            bucket.take(f64::from(tokens));
        }
        self.last_taken = now;
    }
}

/// The buckets of the accounts for which this host gave something out, as their home or from its own share.
#[derive(Debug)]
pub struct Ledger {
    tolerance: Option<Tolerance>,
    /// When the homes last changed; new buckets start to fill at that time.
    since: Instant,
    accounts: HashMap<Name, Buckets>,
}

impl Ledger {
    /// Creates an empty ledger. With a tolerance it keeps to the limits over every window.
    #[must_use]
    pub fn new(tolerance: Option<Tolerance>, now: Instant) -> Self {
        Self {
            tolerance,
            since: now,
            accounts: HashMap::new(),
        }
    }

    /// Takes a request and its tokens out of its account's buckets.
    ///
    /// # Errors
    /// Returns the limit that the request exceeds, and takes nothing.
    pub fn try_take(
        &mut self,
        account: &Account,
        tokens: u32,
        share: Share,
        now: Instant,
    ) -> Result<(), Over> {
        let buckets = self.fill(account, share, now);
        let wait = |bucket: &Option<Bucket>, floor| bucket.as_ref()?.wait(floor);
        if let Some(wait) = wait(&buckets.requests, 1.0) {
            return Err(Over::Requests(wait));
        }
        if let Some(wait) = wait(&buckets.tokens, TOKENS_FLOOR) {
            return Err(Over::Tokens(wait));
        }
        buckets.take(tokens, now);
        Ok(())
    }

    /// Takes out what another host gave out from its own share, even if the level is lower.
    pub fn debit(&mut self, account: &Account, tokens: u32, share: Share, now: Instant) {
        self.fill(account, share, now).take(tokens, now);
    }

    /// Puts back what was taken for a request that no backend server ran.
    pub fn give_back(&mut self, account: &Account, tokens: u32, share: Share, now: Instant) {
        let buckets = self.fill(account, share, now);
        if let Some(bucket) = &mut buckets.requests {
            bucket.give_back(1.0);
        }
        if let Some(bucket) = &mut buckets.tokens {
            bucket.give_back(f64::from(tokens));
        }
    }

    /// Fills the buckets of an account up to `now`.
    fn fill(&mut self, account: &Account, share: Share, now: Instant) -> &mut Buckets {
        let tolerance = self.tolerance.map(|whole| share.of_tolerance(whole));
        let tolerance = tolerance.as_ref();
        let requests = account
            .requests_per_second
            .map(|limit| Parameters::for_limit(share.of_limit(limit), None, tolerance));
        let burst = account.burst_tokens.map(|burst| share.of_limit(burst));
        let tokens = account
            .tokens_per_second
            .map(|limit| Parameters::for_limit(share.of_limit(limit), burst, tolerance));
        let buckets = self
            .accounts
            .entry(account.name.clone())
            .or_insert_with(|| Buckets {
                requests: None,
                tokens: None,
                last_taken: now,
            });
        fill(&mut buckets.requests, requests, self.since, now);
        fill(&mut buckets.tokens, tokens, self.since, now);
        buckets
    }

    /// Drops the buckets of the accounts that `moved` selects, whose home is now this host or no longer is: what
    /// other hosts gave out meanwhile is unknown. New buckets start to fill at `now`.
    pub fn reset_moved(&mut self, moved: impl Fn(&Name) -> bool, now: Instant) {
        self.since = now;
        self.accounts.retain(|account, _| !moved(account));
    }

    /// Drops accounts that were idle for `IDLE_TIMEOUT`.
    pub fn sweep(&mut self, now: Instant) {
        let is_idle =
            |buckets: &Buckets| now.saturating_duration_since(buckets.last_taken) >= IDLE_TIMEOUT;
        self.accounts.retain(|_, buckets| !is_idle(buckets));
    }

    /// Returns the number of accounts with state on this host.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account has state on this host.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Fills a bucket up to `now`. Drops it if its limit was removed; creates it at `since` if it is new.
fn fill(bucket: &mut Option<Bucket>, parameters: Option<Parameters>, since: Instant, now: Instant) {
    let Some(parameters) = parameters else {
        *bucket = None;
        return;
    };
    bucket
        .get_or_insert_with(|| Bucket::new(parameters, since))
        .fill(parameters, now);
}

/// The number of requests of each account that are in flight on this host.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: HashMap<Name, u32>,
}

impl InFlight {
    /// Checks that one more request is within this host's share of the account's limit.
    ///
    /// # Errors
    /// Returns `Over::InFlight` if it is not.
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

    /// Counts a request as started.
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
