//! The cache of what this host has read in servers' answers.

use std::cmp::Ordering as Order;
use std::collections::HashMap;
use std::sync::atomic::Ordering;

use super::{Granted, report};
use crate::coordination::pool::{Notice, Receipt, ReportedLimit, Rest};
use crate::coordination::shard::Shard;
use crate::protocol::headers::{self, Brittle, Limit};
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;
use crate::transport::scheduler::server_list::ServerList;
use crate::transport::scheduler::{Grant, Scheduler};

/// Most cached notices: one for each server of the largest site.
const CACHED_NOTICES_MAX: usize = 4_096;

/// What this host has read in a server's answers.
#[derive(Debug)]
pub(in crate::transport::scheduler) struct CachedNotice {
    /// The pool of the server.
    pool: Name,
    notice: Notice,
    /// The home to which it was last reported.
    reported_to: Name,
    /// When the home was last told that the server is brittle.
    brittle_reported_at: Option<Instant>,
}

impl CachedNotice {
    fn is_brittle_report_due(&self, now: Instant) -> bool {
        report::is_brittle_report_due(self.brittle_reported_at, now)
    }
}

/// What was cached of a server before an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Before {
    pub(super) was_limited: bool,
    pub(super) brittle_reported_at: Option<Instant>,
}

impl Scheduler {
    /// Caches what an answer states; returns what was cached before.
    pub(super) fn cache_notice(
        &self,
        granted: &Granted,
        stated: &headers::Notice,
        now: Instant,
    ) -> Before {
        let server = &granted.server;
        let receipt = || Receipt {
            at: now,
            by: self.me.clone(),
        };
        let limit = match stated.limit {
            Limit::PerSecond(per_second) => Some(ReportedLimit {
                per_second,
                received_at: now,
                heard_by: self.me.clone(),
            }),
            Limit::Absent | Limit::Malformed => None,
        };
        let notice = Notice {
            incarnation: granted.incarnation,
            limit,
            leaving: stated.is_leaving.then(receipt),
            rest: report::rest_time(stated).map(|rest| Rest {
                until: now + rest,
                receipt: receipt(),
            }),
            brittle: match stated.brittle {
                Brittle::Tolerates(tolerance) => Some(report::brittle(tolerance, &self.me, now)),
                Brittle::Absent | Brittle::Malformed => None,
            },
        };
        let is_any_cached = self.cached_notice_count.load(Ordering::Relaxed) > 0;
        if notice.is_empty(now) && !is_any_cached {
            return Before::default();
        }
        self.update_cached_notices(|cached| {
            if let Some(known) = cached.get_mut(server) {
                let before = Before {
                    was_limited: known.notice.limit.is_some(),
                    brittle_reported_at: known.brittle_reported_at,
                };
                if known.is_brittle_report_due(now) && notice.brittle.is_some() {
                    known.brittle_reported_at = Some(now);
                }
                if stated.limit == Limit::Absent {
                    known.notice.limit = None;
                }
                known.notice.merge(notice);
                known.reported_to = granted.home.clone();
                if known.notice.is_empty(now) {
                    cached.remove(server);
                }
                return before;
            }
            if cached.len() >= CACHED_NOTICES_MAX {
                cached.retain(|_, known| !known.notice.is_empty(now));
            }
            if !notice.is_empty(now) && cached.len() < CACHED_NOTICES_MAX {
                let known = CachedNotice {
                    pool: granted.shard.service.clone(),
                    brittle_reported_at: notice.brittle.is_some().then_some(now),
                    notice,
                    reported_to: granted.home.clone(),
                };
                cached.insert(server.clone(), known);
            }
            Before::default()
        })
    }

    /// Returns the cached notice by which the server of a grant wants no requests, if there is one.
    pub(super) fn barring_notice(&self, grant: &Grant, now: Instant) -> Option<Notice> {
        if self.cached_notice_count.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let cached = lock(&self.cached_notices);
        let notice = &cached.get(&grant.server)?.notice;
        let order = grant.incarnation().compare(&notice.incarnation);
        let is_later = order.is_none_or(Order::is_gt);
        (!is_later && notice.bars_requests(now)).then(|| notice.clone())
    }

    /// The cached notices of the servers of a shard.
    pub(in crate::transport::scheduler) fn cached_notices_of(
        &self,
        shard: &Shard,
    ) -> Vec<(Name, Notice)> {
        if self.cached_notice_count.load(Ordering::Relaxed) == 0 {
            return Vec::new();
        }
        let server_list = self.server_list.load();
        let sharding = server_list.shardings.get(&shard.service);
        let is_of = |server: &Name, known: &CachedNotice| {
            known.pool == shard.service
                && sharding.is_some_and(|sharding| sharding.shard_of(server) == *shard)
        };
        let cached = lock(&self.cached_notices);
        let own = cached.iter().filter(|(server, known)| is_of(server, known));
        own.map(|(server, known)| (server.clone(), known.notice.clone()))
            .collect()
    }

    fn update_cached_notices<T>(
        &self,
        change: impl FnOnce(&mut HashMap<Name, CachedNotice>) -> T,
    ) -> T {
        let mut cached = lock(&self.cached_notices);
        let result = change(&mut cached);
        self.cached_notice_count
            .store(cached.len(), Ordering::Relaxed);
        result
    }

    /// Drops the cached notices that no longer apply to a server of the host list.
    pub(in crate::transport::scheduler) fn drop_outdated_notices(
        &self,
        server_list: &ServerList,
        now: Instant,
    ) {
        if self.cached_notice_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        self.update_cached_notices(|cached| {
            cached.retain(|server, known| {
                !known.notice.is_empty(now) && self.may_apply(server, known, server_list)
            });
        });
    }

    /// Whether a cached notice may still apply to the server: no later incarnation is listed and, if the server is not
    /// listed, it has left the list recently and would be recognised.
    fn may_apply(&self, server: &Name, known: &CachedNotice, server_list: &ServerList) -> bool {
        let incarnation = &known.notice.incarnation;
        match server_list.spec(&known.pool, server) {
            Some(spec) => {
                let order = spec.incarnation().compare(incarnation);
                order.is_some_and(Order::is_le)
            }
            None => incarnation.started_ms.is_some() && lock(&self.departed).contains_key(server),
        }
    }

    /// Repeats the cached notices to the homes that may lack them: those that `may_lack` selects, because they
    /// restarted or their link was reconnected, and those that have become the home since the last report.
    pub(crate) fn repeat_notices(&self, may_lack: impl Fn(&Name) -> bool, now: Instant) {
        if self.cached_notice_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let server_list = self.server_list.load();
        self.drop_outdated_notices(&server_list, now);
        let mut outgoing = Vec::new();
        self.update_cached_notices(|cached| {
            for (server, known) in cached.iter_mut() {
                let Some(sharding) = server_list.shardings.get(&known.pool) else {
                    continue;
                };
                let shard = sharding.shard_of(server);
                let home = self.home_of(&shard);
                if home == known.reported_to && !may_lack(&home) {
                    continue;
                }
                known.reported_to = home.clone();
                let message = Message::Notice {
                    shard,
                    server: server.clone(),
                    incarnation: known.notice.incarnation,
                    heard: report::earlier(&known.notice, now),
                };
                outgoing.push((home, message));
            }
        });
        for (home, message) in outgoing {
            self.send(&home, message, now);
        }
    }
}
