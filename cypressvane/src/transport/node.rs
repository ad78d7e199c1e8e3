//! What all tasks of a host share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::budget::{self, Budget};
use crate::coordination::lease::Lease;
use crate::protocol::dump;
use crate::protocol::exchange::Dialect;
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::{Instant, Lap, Watch};
use crate::state::config::{Config, Timeouts};
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind, Presence, Roster, Services, Source, Table};
use crate::state::units::{millis, of_millis, since_epoch};
use crate::transport::accounts::{Accounts, Charge};
use crate::transport::active::Active;
use crate::transport::desk::Desk;
use crate::transport::metrics::Metrics;
use crate::transport::peers::links::Links;
use crate::transport::quarantine::Quarantine;
use crate::transport::rollout::Rollouts;
use crate::transport::runtime::{lock, within};

/// How long the place of the configuration may give no answer until callers are sent elsewhere: longer
/// than a slow answer takes.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);

/// What a caller is told to wait when this host cannot judge its request yet.
pub(crate) const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// What all tasks of a host share.
pub(crate) struct Node {
    pub(crate) config: Config,
    /// Grows from one start of this host to the next.
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    /// Tells for how long this host stood still.
    watch: Mutex<Watch>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) table: Box<dyn Table>,
    pub(crate) roster: Box<dyn Roster>,
    pub(crate) source: Option<Box<dyn Source>>,
    pub(crate) dialect: Dialect,
    pub(crate) links: Arc<Links>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) accounts: Accounts,
    pub(crate) quarantine: Quarantine,
    pub(crate) rollouts: Rollouts,
    pub(crate) signals: Signals,
    active: ArcSwapOption<Active>,
    /// Closed when a configuration is in force, and the host list and the quarantine were read.
    begun: (Sender<()>, Receiver<()>),
    installing: Mutex<()>,
    budget: Mutex<Budget>,
    /// On the configuration in force, and with it on the accounts' keys.
    lease: Mutex<Lease>,
    /// The entries of the host list as last read.
    pub(crate) listed: ArcSwap<Vec<Entry>>,
    /// Since when the place of the configuration gives no answer.
    source_lost: Mutex<Option<Instant>>,
    /// When the place of the configuration answered another host last.
    answered_elsewhere: Mutex<Option<Instant>>,
    /// Where it listens, once it does.
    pub(crate) listening: OnceLock<Listening>,
    /// When the platform answered again after it was away.
    back: Mutex<Option<Instant>>,
    /// How often the platform has come back from an older copy, and one; 0 before that is known.
    returns: AtomicU64,
    draining: AtomicBool,
}

/// Where a host listens for those who find it in the host list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listening {
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Wakes other tasks and the process; each holds one signal.
pub(crate) struct Signals {
    /// Wakes the task that follows the configuration.
    pub(crate) nudge: Sender<()>,
    /// Wakes the task that follows the host list, since a configuration gives servers their slots.
    pub(crate) installed: Sender<()>,
    /// Tells the process that an operator asked this host to leave.
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
        let links = Arc::new(Links::new(host.clone(), &config.timeouts, incarnation));
        let desk = Desk::new(&config, incarnation, Arc::clone(&links), log.clone());
        let accounts = Accounts::new(&config, Arc::clone(&links), log.clone());
        let quarantine = Quarantine::new(&config.quarantine, Arc::clone(&links), log.clone());
        let rollouts = Rollouts::new(&config, incarnation, Arc::clone(&links), log.clone());
        Self {
            incarnation,
            started: Instant::now(),
            watch: Mutex::new(Watch::start()),
            metrics: Metrics::new(links.counters()),
            table: services.table,
            roster: services.roster,
            source: services.source,
            dialect,
            links,
            desk: Arc::new(desk),
            accounts,
            quarantine,
            rollouts,
            signals,
            active: ArcSwapOption::empty(),
            begun: async_channel::bounded(1),
            installing: Mutex::new(()),
            budget: Mutex::new(Budget::open(Instant::now())),
            lease: Mutex::new(Lease::new(config.platform.key_lease())),
            listed: ArcSwap::default(),
            source_lost: Mutex::new(None),
            answered_elsewhere: Mutex::new(None),
            listening: OnceLock::new(),
            back: Mutex::new(None),
            returns: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            config,
            log,
        }
    }

    /// The time since the last such look.
    pub(crate) fn lap(&self) -> Lap {
        lock(&self.watch).lap()
    }

    /// The configuration in force.
    pub(crate) fn active(&self) -> Option<Arc<Active>> {
        self.active.load_full()
    }

    /// Waits on a host that starts until it knows what it needs to serve, but not longer than the caller
    /// has patience: to be told to come back costs a caller more than reading that takes.
    pub(crate) async fn begun(&self, patience: Option<Duration>) {
        let start = Timeouts::of(self.config.timeouts.start_ms);
        let limit = patience.map_or(start, |patience| patience.min(start));
        // The channel carries nothing. It is closed when the host has begun, which ends each wait at once.
        let _ = within(limit, self.begun.1.recv()).await;
    }

    /// Notes that a configuration is in force, that the host list was read, or that it is known which
    /// requests are kept from the servers.
    pub(crate) fn note_begun(&self) {
        let knows_all =
            self.active.load().is_some() && self.links.has_roster() && self.quarantine.is_loaded();
        if knows_all {
            self.begun.0.close();
        }
    }

    /// The version in force; 0 when there is none.
    pub(crate) fn version(&self) -> u64 {
        self.active
            .load()
            .as_ref()
            .map_or(0, |active| active.record.version)
    }

    /// Whether another host has told of a newer version than the one in force here.
    pub(crate) fn is_behind(&self) -> bool {
        self.links.newest_version() > self.version()
    }

    /// Why a request is refused that names something which the version in force does not have.
    ///
    /// Callers take `unknown` for final. Where another host has told of a newer version, which may have it, the request
    /// is asked back instead: this host has that version soon.
    pub(crate) fn unknown(&self, unknown: Reason) -> Reason {
        if !self.is_behind() {
            return unknown;
        }
        let message = "another host has a newer configuration than this one";
        Reason::later(Code::NotReady, message, NOT_READY_RETRY)
    }

    /// Puts a configuration in force unless the one in force is as high; tells whether it did.
    pub(crate) fn install(&self, active: Active) -> bool {
        let _installing = lock(&self.installing);
        let version = active.record.version;
        if version <= self.version() {
            return false;
        }
        self.active.store(Some(Arc::new(active)));
        self.note_begun();
        self.links.tell_version(version);
        // A full channel means that the task is woken already.
        let _ = self.signals.installed.try_send(());
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        slog::info!(self.log, "configuration in force"; "version" => version);
        true
    }

    /// Counts a request that callers sent for a service.
    pub(crate) fn count_request(&self, service: &Name, now: Instant) {
        lock(&self.budget).request(service, &self.repeat_bounds(), now);
    }

    /// Takes one sending of a request to another server from the budget, if it has one.
    pub(crate) fn may_repeat(&self, service: &Name, now: Instant) -> bool {
        lock(&self.budget).repeat(service, &self.repeat_bounds(), now)
    }

    /// Notes how many hosts share the budget of repeats, once the host list was read.
    pub(crate) fn share_budget(&self, now: Instant) {
        if self.links.has_roster() {
            let bounds = self.repeat_bounds();
            lock(&self.budget).shared_by(self.links.known(), &bounds, now);
        }
    }

    /// The fleet's budget of repeats.
    fn repeat_bounds(&self) -> budget::Bounds {
        let retries = &self.config.retries;
        budget::Bounds {
            ratio: retries.ratio,
            spare: retries.spare,
            window: of_millis(retries.window_ms),
        }
    }

    /// Counts a call to one of the platform's services that gave no answer.
    pub(crate) fn note_platform_failure(&self, service: &str) {
        let failures = &self.metrics.platform_failures;
        failures.with_label_values(&[service]).inc();
    }

    /// Notes whether the place of the configuration answers; tells whether that is news.
    pub(crate) fn note_source(&self, answers: bool, now: Instant) -> bool {
        let mut lost = lock(&self.source_lost);
        let is_news = lost.is_some() == answers;
        if is_news {
            *lost = (!answers).then_some(now);
            self.links.tell_cut_off(!answers);
        }
        is_news
    }

    /// Notes that the place of the configuration answered another host at `moment` or later.
    pub(crate) fn note_answered_elsewhere(&self, moment: Instant) {
        let mut answered = lock(&self.answered_elsewhere);
        *answered = (*answered).max(Some(moment));
    }

    /// When the place of the configuration answered another host last.
    pub(crate) fn answered_elsewhere(&self) -> Option<Instant> {
        *lock(&self.answered_elsewhere)
    }

    /// Whether the place of the configuration gave no answer last.
    pub(crate) fn source_is_lost(&self) -> bool {
        lock(&self.source_lost).is_some()
    }

    /// Whether the place of the configuration has given no answer for long.
    ///
    /// Such a host may still serve, as others tell it that its knowledge is fresh, but it does not see
    /// what changes beside, and callers are better served elsewhere.
    fn is_cut_off(&self, now: Instant) -> bool {
        let lost = *lock(&self.source_lost);
        lost.is_some_and(|since| now.saturating_duration_since(since) >= CUT_OFF_AFTER)
    }

    /// Gives back to an account what a request was given that was not sent; an account that no version
    /// in force here has any more has no limit to put it back to.
    pub(crate) fn give_back(&self, account: &Name, charge: &Charge) {
        let active = self.active();
        let known = active.as_ref();
        if let Some(account) = known.and_then(|active| active.index.account_named(account)) {
            self.accounts.give_back(account, charge);
        }
    }

    /// Notes that the platform answers again after it was away.
    pub(crate) fn note_platform_back(&self, at: Instant) {
        let mut back = lock(&self.back);
        *back = (*back).max(Some(at));
    }

    /// When the platform answered again after it was away.
    pub(crate) fn platform_back(&self) -> Option<Instant> {
        *lock(&self.back)
    }

    /// Notes how often the platform has come back from an older copy; what hosts had written there last is gone then, and
    /// is written again.
    pub(crate) fn note_returns(&self, returns: u64) {
        let known = returns.saturating_add(1);
        let before = self.returns.fetch_max(known, Ordering::Relaxed);
        // The first answer tells only how often that was before this host.
        if before == 0 || known <= before {
            return;
        }
        slog::warn!(
            self.log, "the platform came back from an older copy";
            "returns" => returns, "version" => self.version(),
        );
        self.note_platform_back(Instant::now());
        self.quarantine.schedule_rewrite();
        self.rollouts.note_return();
    }

    /// Notes that the table service answered.
    pub(crate) fn note_table_read(&self) {
        self.confirm(Instant::now());
    }

    /// Notes that the configuration in force was the newest at `moment` or later.
    pub(crate) fn confirm(&self, moment: Instant) {
        lock(&self.lease).confirm(moment);
    }

    /// How long ago the configuration in force was confirmed as the newest.
    pub(crate) fn confirmed_ago(&self) -> Option<Duration> {
        lock(&self.lease).age(Instant::now())
    }

    /// Whether the accounts' keys may still be taken as valid at `now`.
    ///
    /// Where keys are to be void within a time of their withdrawal, a host that has not seen the
    /// configuration confirmed for so long cannot know.
    pub(crate) fn knows_keys(&self, now: Instant) -> bool {
        lock(&self.lease).holds(now)
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Marks this host as leaving, for the balancer and the peers.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.links.tell_draining();
    }

    /// How this host stands in the host list; `None` until it listens.
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
        })
    }

    /// Whether callers are to be sent here.
    pub(crate) fn ready(&self) -> bool {
        self.active.load().is_some()
            && self.links.has_roster()
            && !self.draining()
            && self.knows_keys(Instant::now())
            && !self.is_cut_off(Instant::now())
    }

    /// The state dump.
    pub(crate) fn dump(&self) -> dump::Dump {
        let now = Instant::now();
        let digest = self.active().map(|active| active.record.manifest.clone());
        dump::Dump {
            host: self.config.host.name.clone(),
            data_centre: self.config.host.data_centre.clone(),
            region: self.config.host.region.clone(),
            incarnation: self.incarnation,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            up_seconds: self.started.elapsed().as_secs(),
            ready: self.ready(),
            draining: self.draining(),
            configuration: dump::Configuration {
                version: self.version(),
                digest: digest.unwrap_or_default(),
                table_read_ms_ago: lock(&self.lease).age(now).map(millis),
            },
            held: self.desk.held() as u64,
            homes: self.links.homes(),
            pools: self.desk.dump(now),
            peers: self.links.dump(now),
        }
    }
}
