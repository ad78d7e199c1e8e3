//! The contract with the platform's table service and host list.
//!
//! Everything above this module meets the platform through these traits alone.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::clock::Instant;
use crate::state::fleet::Fleet;
use crate::state::name::Name;
use crate::state::rollout::{Order, Progress};

/// Time between two reads of a host list that gives its state at once.
const ROSTER_REST: Duration = Duration::from_secs(1);

/// A boxed future, so that the traits can be used as objects.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Grows with each write of this row.
    pub revision: u64,
    /// The value as text.
    pub value: String,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The write took effect.
    Done,
    /// The row was not as expected, and nothing was written.
    Conflict,
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call did not reach the platform, so it had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The call may or may not have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// The platform answered something that this module does not understand.
    #[error("the platform answered {0}")]
    Unexpected(String),
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads one row; `None` when it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Result<Option<Row>, Error>>;

    /// Writes one row if it is as `expect` says.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expect: Expect,
    ) -> Pending<'a, Result<Write, Error>>;
}

/// What an entry of the host list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A host that runs this system.
    Entry,
    /// A backend server of one service.
    Backend,
}

/// Whether an entry of the host list stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// In service.
    Live,
    /// Leaving: it gets no new work.
    Leaving,
}

impl Presence {
    /// Its word in logs.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        }
    }
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique name.
    pub name: Name,
    /// What it is.
    pub kind: Kind,
    /// Where it answers: the peer listener of a host, the only listener of a backend server.
    pub address: SocketAddr,
    /// The operators' listener of a host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<SocketAddr>,
    /// The service of a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Its data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
    /// Whether it stays.
    pub presence: Presence,
    /// The version of a backend server's software, where it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Most requests that a backend server runs at once, where it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// When a backend server was started, where it tells: Unix milliseconds by its own clock. One that starts again under its
    /// name holds and knows nothing of before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

/// What a read of the host list gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Nothing has changed since the read that gave this tag.
    Same,
    /// The entries as they are now.
    Entries {
        /// Tells this state of the list from others; `None` where the platform gives no tags.
        tag: Option<String>,
        /// The entries.
        entries: Vec<Entry>,
        /// Whether another host told of what is new, rather than the platform itself.
        told: bool,
        /// What was left out because it could not be read, and why.
        faults: Vec<String>,
    },
}

/// How closely a host follows the host list itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attention {
    /// It waits for each change, and passes it on to others.
    Close,
    /// It waits for changes, and lets many come together: it starts, and others are likely to tell soon.
    Patient,
    /// It hears of changes from others, and reads the list itself only now and then.
    Seldom,
}

/// The list of live and leaving hosts, which lags.
pub trait Roster: Send + Sync {
    /// Time to wait between two reads; zero where a read itself waits for a change.
    fn rest(&self) -> Duration {
        ROSTER_REST
    }

    /// Whether hosts enter themselves.
    fn takes_entries(&self) -> bool {
        false
    }

    /// Enters this host, where the platform does not do so itself.
    fn enter<'a>(&'a self, _entry: &'a Entry) -> Pending<'a, Result<(), Error>> {
        Box::pin(async { Ok(()) })
    }

    /// Strikes out a host that is gone, where the platform does not do so itself.
    fn strike<'a>(&'a self, _host: &'a str) -> Pending<'a, Result<(), Error>> {
        Box::pin(async { Ok(()) })
    }

    /// Says how closely this host is to follow the list itself.
    fn follow(&self, _attention: Attention) {}

    /// Waits for a change that this host has seen and others may not have, in the platform's own form;
    /// never ends where hosts do not pass changes on.
    fn news(&self) -> Pending<'_, Vec<u8>> {
        Box::pin(std::future::pending())
    }

    /// Takes in a change that another host has seen.
    ///
    /// # Errors
    /// When it cannot be read.
    fn hear(&self, _news: &[u8]) -> Result<(), Error> {
        Ok(())
    }

    /// How far this host has read the list itself, as positions that only grow and that the hosts of one
    /// platform can compare; empty where hosts do not pass changes on.
    fn read_here(&self) -> Vec<u64> {
        Vec::new()
    }

    /// How often the platform has come back from an older copy, as far as this host has seen.
    fn returns(&self) -> u64 {
        0
    }

    /// Hears how far another host has read the list; where that is further and nothing is told soon, this
    /// host looks itself.
    fn hear_of(&self, _read: &[u64]) {}

    /// Reads the entries of a region, or of all regions, unless they are as they were at `known`.
    fn list<'a>(
        &'a self,
        region: Option<&'a str>,
        known: Option<&'a str>,
    ) -> Pending<'a, Result<Listing, Error>>;
}

/// What a look at the configuration gives.
#[derive(Clone, Debug)]
pub struct Look {
    /// What it shows was the newest then or later.
    pub confirmed: Instant,
    /// The same moment by the platform's clock, in milliseconds, which other hosts can place in their
    /// own time; `None` where the platform tells no time.
    pub stamp: Option<u64>,
    /// The newest version, if it is above the one that was known.
    pub newer: Option<(u64, Fleet)>,
    /// The newest order of a roll-out of each service that has one.
    pub orders: Vec<Order>,
    /// What was left out of them because it could not be read, and why; each is told once for each change.
    pub faults: Vec<String>,
    /// How often the platform has come back from an older copy, without what was written last.
    pub returns: u64,
}

/// What is kept of a service's roll-out, with the revision by which it is changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// Grows with each write.
    pub revision: u64,
    /// What is kept.
    pub progress: Progress,
}

/// Where operators keep the configuration, on a platform with a place of its own for it.
pub trait Source: Send + Sync {
    /// Waits for a version above `known`, but not much longer than `wait`.
    fn look(&self, known: u64, wait: Duration) -> Pending<'_, Result<Look, Error>>;

    /// A moment by the platform's clock in this host's time, or an earlier one; `None` where this
    /// host does not know the platform's clock.
    fn moment(&self, stamp: u64) -> Option<Instant>;

    /// When the platform last answered a call of this host, whatever it was for; `None` where that is not known.
    fn answered(&self) -> Option<Instant> {
        None
    }

    /// Reads what is kept of a service's roll-out.
    fn rollout<'a>(&'a self, service: &'a str) -> Pending<'a, Result<Option<Kept>, Error>>;

    /// Keeps it if it is as `expect` says, and tells operators how it stands.
    fn keep_rollout<'a>(
        &'a self,
        service: &'a str,
        progress: &'a Progress,
        expect: Expect,
    ) -> Pending<'a, Result<Write, Error>>;
}

/// The services of a platform.
pub struct Services {
    /// The table service.
    pub table: Box<dyn Table>,
    /// The host list.
    pub roster: Box<dyn Roster>,
    /// Where the configuration comes from; the table service when there is none.
    pub source: Option<Box<dyn Source>>,
}
