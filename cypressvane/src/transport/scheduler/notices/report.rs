//! Reports of what servers state, from the hosts that read it to the homes of the servers' pools.

use std::time::Duration;

use crate::coordination::pool::{
    Action, Brittle, Incarnation, Notice, Pool, Receipt, ReportedLimit, Rest, Ticket,
};
use crate::protocol::headers::{self, Limit};
use crate::protocol::message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis_since;

/// Longest rest that a server gets at once; one that still wants rest then asks again.
const REST_MAX: Duration = Duration::from_secs(60 * 60);

/// How long a server counts as brittle after it has last said so. It says so in each answer, and is reported at most
/// once per `BRITTLE_REPORT_INTERVAL`.
const BRITTLE_TIME: Duration = Duration::from_secs(3);
/// Shortest interval between two reports of a host that the same server is brittle.
const BRITTLE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the home is to be told again that a server is brittle, if it was last told at `reported_at`.
pub(super) fn is_brittle_report_due(reported_at: Option<Instant>, now: Instant) -> bool {
    reported_at.is_none_or(|at| now.saturating_duration_since(at) >= BRITTLE_REPORT_INTERVAL)
}

/// Returns the statement of a brittle server that a host received at `now`.
pub(super) fn brittle(tolerance: u32, by: &Name, now: Instant) -> Brittle {
    Brittle {
        tolerance,
        until: now + BRITTLE_TIME,
        receipt: Receipt {
            at: now,
            by: by.clone(),
        },
    }
}

/// Returns the time for which a server wants no requests, as far as it is granted at once.
pub(super) fn rest_time(stated: &headers::Notice) -> Option<Duration> {
    match stated.rest {
        headers::Rest::For(time) if !time.is_zero() => Some(time.min(REST_MAX)),
        _ => None,
    }
}

/// Returns the report of a cached notice.
pub(super) fn earlier(notice: &Notice, now: Instant) -> message::NoticeReport {
    message::NoticeReport::Earlier {
        limit: notice.limit.as_ref().map(|limit| message::EarlierLimit {
            per_second: limit.per_second,
            ago_ms: millis_since(limit.received_at, now),
        }),
        leaving_ago_ms: notice
            .leaving
            .as_ref()
            .map(|receipt| millis_since(receipt.at, now)),
        rest_ms: notice
            .rest
            .as_ref()
            .filter(|rest| rest.until > now)
            .map(|rest| millis_since(now, rest.until)),
        brittle: notice
            .brittle
            .as_ref()
            .filter(|brittle| brittle.until > now)
            .map(|brittle| (brittle.tolerance, millis_since(now, brittle.until))),
    }
}

/// Applies a host's report on a server to the pool; `ticket` makes that host's tickets from sequence numbers.
pub(in crate::transport::scheduler) fn apply(
    pool: &mut Pool,
    from: &Name,
    ticket: impl Fn(u64) -> Ticket,
    server: &Name,
    incarnation: Incarnation,
    report: &message::NoticeReport,
    now: Instant,
) -> Vec<Action> {
    let receipt = |at| Receipt {
        at,
        by: from.clone(),
    };
    let rest = |rest_ms: u64| Rest {
        until: now + Duration::from_millis(rest_ms).min(REST_MAX),
        receipt: receipt(now),
    };
    match *report {
        message::NoticeReport::Now {
            sequence,
            limit,
            is_leaving,
            rest_ms,
            tolerance,
        } => {
            let notice = Notice {
                leaving: is_leaving.then(|| receipt(now)),
                rest: rest_ms.map(rest),
                brittle: tolerance.map(|tolerance| brittle(tolerance, from, now)),
                ..Notice::empty(incarnation)
            };
            let mut actions = pool.apply_notice(server, notice, now);
            let named = match limit {
                Limit::PerSecond(per_second) => Some(per_second),
                Limit::Absent => None,
                Limit::Malformed => return actions,
            };
            if pool.is_outdated(server, incarnation) {
                return actions;
            }
            actions.extend(pool.apply_limit(&ticket(sequence), server, named, now));
            actions
        }
        message::NoticeReport::Earlier {
            limit,
            leaving_ago_ms,
            rest_ms,
            brittle,
        } => {
            let before = |ago_ms| {
                now.checked_sub(Duration::from_millis(ago_ms))
                    .unwrap_or(now)
            };
            let notice = Notice {
                incarnation,
                limit: limit.map(|limit| ReportedLimit {
                    per_second: limit.per_second,
                    received_at: before(limit.ago_ms),
                    heard_by: from.clone(),
                }),
                leaving: leaving_ago_ms.map(|ago_ms| receipt(before(ago_ms))),
                rest: rest_ms.map(rest),
                brittle: brittle.map(|(tolerance, left_ms)| Brittle {
                    tolerance,
                    until: now + Duration::from_millis(left_ms).min(BRITTLE_TIME),
                    receipt: receipt(now),
                }),
            };
            pool.apply_notice(server, notice, now)
        }
    }
}
