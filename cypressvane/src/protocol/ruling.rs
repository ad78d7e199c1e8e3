//! What hosts tell each other, the table service and operators of requests under which servers end.
//!
//! Times are relative, since clocks differ.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::quarantine::{self, End, Subject};
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::units::millis_since;

/// A moment that was told as so long ago; one beyond what the clock can name is as good as now's.
fn ago(ms: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(ms)).unwrap_or(now)
}

/// A server that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ended {
    pub(crate) fingerprint: Fingerprint,
    account: Option<Name>,
    path: Name,
    id: u64,
    server: Name,
    sent_ago_ms: u64,
    over_ago_ms: u64,
}

impl Ended {
    pub(crate) fn new(
        fingerprint: Fingerprint,
        subject: &Subject,
        end: &End,
        now: Instant,
    ) -> Self {
        Self {
            fingerprint,
            account: subject.account.clone(),
            path: subject.path.clone(),
            id: end.id,
            server: end.server.clone(),
            sent_ago_ms: millis_since(end.sent, now),
            over_ago_ms: millis_since(end.ended, now),
        }
    }

    /// The same in the time of the host that hears it.
    pub(crate) fn heard(self, now: Instant) -> (Subject, End) {
        let subject = Subject {
            account: self.account,
            path: self.path,
        };
        let end = End {
            id: self.id,
            server: self.server,
            sent: ago(self.sent_ago_ms, now),
            ended: ago(self.over_ago_ms, now),
        };
        (subject, end)
    }
}

/// Whether a request is kept from the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ruling {
    fingerprint: Fingerprint,
    account: Option<Name>,
    path: Name,
    version: u32,
    servers: Vec<Name>,
    age_ms: u64,
}

impl Ruling {
    pub(crate) fn told(ruling: &quarantine::Ruling, now: Instant) -> Self {
        Self {
            fingerprint: ruling.fingerprint,
            account: ruling.subject.account.clone(),
            path: ruling.subject.path.clone(),
            version: ruling.version,
            servers: ruling.servers.clone(),
            age_ms: millis_since(ruling.since, now),
        }
    }

    /// The same when more time has passed.
    pub(crate) fn aged(self, passed_ms: u64) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(passed_ms),
            ..self
        }
    }

    /// The same in the time of the host that hears it.
    pub(crate) fn heard(self, now: Instant) -> quarantine::Ruling {
        quarantine::Ruling {
            fingerprint: self.fingerprint,
            subject: Subject {
                account: self.account,
                path: self.path,
            },
            version: self.version,
            servers: self.servers,
            since: ago(self.age_ms, now),
        }
    }
}
