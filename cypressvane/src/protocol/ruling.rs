//! Quarantine data exchanged between hosts and stored in the table service.
//!
//! Times are sent as ages, since the clocks of hosts differ.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::quarantine::{self, End, Feature, Features, Subject};
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::units::millis_since;

/// Returns the time `ms` milliseconds before `now`; `now` itself if the clock cannot represent that time.
fn time_before(ms: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(ms)).unwrap_or(now)
}

/// Report that a backend server ended while running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ended {
    /// The request's features, the narrowest first.
    features: Vec<Feature>,
    account: Option<Name>,
    path: Name,
    id: u64,
    pool: Name,
    server: Name,
    sent_ago_ms: u64,
    over_ago_ms: u64,
}

impl Ended {
    pub(crate) fn new(features: &[Feature], subject: &Subject, end: &End, now: Instant) -> Self {
        Self {
            features: features.to_vec(),
            account: subject.account.clone(),
            path: subject.path.clone(),
            id: end.id,
            pool: end.pool.clone(),
            server: end.server.clone(),
            sent_ago_ms: millis_since(end.sent, now),
            over_ago_ms: millis_since(end.ended, now),
        }
    }

    /// The pool of the server that ended.
    pub(crate) fn pool(&self) -> &Name {
        &self.pool
    }

    /// Converts the report to the receiving host's clock.
    ///
    /// `None` if it names no feature.
    pub(crate) fn into_local(self, now: Instant) -> Option<(Features, Subject, End)> {
        let subject = Subject {
            account: self.account,
            path: self.path,
            part: None,
        };
        let end = End {
            id: self.id,
            pool: self.pool,
            server: self.server,
            request: self.features.first()?.fingerprint,
            sent: time_before(self.sent_ago_ms, now),
            ended: time_before(self.over_ago_ms, now),
        };
        Some((self.features.into(), subject, end))
    }
}

/// Ruling on whether a feature of requests is quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ruling {
    fingerprint: Fingerprint,
    account: Option<Name>,
    path: Name,
    #[serde(default)]
    part: Option<Name>,
    #[serde(default)]
    along_with: Vec<Fingerprint>,
    version: u32,
    servers: Vec<Name>,
    age_ms: u64,
    #[serde(default)]
    is_on_trial: bool,
}

impl Ruling {
    /// Converts a ruling from this host's clock to an age, to be sent or stored.
    pub(crate) fn from_local(ruling: &quarantine::Ruling, now: Instant) -> Self {
        Self {
            fingerprint: ruling.fingerprint,
            account: ruling.subject.account.clone(),
            path: ruling.subject.path.clone(),
            part: ruling.subject.part.clone(),
            along_with: ruling.along_with.clone(),
            version: ruling.version,
            servers: ruling.servers.clone(),
            age_ms: millis_since(ruling.since, now),
            is_on_trial: ruling.is_on_trial,
        }
    }

    /// Returns the ruling with `passed_ms` added to its age.
    pub(crate) fn aged(self, passed_ms: u64) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(passed_ms),
            ..self
        }
    }

    /// Converts the ruling to the receiving host's clock.
    pub(crate) fn into_local(self, now: Instant) -> quarantine::Ruling {
        quarantine::Ruling {
            fingerprint: self.fingerprint,
            subject: Subject {
                account: self.account,
                path: self.path,
                part: self.part,
            },
            along_with: self.along_with,
            version: self.version,
            servers: self.servers,
            since: time_before(self.age_ms, now),
            is_on_trial: self.is_on_trial,
        }
    }
}
