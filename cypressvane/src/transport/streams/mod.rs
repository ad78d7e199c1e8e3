//! Streams of services with several software versions: records which version began each stream, tells the hosts that keep
//! the stream's group, and asks them when a caller takes a stream up.
//!
//! While a service has one version, nothing is told, and only streams that break off are recorded. Otherwise a stream is
//! told with its first event, together with the others of the last moments, and written to the table service.

mod archive;
mod contact;
mod keepers;
mod ledger;
mod query;
mod relayed;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use futures_lite::future::zip;
use slog::Logger;

use crate::coordination::origin::{History, Id, Records, Report, Version};
use crate::coordination::view::Watch;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Entry, ServiceVersions};
use crate::state::units::millis;
use crate::transport::node::Node;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, timeout};

use archive::Archive;
pub(crate) use contact::is_current;
use ledger::Ledger;
pub(crate) use query::{Error, Known};
pub(crate) use relayed::Relayed;

/// Time after which a stream is taken up again at most, before a configuration tells the longest time-out.
const RETENTION_DEFAULT: Duration = Duration::from_secs(60);
/// Multiple of the longest time-out of a route for which a stream is remembered: it may break off at its end, and be
/// taken up for as long again.
const RETENTION_TIMEOUTS: u32 = 2;

/// How long a host that starts waits for what is stored of streams before it takes callers.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a service has several versions; shared with the streams that are relayed.
#[derive(Debug, Default)]
struct Service {
    has_several: AtomicBool,
}

/// The services' versions in the host list.
#[derive(Debug, Default)]
struct Listed {
    /// Those of this region.
    here: ServiceVersions,
    /// Those of other regions.
    elsewhere: ServiceVersions,
}

impl Listed {
    /// The versions of all regions.
    fn all(&self) -> ServiceVersions {
        let mut all = self.here.clone();
        for (service, versions) in &self.elsewhere {
            let own = all.entry(service.clone()).or_default();
            own.extend(versions.iter().cloned());
        }
        all
    }
}

/// This host's part of what is known of streams.
pub(crate) struct Streams {
    me: Name,
    links: Arc<Links>,
    log: Logger,
    services: ArcSwap<HashMap<Name, Arc<Service>>>,
    listed: Mutex<Listed>,
    /// For how long this host has followed the host list.
    watch: Mutex<Watch>,
    histories: Mutex<BTreeMap<Name, History>>,
    records: Mutex<Records>,
    /// Streams to tell, by host and version.
    outgoing: Mutex<BTreeMap<(Name, Version), Vec<Id>>>,
    /// The hosts that keep each group, as last seen.
    keepers: Mutex<HashMap<u8, Arc<[Name]>>>,
    /// Hosts whose processes have been replaced, and when they are told again what they keep.
    restarted: Mutex<BTreeMap<Name, Instant>>,
    queries: Mutex<HashMap<u64, Sender<(Name, Report)>>>,
    next_query: AtomicU64,
    retention_ms: AtomicU64,
    ledger: Ledger,
    archive: Archive,
    /// Whether what was stored before this host started has been read, or did not come in time.
    is_prepared: AtomicBool,
}

/// Reads and writes what lasts on the platform, for as long as the host runs.
pub(crate) async fn run(node: Arc<Node>) {
    let prepare = async {
        ledger::read_first(&node).await;
        archive::read_first(&node).await;
    };
    timeout(PREPARE_TIMEOUT, prepare).await;
    node.streams.is_prepared.store(true, Ordering::Relaxed);
    // A malformed row cannot be read before the elected host has overwritten it.
    let ledger = zip(ledger::read_first(&node), ledger::run(&node));
    let contact = contact::run(&node);
    zip(zip(ledger, contact), archive::run(&node)).await;
}

impl Streams {
    pub(crate) fn new(me: Name, region: &Name, links: Arc<Links>, log: Logger) -> Self {
        Self {
            me,
            links,
            log,
            services: ArcSwap::default(),
            listed: Mutex::default(),
            watch: Mutex::default(),
            histories: Mutex::default(),
            records: Mutex::default(),
            outgoing: Mutex::default(),
            keepers: Mutex::default(),
            restarted: Mutex::default(),
            queries: Mutex::default(),
            next_query: AtomicU64::new(1),
            retention_ms: AtomicU64::new(millis(RETENTION_DEFAULT)),
            ledger: Ledger::default(),
            archive: Archive::new(region),
            is_prepared: AtomicBool::new(false),
        }
    }

    /// Sets the longest time-out of a route that streams may have.
    pub(crate) fn set_longest_timeout(&self, longest: Duration) {
        let retention = millis(longest * RETENTION_TIMEOUTS);
        self.retention_ms.store(retention, Ordering::Relaxed);
    }

    /// How long a stream is remembered.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms.load(Ordering::Relaxed))
    }

    /// Number of streams that this host remembers.
    pub(crate) fn recorded(&self) -> usize {
        lock(&self.records).len()
    }

    /// Whether this host can tell which versions began the streams that callers take up, as far as it ever will.
    pub(crate) fn is_prepared(&self) -> bool {
        self.is_prepared.load(Ordering::Relaxed)
    }

    /// Number of streams that this host has still to write to the platform.
    pub(crate) fn unsaved(&self) -> usize {
        self.archive.unsaved()
    }

    /// Updates the services' versions in other regions, at whose hosts streams of this region may have begun.
    pub(crate) fn update_elsewhere(&self, elsewhere: ServiceVersions, now: Instant) {
        let has_changed = {
            let mut listed = lock(&self.listed);
            let has_changed = listed.elsewhere != elsewhere;
            listed.elsewhere = elsewhere;
            has_changed
        };
        if has_changed {
            self.apply_listed(now);
        }
    }

    /// Updates the services' versions from the servers of this region in the host list.
    pub(crate) fn update_listed<'a>(&self, servers: impl Iterator<Item = &'a Entry>, now: Instant) {
        let mut listed = ServiceVersions::new();
        for entry in servers {
            if let Some(service) = &entry.service {
                let versions = listed.entry(service.clone()).or_default();
                versions.insert(entry.version.clone());
            }
        }
        lock(&self.listed).here = listed;
        lock(&self.watch).note_read(now);
        self.apply_listed(now);
    }

    /// Applies the listed versions of all regions to the histories.
    fn apply_listed(&self, now: Instant) {
        let listed = lock(&self.listed).all();
        {
            let mut histories = lock(&self.histories);
            for service in listed.keys() {
                histories.entry(service.clone()).or_default();
            }
            let none = BTreeSet::new();
            for (service, history) in histories.iter_mut() {
                history.apply_list(listed.get(service).unwrap_or(&none), now);
            }
        }
        self.refresh(now);
    }

    /// Updates which services have several versions, and tells what was recorded when a service gets another one.
    pub(crate) fn refresh(&self, now: Instant) {
        let retention = self.retention();
        let histories = lock(&self.histories);
        let several: Vec<(Name, bool)> = histories
            .iter()
            .map(|(service, history)| (service.clone(), history.recent(retention, now).len() > 1))
            .collect();
        drop(histories);
        let mut has_begun = false;
        for (name, has_several) in several {
            let service = self.service(&name);
            let before = service.has_several.swap(has_several, Ordering::Relaxed);
            if before != has_several {
                slog::info!(
                    self.log, "streams of a service are told to other hosts, or no longer";
                    "service" => &*name, "told" => has_several,
                );
                has_begun |= has_several;
            }
        }
        lock(&self.records).forget_old(retention, now);
        if has_begun {
            self.tell_all(|_, _| true);
            self.archive_recorded(|_| true);
        }
    }

    /// The shared state of a service, which is added if it is missing.
    fn service(&self, name: &Name) -> Arc<Service> {
        if let Some(service) = self.services.load().get(name) {
            return Arc::clone(service);
        }
        let new = Arc::new(Service::default());
        self.services.rcu(|services| {
            let mut all = HashMap::clone(services);
            all.entry(name.clone()).or_insert_with(|| Arc::clone(&new));
            all
        });
        let services = self.services.load();
        Arc::clone(services.get(name).unwrap_or(&new))
    }
}
