//! The limits of client accounts, over all hosts together.
//!
//! Each host keeps the whole bucket of each account that it meets, and takes from it what it admits
//! and what the other hosts tell that they admitted. While it hears only some of the hosts, it fills
//! the buckets at their part of the rate, so that hosts which are cut off from each other keep to the
//! limit together.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::coordination::server::real;
use crate::state::fleet::Account;
use crate::state::name::Name;

/// How much a bucket holds, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Why a request is over its account's limits, and when to come back.
#[derive(Clone, Debug, PartialEq)]
pub enum Over {
    /// Too many requests a second.
    Requests(Duration),
    /// Too many tokens a second.
    Tokens(Duration),
    /// Too many requests in flight; there is no telling when one ends.
    InFlight,
}

/// A bucket that fills at a rate and may be overdrawn by the request that empties it.
///
/// Overdrawing lets a request larger than the bucket through once, and makes the account wait for
/// its cost afterwards, so that the long-run rate holds whatever the lengths are.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    /// Fills the bucket, and takes out what other hosts took since.
    fn fill(&mut self, bounds: &Bounds, elsewhere: f64, now: Instant) {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * bounds.rate;
        self.level = (self.level + gained - elsewhere).min(bounds.most);
        self.at = now;
    }

    /// How long until the bucket is above `floor`.
    fn wait(&self, rate: f64, floor: f64) -> Option<Duration> {
        (self.level < floor).then(|| Duration::from_secs_f64((floor - self.level) / rate))
    }
}

/// The span over which limits are looked at, and by how much they may be missed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Any span of this length counts.
    pub window: Duration,
    /// Part of the limit by which it may be missed.
    pub overage: f64,
    /// Tokens or requests by which it may be missed besides.
    pub slack: f64,
}

/// Part of the tolerance that is given out; the rest covers what other hosts have not told yet and
/// the request that overdraws a bucket.
const TOLERANCE_PART: f64 = 0.5;
/// Time between two tellings up to which the whole part is given out: the more is admitted unseen, the
/// less of the tolerance is left to give.
const TOLD_OFTEN: Duration = Duration::from_millis(200);
/// How many times its rate an account in a rush is admitted beyond what hosts have told each other: on
/// the users' site of 87 hosts, told each 0.44 s, it went 2% beyond the limit.
const RUSH: f64 = 2.0;
/// Part of its rate that an account is given at the least.
const RATE_LEAST: f64 = 0.5;
/// How much a bucket under a tolerance holds, in seconds of its rate: enough for uneven arrivals,
/// and little, since what it does not hold goes into the rate.
const BURST_SECONDS_IN_WINDOW: f64 = 0.5;

/// A limit as a bucket keeps it.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    rate: f64,
    most: f64,
    /// Level of a bucket that this host begins.
    first: f64,
}

impl Bounds {
    /// The bounds of a limit of `rate` a second and `burst` at once.
    ///
    /// Over any window a bucket gives out its rate and what it holds, so both are chosen to add up
    /// to what the limit allows. It begins empty: what was given out before is not known.
    fn of(
        rate: f64,
        burst: Option<f64>,
        tolerance: Option<&Tolerance>,
        told_every: Duration,
    ) -> Self {
        let burst = burst.unwrap_or(rate * BURST_SECONDS);
        let Some(tolerance) = tolerance else {
            return Self {
                rate,
                most: burst,
                first: burst,
            };
        };
        let window = tolerance.window.as_secs_f64();
        let part = tolerance_part(told_every);
        let allowed =
            (rate * window + burst) * (1.0 + tolerance.overage * part) + tolerance.slack * part;
        let most = burst.min(rate * BURST_SECONDS_IN_WINDOW).max(1.0);
        let unseen = rate * told_every.saturating_sub(TOLD_OFTEN).as_secs_f64() * RUSH;
        Self {
            rate: ((allowed - most - unseen) / window).max(rate * RATE_LEAST),
            most,
            first: 0.0,
        }
    }
}

/// The part of the tolerance that is given out where hosts tell each other so often.
fn tolerance_part(told_every: Duration) -> f64 {
    let often = TOLD_OFTEN.as_secs_f64() / told_every.as_secs_f64().max(f64::MIN_POSITIVE);
    TOLERANCE_PART * often.min(1.0)
}

/// What an account was admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Requests.
    pub requests: u64,
    /// Tokens.
    pub tokens: u64,
}

/// How much of the fleet's limits this host may give out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Hosts that tell each other what they admit, this one included.
    pub heard: u32,
    /// Hosts that there may be.
    pub known: u32,
    /// Hosts over which requests in flight are spread, of which nobody tells.
    pub spread: u32,
    /// Time between two tellings of a host.
    pub told_every: Duration,
}

impl From<u32> for Share {
    /// The share of one of `hosts` hosts that hear nothing of each other.
    fn from(hosts: u32) -> Self {
        Self {
            heard: 1,
            known: hosts,
            spread: hosts,
            told_every: Duration::ZERO,
        }
    }
}

impl Share {
    /// This part of a limit, rounded up, so that no share is zero.
    fn of(self, limit: u32) -> f64 {
        let known = u64::from(self.known.max(1));
        let heard = u64::from(self.heard).min(known);
        real((u64::from(limit) * heard).div_ceil(known))
    }
}

#[derive(Debug)]
struct Usage {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    in_flight: u32,
    /// What this host admitted since it started.
    spent: Spent,
    /// What other hosts admitted since the last look at the buckets.
    elsewhere: Spent,
    /// When this host admitted something last.
    at: Instant,
}

impl Usage {
    fn new(now: Instant) -> Self {
        Self {
            requests: None,
            tokens: None,
            in_flight: 0,
            spent: Spent::default(),
            elsewhere: Spent::default(),
            at: now,
        }
    }
}

/// The usage of all accounts, as this host knows it.
#[derive(Debug, Default)]
pub struct Ledger {
    tolerance: Option<Tolerance>,
    /// When this host began to give out; buckets fill from then on.
    began: Option<Instant>,
    usage: HashMap<Name, Usage>,
    /// What each other host told last, with its incarnation.
    told: HashMap<Name, (u64, HashMap<Name, Spent>)>,
}

/// How much a count has grown; one that fell began anew, since idle accounts are forgotten.
fn gained(count: u64, before: u64) -> u64 {
    count.checked_sub(before).unwrap_or(count)
}

impl Ledger {
    /// A ledger that keeps limits over any window.
    #[must_use]
    pub fn within(tolerance: Tolerance, began: Instant) -> Self {
        Self {
            tolerance: Some(tolerance),
            began: Some(began),
            ..Self::default()
        }
    }

    /// Takes a request in, or says which limit it is over.
    ///
    /// `share` is this host's part of the limits; a number of hosts stands for one of so many.
    ///
    /// # Errors
    /// Names the limit and when to come back; nothing is counted then.
    pub fn admit(
        &mut self,
        account: &Account,
        tokens: u32,
        share: impl Into<Share>,
        now: Instant,
    ) -> Result<(), Over> {
        let share = share.into();
        let request_rate = account.requests_per_second.map(|limit| share.of(limit));
        let token_rate = account.tokens_per_second.map(|limit| share.of(limit));
        let burst = account.burst_tokens.map(|burst| share.of(burst));
        let usage = self
            .usage
            .entry(account.name.clone())
            .or_insert_with(|| Usage::new(now));
        if account
            .in_flight
            .is_some_and(|limit| usage.in_flight >= limit.div_ceil(share.spread.max(1)))
        {
            return Err(Over::InFlight);
        }
        let elsewhere = std::mem::take(&mut usage.elsewhere);
        let tolerance = self.tolerance.as_ref();
        let began = self.began.unwrap_or(now);
        let requests = request_rate.map(|rate| {
            let bounds = Bounds::of(rate, None, tolerance, share.told_every);
            let bucket = usage.requests.get_or_insert(Bucket {
                level: bounds.first,
                at: began,
            });
            bucket.fill(&bounds, real(elsewhere.requests), now);
            bucket.wait(bounds.rate, 1.0)
        });
        let tokens_wait = token_rate.map(|rate| {
            let bounds = Bounds::of(rate, burst, tolerance, share.told_every);
            let bucket = usage.tokens.get_or_insert(Bucket {
                level: bounds.first,
                at: began,
            });
            bucket.fill(&bounds, real(elsewhere.tokens), now);
            bucket.wait(bounds.rate, f64::MIN_POSITIVE)
        });
        if let Some(wait) = requests.flatten() {
            return Err(Over::Requests(wait));
        }
        if let Some(wait) = tokens_wait.flatten() {
            return Err(Over::Tokens(wait));
        }
        usage.in_flight += 1;
        usage.at = now;
        usage.spent.requests += 1;
        usage.spent.tokens += u64::from(tokens);
        if let Some(bucket) = &mut usage.requests {
            bucket.level -= 1.0;
        }
        if let Some(bucket) = &mut usage.tokens {
            bucket.level -= f64::from(tokens);
        }
        Ok(())
    }

    /// What this host admitted since it started, of the accounts that it admitted within `recent`.
    #[must_use]
    pub fn spent(&self, recent: Duration, now: Instant) -> Vec<(Name, Spent)> {
        let is_recent = |usage: &Usage| {
            usage.spent != Spent::default() && now.saturating_duration_since(usage.at) < recent
        };
        let recent = self.usage.iter().filter(|(_, usage)| is_recent(usage));
        recent
            .map(|(name, usage)| (name.clone(), usage.spent))
            .collect()
    }

    /// Takes in what another host has admitted since it started.
    pub fn hear(&mut self, host: &Name, incarnation: u64, spent: &[(Name, Spent)], now: Instant) {
        let told = self.told.entry(host.clone()).or_default();
        if told.0 > incarnation {
            return;
        }
        if told.0 < incarnation {
            *told = (incarnation, HashMap::new());
        }
        for (account, spent) in spent {
            let before = told.1.insert(account.clone(), *spent).unwrap_or_default();
            let usage = self
                .usage
                .entry(account.clone())
                .or_insert_with(|| Usage::new(now));
            usage.elsewhere.requests += gained(spent.requests, before.requests);
            usage.elsewhere.tokens += gained(spent.tokens, before.tokens);
        }
    }

    /// Forgets what a host told that is gone.
    pub fn forget(&mut self, host: &Name) {
        self.told.remove(host);
    }

    /// Counts a request as ended.
    pub fn release(&mut self, account: &Name) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Forgets accounts that were idle for long enough to have full buckets again.
    pub fn sweep(&mut self, now: Instant) {
        let idle = Duration::from_secs_f64(10.0 * BURST_SECONDS);
        self.usage.retain(|_, usage| {
            usage.in_flight > 0 || now.saturating_duration_since(usage.at) < idle
        });
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
