//! Rate limits that backend servers name: read from answers, reported to the homes of their pools, and cached.
//!
//! The home of a server's pool enforces its limit, so the holder of a request reports what the answer says. It also caches the
//! limits that it has read, and repeats them to a home that has lost them or never had them: a newly elected one, or one that
//! restarted.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{Desk, Place, Stage};
use crate::coordination::pool::{Action, Pool, Ticket, Told};
use crate::coordination::shard::Shard;
use crate::protocol::exchange::Limit;
use crate::protocol::message::{self, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis_since;
use crate::transport::metrics::Metrics;
use crate::transport::runtime::lock;

/// Most limits that are remembered: each server of the largest site.
const HEARD_MAX: usize = 4_096;

/// Shortest time between two lines in the log about malformed limits; a counter has them all.
const MALFORMED_LOGGED: Duration = Duration::from_secs(5);

/// A limit that this host heard of a server.
#[derive(Debug)]
pub(super) struct Heard {
    /// The pool that the server is of.
    pool: Name,
    per_second: f64,
    at: Instant,
    /// The home that was told of it last.
    told: Name,
}

/// Where a held request runs.
struct Granted {
    server: Name,
    /// Whether the server named a limit, as far as the home knew.
    limited: bool,
    home: Name,
    shard: Shard,
}

impl Place {
    /// Tells the home what the granted server's answer says of its limit.
    pub(crate) fn hear_limit(&self, named: Limit, metrics: &Metrics) {
        let is_none_known = self.desk.limits_heard.load(Ordering::Relaxed) == 0;
        if named == Limit::Unnamed && is_none_known && !self.is_limited() {
            return;
        }
        let Some(granted) = self.granted() else {
            return;
        };
        let now = Instant::now();
        let per_second = match named {
            Limit::PerSecond(per_second) => Some(per_second),
            Limit::Unnamed => None,
            Limit::Malformed => {
                metrics.malformed_limits.inc();
                return self.desk.log_malformed(&granted.server, now);
            }
        };
        let was_limited = self.desk.note_limit(&granted, per_second, now);
        if per_second.is_none() && !granted.limited && !was_limited {
            return;
        }
        let message = Message::Limit {
            shard: granted.shard,
            server: granted.server,
            heard: message::Heard::Now {
                sequence: self.sequence,
                per_second,
            },
        };
        self.desk.say(&granted.home, message, now);
    }

    /// Whether the request runs at a server that named a limit, as far as the home knew when it granted it.
    fn is_limited(&self) -> bool {
        let held = lock(&self.desk.held);
        let stage = held.get(&self.sequence).map(|held| &held.stage);
        matches!(stage, Some(Stage::Granted { limited: true, .. }))
    }

    /// Where the request runs, if it does.
    fn granted(&self) -> Option<Granted> {
        let held = lock(&self.desk.held);
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

impl Desk {
    /// Remembers what an answer says of a server's limit; tells whether one was remembered.
    fn note_limit(&self, granted: &Granted, per_second: Option<f64>, now: Instant) -> bool {
        let server = &granted.server;
        let Some(per_second) = per_second else {
            let is_any = self.limits_heard.load(Ordering::Relaxed) > 0;
            return is_any && self.change_heard(|heard| heard.remove(server).is_some());
        };
        let limit = Heard {
            pool: granted.shard.service.clone(),
            per_second,
            at: now,
            told: granted.home.clone(),
        };
        self.change_heard(|heard| {
            if heard.len() >= HEARD_MAX && !heard.contains_key(server) {
                return false;
            }
            heard.insert(server.clone(), limit).is_some()
        })
    }

    /// Logs that a server names what is no limit, now and then.
    fn log_malformed(&self, server: &Name, now: Instant) {
        let mut logged = lock(&self.malformed_logged);
        if logged.is_some_and(|at| now.saturating_duration_since(at) < MALFORMED_LOGGED) {
            return;
        }
        *logged = Some(now);
        slog::warn!(
            self.log, "a backend server names a limit that is none, and is used as before";
            "server" => &**server,
        );
    }

    fn change_heard<T>(&self, change: impl FnOnce(&mut HashMap<Name, Heard>) -> T) -> T {
        let mut heard = lock(&self.heard_limits);
        let result = change(&mut heard);
        self.limits_heard.store(heard.len(), Ordering::Relaxed);
        result
    }

    /// Repeats the cached limits to the homes that may lack them: those that have restarted by `is_anew`, and those that have
    /// become the home since the last report.
    pub(crate) fn tell_limits(&self, is_anew: impl Fn(&Name) -> bool, now: Instant) {
        if self.limits_heard.load(Ordering::Relaxed) == 0 {
            return;
        }
        let listed = self.listed.load();
        let is_listed = |server: &Name, limit: &Heard| {
            let specs = listed.specs.get(&limit.pool);
            specs.is_some_and(|specs| specs.iter().any(|spec| spec.name == *server))
        };
        let mut said = Vec::new();
        self.change_heard(|heard| {
            heard.retain(|server, limit| is_listed(server, limit));
            for (server, limit) in heard.iter_mut() {
                let Some(cut) = listed.cuts.get(&limit.pool) else {
                    continue;
                };
                let shard = cut.shard_of(server);
                let home = self.home_of(&shard);
                if home == limit.told && !is_anew(&home) {
                    continue;
                }
                limit.told = home.clone();
                let message = Message::Limit {
                    shard,
                    server: server.clone(),
                    heard: message::Heard::Earlier {
                        per_second: limit.per_second,
                        ago_ms: millis_since(limit.at, now),
                    },
                };
                said.push((home, message));
            }
        });
        for (home, message) in said {
            self.say(&home, message, now);
        }
    }

    /// Sets this host's part of the limits that it keeps as a home.
    pub(crate) fn share_limits(&self, now: Instant) {
        let part = self.links.share(now).part();
        for shard in self.shards() {
            self.act(&shard, |pool| pool.share(part, now));
        }
    }

    /// Number of servers that name a limit, of the pools whose home this host is.
    pub(crate) fn limited_servers(&self) -> usize {
        let kept = self.kept();
        let own = kept
            .iter()
            .filter(|(shard, _)| self.home_of(shard) == self.me);
        own.map(|(_, kept)| lock(kept).pool.limited()).sum()
    }
}

/// Tells a pool what a host says of a server's limit; `ticket` gives that host's tickets.
pub(super) fn hear(
    pool: &mut Pool,
    from: &Name,
    ticket: impl Fn(u64) -> Ticket,
    server: &Name,
    heard: message::Heard,
    now: Instant,
) -> Vec<Action> {
    match heard {
        message::Heard::Now {
            sequence,
            per_second,
        } => pool.hear_limit(&ticket(sequence), server, per_second, now),
        message::Heard::Earlier { per_second, ago_ms } => {
            let ago = Duration::from_millis(ago_ms);
            let told = Told {
                per_second,
                heard: now.checked_sub(ago).unwrap_or(now),
                heard_by: from.clone(),
            };
            pool.hear_earlier_limit(server, told, now)
        }
    }
}
