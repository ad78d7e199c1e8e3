//! Rate limits that backend servers name: read from answers, reported to the homes of their pools, and cached.
//!
//! The home of a server's pool enforces its limit, so the holder of a request reports what the answer says. It also
//! caches the limits that it has read, and repeats them to a home that has lost them or never had them: a newly elected
//! one, or one that restarted.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{HeldRequest, Scheduler, Stage};
use crate::coordination::pool::{Action, Pool, ReportedLimit, Ticket};
use crate::coordination::shard::Shard;
use crate::protocol::headers::Limit;
use crate::protocol::message::{self, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis_since;
use crate::transport::metrics::Metrics;
use crate::transport::runtime::lock;

/// Most cached limits: one for each server of the largest site.
const CACHED_LIMITS_MAX: usize = 4_096;

/// Shortest interval between two log lines about malformed limits; a counter counts all of them.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A limit that this host has read from a server's answer.
#[derive(Debug)]
pub(super) struct CachedLimit {
    /// The pool of the server.
    pool: Name,
    per_second: f64,
    at: Instant,
    /// The home to which it was last reported.
    reported_to: Name,
}

/// The grant of a held request.
struct Granted {
    server: Name,
    /// Whether the home knew a limit of the server.
    limited: bool,
    home: Name,
    shard: Shard,
}

impl HeldRequest {
    /// Reports the limit in an answer of the granted server to the home.
    ///
    /// An answer without a limit is reported only if the home or this host knew of one, which it ends.
    pub(crate) fn report_limit(&self, named: Limit, metrics: &Metrics) {
        let is_none_cached = self.scheduler.cached_limit_count.load(Ordering::Relaxed) == 0;
        if named == Limit::Absent && is_none_cached && !self.is_limited() {
            return;
        }
        let Some(granted) = self.granted() else {
            return;
        };
        let now = Instant::now();
        let per_second = match named {
            Limit::PerSecond(per_second) => Some(per_second),
            Limit::Absent => None,
            Limit::Malformed => {
                metrics.malformed_limits.inc();
                return self.scheduler.log_malformed(&granted.server, now);
            }
        };
        let was_limited = self.scheduler.cache_limit(&granted, per_second, now);
        if per_second.is_none() && !granted.limited && !was_limited {
            return;
        }
        let message = Message::Limit {
            shard: granted.shard,
            server: granted.server,
            heard: message::LimitReport::Now {
                sequence: self.sequence,
                per_second,
            },
        };
        self.scheduler.send(&granted.home, message, now);
    }

    /// Whether the home knew a limit of the server when it granted the request.
    fn is_limited(&self) -> bool {
        let held = lock(&self.scheduler.held);
        let stage = held.get(&self.sequence).map(|held| &held.stage);
        matches!(stage, Some(Stage::Granted { limited: true, .. }))
    }

    /// The grant of the request, if it has one.
    fn granted(&self) -> Option<Granted> {
        let held = lock(&self.scheduler.held);
        let held = held.get(&self.sequence)?;
        match &held.stage {
            Stage::Granted {
                server, limited, ..
            } => Some(Granted {
                server: server.clone(),
                limited: *limited,
                home: held.home.clone(),
                shard: held.shard.clone(),
            }),
            Stage::Waiting(_) => None,
        }
    }
}

impl Scheduler {
    /// Caches the limit that an answer names, or removes it if it names none; returns whether one was cached before.
    fn cache_limit(&self, granted: &Granted, per_second: Option<f64>, now: Instant) -> bool {
        let server = &granted.server;
        let Some(per_second) = per_second else {
            let is_any_cached = self.cached_limit_count.load(Ordering::Relaxed) > 0;
            return is_any_cached
                && self.update_cached_limits(|cached| cached.remove(server).is_some());
        };
        let limit = CachedLimit {
            pool: granted.shard.service.clone(),
            per_second,
            at: now,
            reported_to: granted.home.clone(),
        };
        self.update_cached_limits(|cached| {
            if cached.len() >= CACHED_LIMITS_MAX && !cached.contains_key(server) {
                return false;
            }
            cached.insert(server.clone(), limit).is_some()
        })
    }

    /// Logs that a server names a malformed limit, at most once per interval.
    fn log_malformed(&self, server: &Name, now: Instant) {
        let mut logged_at = lock(&self.malformed_logged_at);
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < MALFORMED_LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        slog::warn!(
            self.log, "a backend server names a limit that is none, and is used as before";
            "server" => &**server,
        );
    }

    fn update_cached_limits<T>(
        &self,
        change: impl FnOnce(&mut HashMap<Name, CachedLimit>) -> T,
    ) -> T {
        let mut cached = lock(&self.cached_limits);
        let result = change(&mut cached);
        self.cached_limit_count
            .store(cached.len(), Ordering::Relaxed);
        result
    }

    /// Repeats the cached limits to the homes that may lack them: those that `may_lack` selects, because they restarted
    /// or their link was reconnected, and those that have become the home since the last report.
    pub(crate) fn repeat_limits(&self, may_lack: impl Fn(&Name) -> bool, now: Instant) {
        if self.cached_limit_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let server_list = self.server_list.load();
        let is_listed = |server: &Name, limit: &CachedLimit| {
            let specs = server_list.specs.get(&limit.pool);
            specs.is_some_and(|specs| specs.iter().any(|spec| spec.name == *server))
        };
        let mut outgoing = Vec::new();
        self.update_cached_limits(|cached| {
            cached.retain(|server, limit| is_listed(server, limit));
            for (server, limit) in cached.iter_mut() {
                let Some(sharding) = server_list.shardings.get(&limit.pool) else {
                    continue;
                };
                let shard = sharding.shard_of(server);
                let home = self.home_of(&shard);
                if home == limit.reported_to && !may_lack(&home) {
                    continue;
                }
                limit.reported_to = home.clone();
                let message = Message::Limit {
                    shard,
                    server: server.clone(),
                    heard: message::LimitReport::Earlier {
                        per_second: limit.per_second,
                        ago_ms: millis_since(limit.at, now),
                    },
                };
                outgoing.push((home, message));
            }
        });
        for (home, message) in outgoing {
            self.send(&home, message, now);
        }
    }

    /// Sets the part of each limit that this host, as a home, may use.
    pub(crate) fn share_limits(&self, now: Instant) {
        let part = self.links.share(now).part();
        for shard in self.shards() {
            self.update_pool(&shard, |pool| pool.set_limit_share(part, now));
        }
    }

    /// Number of servers with a known limit in the pools whose home this host is.
    pub(crate) fn limited_servers(&self) -> usize {
        let local = self.local_pools();
        let own = local
            .iter()
            .filter(|(shard, _)| self.home_of(shard) == self.me);
        own.map(|(_, local)| lock(local).pool.limited_count()).sum()
    }
}

/// Applies a host's report of a server's limit to the pool; `ticket` makes that host's tickets from sequence numbers.
pub(super) fn apply_report(
    pool: &mut Pool,
    from: &Name,
    ticket: impl Fn(u64) -> Ticket,
    server: &Name,
    report: message::LimitReport,
    now: Instant,
) -> Vec<Action> {
    match report {
        message::LimitReport::Now {
            sequence,
            per_second,
        } => pool.apply_limit(&ticket(sequence), server, per_second, now),
        message::LimitReport::Earlier { per_second, ago_ms } => {
            let ago = Duration::from_millis(ago_ms);
            let reported = ReportedLimit {
                per_second,
                received_at: now.checked_sub(ago).unwrap_or(now),
                heard_by: from.clone(),
            };
            pool.apply_reported_limit(server, reported, now)
        }
    }
}
