//! The limits of client accounts, as this host's share of the fleet's.

use std::collections::HashMap;
use std::time::{Duration, Instant};

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
    fn fill(&mut self, rate: f64, most: f64, now: Instant) {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(most);
        self.at = now;
    }

    /// How long until the bucket is above `floor`.
    fn wait(&self, rate: f64, floor: f64) -> Option<Duration> {
        (self.level < floor).then(|| Duration::from_secs_f64((floor - self.level) / rate))
    }
}

#[derive(Debug)]
struct Usage {
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
}

/// The usage of all accounts on this host.
#[derive(Debug, Default)]
pub struct Ledger {
    usage: HashMap<Name, Usage>,
}

/// Of a limit of the whole fleet, the part of one host; rounded up, so that no share is zero.
fn share(limit: u32, hosts: u32) -> u32 {
    limit.div_ceil(hosts.max(1))
}

impl Ledger {
    /// Takes a request in, or says which limit it is over.
    ///
    /// `hosts` is the number of live hosts over which the balancer spreads the callers.
    ///
    /// # Errors
    /// Names the limit and when to come back; nothing is counted then.
    pub fn admit(
        &mut self,
        account: &Account,
        tokens: u32,
        hosts: u32,
        now: Instant,
    ) -> Result<(), Over> {
        let request_rate = account
            .requests_per_second
            .map(|limit| f64::from(share(limit, hosts)));
        let token_rate = account
            .tokens_per_second
            .map(|limit| f64::from(share(limit, hosts)));
        let burst = account
            .burst_tokens
            .map(|burst| f64::from(share(burst, hosts)));
        let burst = burst.unwrap_or(token_rate.unwrap_or(0.0) * BURST_SECONDS);
        let usage = self
            .usage
            .entry(account.name.clone())
            .or_insert_with(|| Usage {
                requests: Bucket {
                    level: request_rate.unwrap_or(0.0) * BURST_SECONDS,
                    at: now,
                },
                tokens: Bucket {
                    level: burst,
                    at: now,
                },
                in_flight: 0,
            });
        if account
            .in_flight
            .is_some_and(|limit| usage.in_flight >= share(limit, hosts))
        {
            return Err(Over::InFlight);
        }
        if let Some(rate) = request_rate {
            usage.requests.fill(rate, rate * BURST_SECONDS, now);
            if let Some(wait) = usage.requests.wait(rate, 1.0) {
                return Err(Over::Requests(wait));
            }
        }
        if let Some(rate) = token_rate {
            usage.tokens.fill(rate, burst, now);
            if let Some(wait) = usage.tokens.wait(rate, f64::MIN_POSITIVE) {
                return Err(Over::Tokens(wait));
            }
        }
        usage.in_flight += 1;
        usage.requests.level -= 1.0;
        usage.tokens.level -= f64::from(tokens);
        Ok(())
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
            let recent = usage.requests.at.max(usage.tokens.at);
            usage.in_flight > 0 || now.saturating_duration_since(recent) < idle
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
