//! The state that all tasks of a host share.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::budget::{self, Budget};
use crate::coordination::lease::Lease;
use crate::coordination::outage::Outage;
use crate::protocol::dump;
use crate::protocol::headers::Dialect;
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::{Instant, Lap, Stopwatch};
use crate::state::config::{Config, Timeouts};
use crate::state::fleet::Route;
use crate::state::name::Name;
use crate::state::platform::{ConfigStore, Entry, HostList, Kind, Presence, Services, Table};
use crate::state::units::{duration_from_millis, millis, since_epoch};
use crate::transport::accounts::{Accounts, Charge};
use crate::transport::active::Active;
use crate::transport::departure::Departure;
use crate::transport::evacuation::Evacuations;
use crate::transport::memory::Memory;
use crate::transport::metrics::Metrics;
use crate::transport::network::Network;
use crate::transport::peers::links::Links;
use crate::transport::quarantine::Quarantine;
use crate::transport::rollout::Rollouts;
use crate::transport::runtime::{lock, timeout};
use crate::transport::scheduler::Scheduler;
use crate::transport::streams::Streams;

/// Time without an answer from the configuration's source after which callers are sent elsewhere; longer than a slow
/// answer takes.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);

/// Retry-after of a request that this host cannot judge yet.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The state that all tasks of a host share.
pub(crate) struct Node {
    pub(crate) config: Config,
    /// What is held for others.
    pub(crate) memory: Memory,
    /// Start time in milliseconds since the Unix epoch, so that it grows from one start of this host to the next.
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    /// Measures for how long this host stood still.
    watch: Mutex<Stopwatch>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) table: Box<dyn Table>,
    pub(crate) host_list: Box<dyn HostList>,
    pub(crate) config_store: Option<Box<dyn ConfigStore>>,
    pub(crate) dialect: Dialect,
    pub(crate) links: Arc<Links>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) accounts: Accounts,
    pub(crate) quarantine: Quarantine,
    pub(crate) rollouts: Rollouts,
    pub(crate) evacuations: Evacuations,
    pub(crate) streams: Arc<Streams>,
    pub(crate) network: Arc<Network>,
    pub(crate) signals: Signals,
    active: ArcSwapOption<Active>,
    /// Closed once a configuration is in force, and the host list and the quarantine have been read.
    initialized: (Sender<()>, Receiver<()>),
    install_lock: Mutex<()>,
    budget: Mutex<Budget>,
    /// The lease on the configuration in force, and so on the accounts' keys.
    lease: Mutex<Lease>,
    /// The entries of the host list as last read.
    pub(crate) listed: ArcSwap<Vec<Entry>>,
    /// Time since which the configuration's source has not answered.
    source_lost: Mutex<Option<Instant>>,
    /// When the configuration's source last answered another host.
    answered_elsewhere: Mutex<Option<Instant>>,
    /// Addresses that are published in the host list, once this host listens.
    pub(crate) listening: OnceLock<Listening>,
    /// The platform's last outage.
    outage: Mutex<Outage>,
    /// When the platform last came back from an older copy.
    restored_at: Mutex<Option<Instant>>,
    /// Number of times that the platform came back from an older copy, plus one; 0 before that is known.
    restores: AtomicU64,
    is_draining: AtomicBool,
    pub(crate) departure: Departure,
}

/// The listener addresses of a host that are published in the host list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listening {
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Channels that wake other tasks and the process; each holds one signal.
pub(crate) struct Signals {
    /// Wakes the task that follows the configuration.
    pub(crate) wake_config_follower: Sender<()>,
    /// Wakes the task that follows the host list, since the configuration defines the servers' slots.
    pub(crate) wake_host_list_follower: Sender<()>,
    /// Notifies the process that an operator asked this host to leave.
    pub(crate) leave: Sender<()>,
}

impl Node {
    pub(crate) fn new(
        config: Config,
        services: Services,
        dialect: Dialect,
        signals: Signals,
        log: Logger,
    ) -> Self {
        let incarnation = millis(since_epoch());
        let host = &config.host;
        let links = Arc::new(Links::new(
            host.clone(),
            &config.timeouts,
            &config.peers,
            incarnation,
        ));
        let accounts = Accounts::new(&config, Arc::clone(&links), log.clone());
        let quarantine = Quarantine::new(&config.quarantine, Arc::clone(&links), log.clone());
        let rollouts = Rollouts::new(&config, incarnation, Arc::clone(&links), log.clone());
        let streams = Streams::new(
            host.name.clone(),
            &host.region,
            Arc::clone(&links),
            log.clone(),
        );
        let evacuations = Evacuations::new(Arc::clone(&links), log.clone());
        let network = Network::new(
            config.host.source_address,
            config.peers.carried_max,
            Arc::clone(&links),
            log.clone(),
        );
        let network = Arc::new(network);
        let scheduler = Scheduler::new(
            &config,
            incarnation,
            Arc::clone(&links),
            Arc::clone(&network),
            log.clone(),
        );
        Self {
            memory: Memory::open(config.limits.memory_mb),
            incarnation,
            started: Instant::now(),
            watch: Mutex::new(Stopwatch::start()),
            metrics: Metrics::new(links.counters()),
            table: services.table,
            host_list: services.host_list,
            config_store: services.config_store,
            dialect,
            links,
            scheduler: Arc::new(scheduler),
            accounts,
            quarantine,
            rollouts,
            evacuations,
            streams: Arc::new(streams),
            network,
            signals,
            active: ArcSwapOption::empty(),
            initialized: async_channel::bounded(1),
            install_lock: Mutex::new(()),
            budget: Mutex::new(Budget::new(Instant::now())),
            lease: Mutex::new(Lease::new(config.platform.key_lease())),
            listed: ArcSwap::default(),
            source_lost: Mutex::new(None),
            answered_elsewhere: Mutex::new(None),
            listening: OnceLock::new(),
            outage: Mutex::default(),
            restored_at: Mutex::new(None),
            restores: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            departure: Departure::new(),
            config,
            log,
        }
    }

    /// The time since the last call of this method.
    pub(crate) fn lap(&self) -> Lap {
        lock(&self.watch).lap()
    }

    /// The configuration in force.
    pub(crate) fn active(&self) -> Option<Arc<Active>> {
        self.active.load_full()
    }

    /// Waits until a starting host can serve requests, but no longer than the caller's timeout or the start timeout: a
    /// refusal with a retry would cost the caller more than this wait.
    pub(crate) async fn wait_initialized(&self, caller_timeout: Option<Duration>) {
        let start = Timeouts::duration(self.config.timeouts.start_ms);
        let limit = caller_timeout.map_or(start, |caller_timeout| caller_timeout.min(start));
        // The channel carries no values; it is closed on initialization, which ends all waits at once.
        let _ = timeout(limit, self.initialized.1.recv()).await;
    }

    /// Ends the waits for initialization if it is complete. This is called when a configuration is in force, the host
    /// list has been read, or the quarantine has been loaded.
    pub(crate) fn check_initialized(&self) {
        let knows_all = self.active.load().is_some()
            && self.links.has_host_list()
            && self.quarantine.is_loaded();
        if knows_all {
            self.initialized.0.close();
        }
    }

    /// The configuration version in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.active
            .load()
            .as_ref()
            .map_or(0, |active| active.record.version)
    }

    /// Whether another host has reported a newer version than the one in force here.
    pub(crate) fn is_behind(&self) -> bool {
        self.links.newest_version() > self.version()
    }

    /// The refusal reason for a request that names something which the version in force does not have.
    ///
    /// Callers treat `unknown` as final. If another host has reported a newer version, which may have it, the caller is
    /// asked to retry instead, since this host will have that version soon.
    pub(crate) fn unknown_reason(&self, unknown: Reason) -> Reason {
        if !self.is_behind() {
            return unknown;
        }
        let message = "another host has a newer configuration than this one";
        Reason::with_retry_after(Code::NotReady, message, NOT_READY_RETRY_AFTER)
    }

    /// Puts a configuration in force unless the one in force is as new or newer; returns whether it did.
    pub(crate) fn install(&self, active: Active) -> bool {
        let _install_guard = lock(&self.install_lock);
        let version = active.record.version;
        if version <= self.version() {
            return false;
        }
        let routes = active.index.fleet.routes.iter();
        if let Some(longest) = routes.map(Route::timeout).max() {
            self.streams.set_longest_timeout(longest);
        }
        self.active.store(Some(Arc::new(active)));
        self.check_initialized();
        self.links.announce_version(version);
        // A full channel means that the task has been woken already.
        let _ = self.signals.wake_host_list_follower.try_send(());
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        slog::info!(self.log, "configuration in force"; "version" => version);
        true
    }

    /// Adds a caller's request for a service to the retry budget.
    pub(crate) fn add_to_retry_budget(&self, service: &Name, now: Instant) {
        lock(&self.budget).request(service, &self.retry_bounds(), now);
    }

    /// Takes a retry on another server from the service's budget; returns whether the budget had one.
    pub(crate) fn take_retry(&self, service: &Name, now: Instant) -> bool {
        lock(&self.budget).take_retry(service, &self.retry_bounds(), now)
    }

    /// Whether the budget of a service has a retry left.
    pub(crate) fn has_retry(&self, service: &Name, now: Instant) -> bool {
        lock(&self.budget).has_retry(service, &self.retry_bounds(), now)
    }

    /// Sets the number of hosts that share the retry budget, once the host list has been read.
    pub(crate) fn update_budget_share(&self, now: Instant) {
        if self.links.has_host_list() {
            let bounds = self.retry_bounds();
            let hosts = self.links.known_hosts_of_fleet();
            lock(&self.budget).set_host_count(hosts, &bounds, now);
        }
    }

    /// The bounds of the fleet's retry budget.
    fn retry_bounds(&self) -> budget::Bounds {
        let retries = &self.config.retries;
        budget::Bounds {
            ratio: retries.ratio,
            spare: retries.spare,
            window: duration_from_millis(retries.window_ms),
        }
    }

    /// Counts a call without an answer to one of the platform's services.
    pub(crate) fn note_platform_failure(&self, service: &str) {
        let failures = &self.metrics.platform_failures;
        failures.with_label_values(&[service]).inc();
    }

    /// Records whether the configuration's source answers; returns whether that has changed.
    pub(crate) fn note_source_state(&self, answers: bool, now: Instant) -> bool {
        let mut lost = lock(&self.source_lost);
        let has_changed = lost.is_some() == answers;
        if has_changed {
            *lost = (!answers).then_some(now);
            self.links.announce_cut_off(!answers);
        }
        has_changed
    }

    /// Records that the platform answered this host or another one at `at`.
    pub(crate) fn note_platform_answer(&self, at: Instant) {
        lock(&self.outage).note_answer(at);
    }

    /// Records that the configuration's source answered another host at `moment` or later.
    pub(crate) fn note_answered_elsewhere(&self, moment: Instant) {
        self.note_platform_answer(moment);
        let mut answered = lock(&self.answered_elsewhere);
        *answered = (*answered).max(Some(moment));
    }

    /// When the configuration's source last answered another host.
    pub(crate) fn answered_elsewhere(&self) -> Option<Instant> {
        *lock(&self.answered_elsewhere)
    }

    /// Whether the last call to the configuration's source gave no answer.
    pub(crate) fn source_is_lost(&self) -> bool {
        lock(&self.source_lost).is_some()
    }

    /// Whether the configuration's source has not answered for `CUT_OFF_AFTER`.
    ///
    /// Such a host may still serve, as other hosts confirm that its configuration is fresh, but it does not see other
    /// changes, and callers are better served elsewhere.
    fn is_cut_off(&self, now: Instant) -> bool {
        let lost = *lock(&self.source_lost);
        lost.is_some_and(|since| now.saturating_duration_since(since) >= CUT_OFF_AFTER)
    }

    /// Gives back the charge of a request that was not sent. An account that the version in force does not have any
    /// more has no limit to give it back to.
    pub(crate) fn give_back(&self, account: &Name, charge: &Charge) {
        let active = self.active();
        let known = active.as_ref();
        if let Some(account) = known.and_then(|active| active.index.account_named(account)) {
            self.accounts.give_back(account, charge);
        }
    }

    /// The data centres whose backend servers get no new requests, by operators' orders or by the configuration.
    pub(crate) fn evacuated(&self) -> BTreeSet<Name> {
        let mut evacuated = self.evacuations.data_centres();
        if let Some(active) = self.active.load().as_ref() {
            evacuated.extend(active.index.fleet.evacuated.iter().cloned());
        }
        evacuated
    }

    /// When the platform last started to answer again after an outage, or came back from an older copy.
    pub(crate) fn platform_recovered_at(&self) -> Option<Instant> {
        let restored_at = *lock(&self.restored_at);
        restored_at.max(lock(&self.outage).ended())
    }

    /// Records how often the platform has come back from an older copy; what hosts last wrote there is lost then, and
    /// is written again.
    pub(crate) fn note_restores(&self, restores: u64) {
        let known = restores.saturating_add(1);
        let before = self.restores.fetch_max(known, Ordering::Relaxed);
        // The first value only counts what happened before this host started.
        if before == 0 || known <= before {
            return;
        }
        slog::warn!(
            self.log, "the platform came back from an older copy";
            "returns" => restores, "version" => self.version(),
        );
        *lock(&self.restored_at) = Some(Instant::now());
        self.quarantine.schedule_rewrite();
        self.rollouts.note_platform_restored();
    }

    /// Records an answer of the table service, which confirms the configuration in force.
    pub(crate) fn note_table_read(&self) {
        let now = Instant::now();
        self.note_platform_answer(now);
        self.confirm(now);
    }

    /// Records that the configuration in force was the newest at `moment` or later.
    pub(crate) fn confirm(&self, moment: Instant) {
        lock(&self.lease).confirm(moment);
    }

    /// Time since the configuration in force was last confirmed as the newest.
    pub(crate) fn confirmed_ago(&self) -> Option<Duration> {
        lock(&self.lease).age(Instant::now())
    }

    /// Whether the accounts' keys may still be considered valid at `now`.
    ///
    /// If withdrawn keys must become void within a set time, a host that has not seen the configuration confirmed for
    /// that long cannot know which keys are valid.
    pub(crate) fn has_valid_keys(&self, now: Instant) -> bool {
        lock(&self.lease).holds(now)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Marks this host as leaving, for the load balancer and the peers.
    pub(crate) fn begin_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.links.announce_draining();
    }

    /// This host's entry in the host list; `None` until it listens.
    pub(crate) fn entry(&self) -> Option<Entry> {
        let host = &self.config.host;
        let listening = self.listening.get()?;
        Some(Entry {
            name: host.name.clone(),
            kind: Kind::Entry,
            address: listening.peers,
            operators: Some(listening.operators),
            service: None,
            data_centre: host.data_centre.clone(),
            region: host.region.clone(),
            presence: Presence::Live,
            version: None,
            slots: None,
            started_ms: None,
            cold_ms: None,
        })
    }

    /// Whether callers should be sent to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.active.load().is_some()
            && self.links.has_host_list()
            && self.streams.is_prepared()
            && !self.is_draining()
            && self.has_valid_keys(Instant::now())
            && !self.is_cut_off(Instant::now())
    }

    /// The state dump.
    pub(crate) fn dump(&self) -> dump::Dump {
        let now = Instant::now();
        let (severed_for, failed_paths) = self.network.state(now);
        let digest = self.active().map(|active| active.record.manifest.clone());
        dump::Dump {
            host: self.config.host.name.clone(),
            data_centre: self.config.host.data_centre.clone(),
            region: self.config.host.region.clone(),
            incarnation: self.incarnation,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            up_seconds: self.started.elapsed().as_secs(),
            ready: self.is_ready(),
            draining: self.is_draining(),
            configuration: dump::Configuration {
                version: self.version(),
                digest: digest.unwrap_or_default(),
                table_read_ms_ago: lock(&self.lease).age(now).map(millis),
            },
            held: self.scheduler.held() as u64,
            homes: self.links.homes(),
            hosts_elsewhere: self.links.hosts_elsewhere(),
            network: dump::Network {
                severed_ms: severed_for.map(millis),
                failed_paths: failed_paths as u64,
                carried: self.network.carried.count() as u64,
            },
            pools: self.scheduler.dump(now),
            peers: self.links.dump(now),
        }
    }
}
