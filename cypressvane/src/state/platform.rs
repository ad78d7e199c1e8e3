//! Interface to the platform's table service, host list and configuration store.
//!
//! All other modules access the platform only through these traits.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::clock::Instant;
use crate::state::fleet::Fleet;
use crate::state::name::Name;
use crate::state::rollout::{Order, Progress};

/// Default interval between reads of a host list that answers immediately instead of waiting for a change.
const HOST_LIST_READ_INTERVAL: Duration = Duration::from_secs(1);

/// A boxed future; it keeps the traits dyn-compatible.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The software versions of each service's backend servers; `None` is for those that state none.
pub type ServiceVersions = BTreeMap<Name, BTreeSet<Option<Name>>>;

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Revision of the row; increases with each write.
    pub revision: u64,
    /// Value of the row as text.
    pub value: String,
}

/// Key and value of a row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key of the row.
    pub key: String,
    /// Value of the row as text.
    pub value: String,
}

/// Precondition of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row must not exist.
    Absent,
    /// The row must have this revision.
    Revision(u64),
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The write took effect.
    Done,
    /// The precondition was not met; nothing was written.
    Conflict,
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call did not reach the platform and had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The answer was lost; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// The platform's answer was not understood.
    #[error("the platform answered {0}")]
    Unexpected(String),
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, Error>>;

    /// Writes a row if the precondition `expect` holds.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expect: Expect,
    ) -> BoxFuture<'a, Result<Write, Error>>;

    /// Reads all rows whose keys begin with `prefix`, in the order of their keys.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<KeyValue>, Error>>;

    /// Writes all rows or none, whatever they held. At most 100 rows of 64 KiB each, and 1 MB together.
    fn overwrite<'a>(&'a self, rows: &'a [KeyValue]) -> BoxFuture<'a, Result<(), Error>>;
}

/// Kind of an entry of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A host that runs the scheduler.
    Entry,
    /// A backend server of one service.
    Backend,
}

/// Availability of an entry of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The entry is in service.
    Live,
    /// The entry is being removed and receives no new requests.
    Leaving,
}

impl Presence {
    /// Returns the name used in logs.
    pub(crate) fn text(self) -> &'static str {
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
    /// Kind of the entry.
    pub kind: Kind,
    /// Address of a host's peer listener, or of a backend server's only listener.
    pub address: SocketAddr,
    /// Address of a host's operators' listener.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<SocketAddr>,
    /// Service that a backend server runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Data centre of the host or server.
    pub data_centre: Name,
    /// Region of the host or server.
    pub region: Name,
    /// Availability of the host or server.
    pub presence: Presence,
    /// Version of a backend server's software, if reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Maximum number of concurrent requests of a backend server, if reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Start time of a backend server, if reported, in milliseconds since the Unix epoch by the server's own clock. A
    /// higher value means that the server restarted and lost its requests and cached state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// How much longer a backend server is cold after a start, if reported, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
}

/// Result of a read of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The list has not changed since the read that returned the given tag.
    Same,
    /// The current entries.
    Entries {
        /// Tag that identifies this state of the list; `None` if the platform does not provide tags.
        tag: Option<String>,
        /// The entries.
        entries: Vec<Entry>,
        /// Whether the newest change was reported by another host instead of the platform.
        is_from_peer: bool,
        /// Entries that were skipped because they do not parse, with the reason.
        faults: Vec<String>,
        /// Number of hosts of other regions; 0 if the platform does not list them.
        hosts_elsewhere: u32,
        /// The software versions of each service's backend servers in other regions.
        versions_elsewhere: ServiceVersions,
    },
}

/// How closely a host watches the host list itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowMode {
    /// The host waits for each change and forwards it to others.
    Immediate,
    /// The host waits for changes and batches them; used while it starts, when others are likely to report them soon.
    Batched,
    /// The host receives changes from others and reads the list itself only occasionally.
    Passive,
}

/// The list of live and leaving hosts and backend servers; it is eventually consistent.
pub trait HostList: Send + Sync {
    /// Returns the interval between reads; zero if a read itself waits for a change.
    fn read_interval(&self) -> Duration {
        HOST_LIST_READ_INTERVAL
    }

    /// Returns whether hosts register themselves.
    fn has_self_registration(&self) -> bool {
        false
    }

    /// Registers this host, if the platform does not do so itself.
    fn register<'a>(&'a self, _entry: &'a Entry) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async { Ok(()) })
    }

    /// Removes a host that is gone, if the platform does not do so itself.
    fn deregister<'a>(&'a self, _host: &'a str) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async { Ok(()) })
    }

    /// Sets how closely this host watches the list itself.
    fn set_follow_mode(&self, _mode: FollowMode) {}

    /// Waits for a change that this host has read and should forward to other hosts, in the platform's own encoding;
    /// never completes if hosts do not forward changes.
    fn next_outgoing_changes(&self) -> BoxFuture<'_, Vec<u8>> {
        Box::pin(std::future::pending())
    }

    /// Applies a change that was forwarded by another host.
    ///
    /// # Errors
    /// Fails if the change cannot be decoded.
    fn apply_from_peer(&self, _changes: &[u8]) -> Result<(), Error> {
        Ok(())
    }

    /// Returns the whole list for a host that starts, in the platform's own encoding; `None` before it is read, or if
    /// each host reads the list itself.
    fn content(&self) -> Option<Vec<u8>> {
        None
    }

    /// Loads the whole list from another host, unless it has been read here.
    ///
    /// # Errors
    /// Fails if the list cannot be decoded.
    fn load_from_peer(&self, _content: &[u8]) -> Result<(), Error> {
        Ok(())
    }

    /// Returns whether this host lacks the whole list, which is too long for each host to read it from the platform.
    fn waits_for_peers(&self) -> bool {
        false
    }

    /// Returns the hosts that may have the whole list, while this host waits for it; otherwise empty.
    fn hosts_to_ask(&self) -> Vec<Entry> {
        Vec::new()
    }

    /// Returns the positions of the newest changes of the list that this host knows; they only increase and are
    /// comparable between the hosts of one platform. Empty if hosts do not forward changes.
    fn known_positions(&self) -> Vec<u64> {
        Vec::new()
    }

    /// Returns how often the platform has been restored from an older copy, as far as this host has observed.
    fn restore_count(&self) -> u64 {
        0
    }

    /// Notes the positions up to which another host knows the list. If they are ahead and the changes are not
    /// forwarded soon, this host reads the list itself.
    fn observe_peer(&self, _known: &[u64]) {}

    /// Reads the entries of a region, or of all regions; returns `Listing::Same` if the list still has the tag `known`.
    fn list<'a>(
        &'a self,
        region: Option<&'a str>,
        known: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Listing, Error>>;
}

/// Operators' orders to evacuate data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// Position in the platform's history up to which the orders are known; positions only increase.
    pub position: u64,
    /// The data centres whose backend servers are to get no requests.
    pub data_centres: BTreeSet<Name>,
}

/// Result of a read of the configuration store.
#[derive(Clone, Debug)]
pub struct ConfigState {
    /// Time at or after which this result was the newest state.
    pub confirmed: Instant,
    /// The same time by the platform's clock, in milliseconds, which other hosts can convert to their own clock; `None`
    /// if the platform does not report its time.
    pub confirmed_ms: Option<u64>,
    /// Number and content of the newest version, if it is newer than the known one.
    pub newer: Option<(u64, Fleet)>,
    /// Newest roll-out order of each service that has one.
    pub orders: Vec<Order>,
    /// Evacuated data centres.
    pub evacuation: Evacuation,
    /// Why orders and entries of the configuration were left out; each is reported once per change.
    pub faults: Vec<String>,
    /// Number of times the platform has been restored from an older copy, losing its latest writes.
    pub restore_count: u64,
}

/// Stored progress of a service's roll-out, with its revision for conditional writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    /// Revision; increases with each write.
    pub revision: u64,
    /// Stored progress.
    pub progress: Progress,
}

/// A store in which operators maintain the configuration, on platforms that have one besides the table service.
pub trait ConfigStore: Send + Sync {
    /// Reads the store. Unless it already has a version newer than `known`, waits for a change, for little longer than
    /// `wait`.
    fn poll(&self, known: u64, wait: Duration) -> BoxFuture<'_, Result<ConfigState, Error>>;

    /// Converts a time by the platform's clock to this host's clock, never to a later time than the true one; `None` if
    /// the offset of the platform's clock is not known.
    fn to_local_time(&self, platform_ms: u64) -> Option<Instant>;

    /// Returns the time at which the platform last answered any call of this host; `None` if not known.
    fn last_answered(&self) -> Option<Instant> {
        None
    }

    /// Reads the stored progress of a service's roll-out.
    fn load_rollout<'a>(
        &'a self,
        service: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoredRollout>, Error>>;

    /// Stores the progress of a service's roll-out if the precondition `expect` holds, and publishes its state to
    /// operators.
    fn store_rollout<'a>(
        &'a self,
        service: &'a str,
        progress: &'a Progress,
        expect: Expect,
    ) -> BoxFuture<'a, Result<Write, Error>>;
}

/// The services of a platform.
pub struct Services {
    /// The table service.
    pub table: Box<dyn Table>,
    /// The host list.
    pub host_list: Box<dyn HostList>,
    /// Configuration store; if absent, the configuration is read from the table service.
    pub config_store: Option<Box<dyn ConfigStore>>,
}
