//! What backend servers state of themselves: read from answers, reported to the homes of their pools, and cached.
//!
//! The home of a server's pool grants the requests to it, so the holder of a request reports what the answer states. It
//! also caches these statements: it returns grants that they rule out, and repeats them to a home that has lost them or
//! never had them, because it was newly elected or restarted.

mod cache;
pub(super) mod report;

use std::sync::atomic::Ordering;
use std::time::Duration;

pub(super) use self::cache::CachedNotice;
use super::{Grant, HeldRequest, Scheduler, Stage};
use crate::coordination::pool::{End, Incarnation, Notice};
use crate::coordination::shard::Shard;
use crate::protocol::headers::{self, Limit};
use crate::protocol::message::{self, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::metrics::Metrics;
use crate::transport::network::Target;
use crate::transport::runtime::lock;

/// Shortest interval between two log lines about malformed statements; counters count all of them.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Most servers that are remembered for having stated a malformed load.
const MALFORMED_LOADS_MAX: usize = 4_096;

/// Numbers of servers by what they state of themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeCounts {
    /// Servers that state a limit.
    pub(crate) limited: usize,
    /// Servers that are leaving by their own statement.
    pub(crate) leaving: usize,
    /// Servers that rest.
    pub(crate) resting: usize,
    /// Servers that are brittle.
    pub(crate) brittle: usize,
}

/// The grant of a held request.
struct Granted {
    server: Name,
    incarnation: Incarnation,
    /// Whether the home knew a limit of the server.
    limited: bool,
    home: Name,
    shard: Shard,
}

/// Why a grant may not be used.
#[derive(Debug)]
pub(crate) struct Bar {
    /// What the server has stated, if this host has read it.
    notice: Option<Notice>,
    /// Whether the server is leaving; otherwise it rests.
    is_leaving: bool,
}

impl HeldRequest {
    /// Reports to the home what an answer of the granted server states of the server.
    ///
    /// An answer without a limit is reported only if the home or this host knew of one, which it ends.
    pub(crate) fn report_notice(&self, stated: &headers::Notice, metrics: &Metrics) {
        let is_none_cached = self.scheduler.cached_notice_count.load(Ordering::Relaxed) == 0;
        if stated.is_empty() && is_none_cached && !self.is_limited() {
            return;
        }
        let Some(granted) = self.granted() else {
            return;
        };
        let now = Instant::now();
        if stated.limit == Limit::Malformed {
            metrics.notices.malformed_limits.inc();
            self.scheduler
                .log_malformed("a limit", &granted.server, now);
        }
        if stated.rest == headers::Rest::Malformed {
            metrics.notices.malformed_rests.inc();
            self.scheduler.log_malformed("a rest", &granted.server, now);
        }
        if stated.brittle == headers::Brittle::Malformed {
            metrics.notices.malformed_tolerances.inc();
            self.scheduler
                .log_malformed("how brittle it is", &granted.server, now);
        }
        let before = self.scheduler.cache_notice(&granted, stated, now);
        let tolerance = match stated.brittle {
            headers::Brittle::Tolerates(tolerance)
                if report::is_brittle_report_due(before.brittle_reported_at, now) =>
            {
                Some(tolerance)
            }
            _ => None,
        };
        let changes_limit = match stated.limit {
            Limit::PerSecond(_) => true,
            Limit::Absent => granted.limited || before.was_limited,
            Limit::Malformed => false,
        };
        let rest = report::rest_time(stated);
        if !changes_limit && !stated.is_leaving && rest.is_none() && tolerance.is_none() {
            return;
        }
        let message = Message::Notice {
            shard: granted.shard,
            server: granted.server,
            incarnation: granted.incarnation,
            heard: message::NoticeReport::Now {
                sequence: self.sequence,
                limit: stated.limit,
                is_leaving: stated.is_leaving,
                rest_ms: rest.map(millis),
                tolerance,
            },
        };
        self.scheduler.send(&granted.home, message, now);
    }

    /// Returns why a grant may not be used, if, as far as this host knows, the server wants no requests. `pool` is the
    /// pool of the server.
    pub(crate) fn bar(&self, pool: &Name, grant: &Grant) -> Option<Bar> {
        let notice = self.scheduler.barring_notice(grant, Instant::now());
        let states_leaving = notice.as_ref().is_some_and(|n| n.leaving.is_some());
        let is_leaving = states_leaving || self.scheduler.is_leaving(pool, grant);
        (is_leaving || notice.is_some()).then_some(Bar { notice, is_leaving })
    }

    /// Returns a grant that may not be used, and offers the request again.
    ///
    /// The home gets this host's knowledge of the server first, so that it does not grant the server again.
    pub(crate) fn return_barred(&mut self, bar: Bar, request_id: &str) {
        let now = Instant::now();
        let Some(granted) = self.granted() else {
            return;
        };
        let text = if bar.is_leaving {
            "a grant for a server that leaves goes back"
        } else {
            "a grant for a server that rests goes back"
        };
        slog::info!(
            self.scheduler.log, "{}", text;
            "request_id" => request_id, "server" => &*granted.server,
        );
        if let Some(notice) = bar.notice {
            let message = Message::Notice {
                shard: granted.shard,
                server: granted.server,
                incarnation: notice.incarnation,
                heard: report::earlier(&notice, now),
            };
            self.scheduler.send(&granted.home, message, now);
        }
        let end = if bar.is_leaving {
            End::Leaving
        } else {
            End::Full
        };
        self.offer_again(end, None);
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
                server,
                incarnation,
                limited,
                ..
            } => Some(Granted {
                server: server.clone(),
                incarnation: *incarnation,
                limited: *limited,
                home: held.home.clone(),
                shard: held.shard.clone(),
            }),
            Stage::Waiting(_) => None,
        }
    }
}

impl Scheduler {
    /// Whether a server wants no requests, as far as this host knows.
    pub(crate) fn is_barred(&self, target: &Target) -> bool {
        let incarnation = target.incarnation;
        let grant = Grant {
            server: target.server.clone(),
            address: incarnation.address,
            first_token: Duration::ZERO,
            limited: false,
            started_ms: incarnation.started_ms,
            version: None,
        };
        self.barring_notice(&grant, Instant::now()).is_some()
            || self.is_leaving(&target.pool, &grant)
    }

    /// Caches what a server states in an answer that this host carries for another one, which reports it to the home.
    pub(crate) fn note_carried(&self, target: &Target, stated: &headers::Notice, now: Instant) {
        let server_list = self.server_list.load();
        let Some(sharding) = server_list.shardings.get(&target.pool) else {
            return;
        };
        let shard = sharding.shard_of(&target.server);
        let granted = Granted {
            server: target.server.clone(),
            incarnation: target.incarnation,
            limited: false,
            home: self.home_of(&shard),
            shard,
        };
        self.cache_notice(&granted, stated, now);
    }

    /// Logs that a server states what is malformed, at most once per interval.
    fn log_malformed(&self, what: &str, server: &Name, now: Instant) {
        let mut logged_at = lock(&self.malformed_logged_at);
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < MALFORMED_LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        slog::warn!(
            self.log, "a backend server's statement is malformed, and it is used as before";
            "server" => &**server, "states" => what,
        );
    }

    /// Counts a server's malformed load, and logs the first one of each server.
    pub(crate) fn note_malformed_load(&self, server: &Name, metrics: &Metrics) {
        metrics.notices.malformed_loads.inc();
        let mut logged = lock(&self.malformed_loads);
        if logged.contains(server) {
            return;
        }
        if logged.len() >= MALFORMED_LOADS_MAX {
            logged.clear();
        }
        logged.insert(server.clone());
        slog::warn!(
            self.log, "a backend server's load is malformed, and what is malformed of it is ignored";
            "server" => &**server,
        );
    }

    /// Sets the part of each limit that this host, as a home, may use.
    pub(crate) fn share_limits(&self, now: Instant) {
        let part = self.links.share(now).part();
        for shard in self.shards() {
            self.update_pool(&shard, |pool| pool.set_limit_share(part, now));
        }
    }

    /// Numbers of servers by what they state of themselves, in the pools whose home this host is.
    pub(crate) fn notice_counts(&self) -> NoticeCounts {
        let local = self.local_pools();
        let own = local
            .iter()
            .filter(|(shard, _)| self.home_of(shard) == self.me);
        let mut counts = NoticeCounts::default();
        for (_, local) in own {
            let pool = &lock(local).pool;
            let (leaving, resting) = pool.barred_counts();
            counts.limited += pool.limited_count();
            counts.leaving += leaving;
            counts.resting += resting;
            counts.brittle += pool.brittle_count();
        }
        counts
    }
}
