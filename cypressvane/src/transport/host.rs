//! A running host: its listeners and its background tasks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future;
use slog::Logger;
use smol::{Task, Timer};

use crate::protocol::headers::Dialect;
use crate::state::clock::Instant;
use crate::state::config::{Config, Timeouts};
use crate::state::platform::Services;
use crate::state::units::millis;
use crate::transport::callers::Callers;
use crate::transport::gateway::Gateway;
use crate::transport::gateway::connection::RouteServer;
use crate::transport::http::listener;
use crate::transport::http::server::{self, Options};
use crate::transport::node::{Listening, Node, Signals};
use crate::transport::operators::Operators;
use crate::transport::peers::Peers;
use crate::transport::peers::links::CandidateChanges;
use crate::transport::platform::follow;
use crate::transport::platform::host_entries;
use crate::transport::platform::host_list;
use crate::transport::platform::seed;
use crate::transport::platform::{HttpHostList, HttpTable};
use crate::transport::quarantine::storage;
use crate::transport::rollout;
use crate::transport::runtime;
use crate::transport::scheduler::TICK;
use crate::transport::streams;

pub use crate::transport::operators::State;

/// Period of the checks for missing replies, of following operators' orders, and of reporting on roll-outs.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Period at which a shard's home reports its free slots; a slot is busy for about a second.
const IDLE_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Period at which the hosts that may be homes are determined and grants are reconciled.
const REFRESH_PERIOD: Duration = Duration::from_millis(100);
/// Time since the last refresh from which this host counts as having stood still: several periods, and well below
/// the silence after which another host is suspected (2 s by default).
const STANDSTILL_MIN: Duration = Duration::from_millis(500);
/// Period at which this host logs its work as a home and counts the servers with limits.
const WORK_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Period of the sweeps of idle accounts.
const SWEEP_PERIOD: Duration = Duration::from_secs(30);
/// Period of the sweeps of the quarantine.
const QUARANTINE_SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Largest configuration that may be submitted, in bytes; 33,000 accounts take 4.6 MB.
const CONFIGURATION_BYTES_MAX: u64 = 64 << 20;
/// Most hosts that a log line names on each side of a change; a start of the whole fleet changes all of them.
const HOSTS_LOGGED_MAX: usize = 8;
/// Time that the operators' listener gets to finish its answers.
const OPERATORS_STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a host cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener cannot be bound.
    #[error("listeners.{listener}: {address} cannot be bound: {source}")]
    Bind {
        /// Name of the listener in the settings.
        listener: &'static str,
        /// Address to which the listener should be bound.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// The listeners of a host.
struct Listeners {
    callers: server::Handle,
    operators: server::Handle,
    peers: server::Handle,
    /// Address at which the other hosts reach the peers' listener.
    peers_public: SocketAddr,
    routes: Option<server::Handle>,
}

/// A running host.
pub struct Handle {
    node: Arc<Node>,
    listeners: Listeners,
    leave: Receiver<()>,
    _tasks: Vec<Task<()>>,
}

/// Starts a host on a platform that speaks the project's own protocol.
///
/// # Errors
/// Fails if a listener cannot be bound.
pub fn spawn(config: Config, log: Logger) -> Result<Handle, Error> {
    let services = Services {
        table: Box::new(HttpTable(config.platform.table)),
        host_list: Box::new(HttpHostList(config.platform.hosts)),
        config_store: None,
    };
    spawn_on(config, services, Dialect::native(), log)
}

/// Starts a host on the services of a platform; `dialect` reads and writes the headers on routes.
///
/// # Errors
/// Fails if a listener cannot be bound.
pub fn spawn_on(
    config: Config,
    services: Services,
    dialect: Dialect,
    log: Logger,
) -> Result<Handle, Error> {
    let (wake_config_follower, config_wakeups) = async_channel::bounded(1);
    let (wake_host_list_follower, host_list_wakeups) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded(1);
    let signals = Signals {
        wake_config_follower,
        wake_host_list_follower,
        leave,
    };
    let node = Arc::new(Node::new(config, services, dialect, signals, log));
    let listeners = listen(&node)?;
    // This is the only place that sets it, so it cannot fail.
    let _ = node.listening.set(Listening {
        operators: listeners.operators.address(),
        peers: listeners.peers_public,
    });
    Ok(Handle {
        _tasks: spawn_tasks(&node, config_wakeups, host_list_wakeups),
        node,
        listeners,
        leave: leaving,
    })
}

/// Binds all listeners.
fn listen(node: &Arc<Node>) -> Result<Listeners, Error> {
    let addresses = &node.config.listeners;
    let options = options(node);
    let operators_options = Options {
        max_body_bytes: CONFIGURATION_BYTES_MAX,
        ..options.clone()
    };
    let callers = Callers::new(Arc::clone(node));
    let operators = Operators::new(Arc::clone(node));
    let peers = Peers::new(Arc::clone(node));
    let peers = bind("peers", addresses.peers, &options, peers)?;
    Ok(Listeners {
        callers: bind("callers", addresses.callers, &options, callers)?,
        operators: bind(
            "operators",
            addresses.operators,
            &operators_options,
            operators,
        )?,
        peers_public: addresses.peers_public.unwrap_or(peers.address()),
        peers,
        routes: addresses
            .routes
            .map(|address| bind_routes(node, address, options.max_connections))
            .transpose()?,
    })
}

fn bind_routes(
    node: &Arc<Node>,
    address: SocketAddr,
    max_connections: usize,
) -> Result<server::Handle, Error> {
    let routes = RouteServer {
        gateway: Gateway::new(Arc::clone(node)),
        idle_timeout: Timeouts::duration(node.config.timeouts.idle_ms),
        max_connections,
    };
    listener::bind(address, node.memory.clone(), routes).map_err(|source| Error::Bind {
        listener: "routes",
        address,
        source,
    })
}

/// Starts the background tasks.
fn spawn_tasks(
    node: &Arc<Node>,
    config_wakeups: Receiver<()>,
    host_list_wakeups: Receiver<()>,
) -> Vec<Task<()>> {
    let periodic = |period, work| runtime::spawn(run_every(period, Arc::clone(node), work));
    let (list_read, list_reads) = async_channel::bounded(1);
    vec![
        runtime::spawn(follow::run(Arc::clone(node), config_wakeups)),
        runtime::spawn(host_list::run(
            Arc::clone(node),
            host_list_wakeups,
            list_read,
        )),
        runtime::spawn(host_entries::run(Arc::clone(node), list_reads)),
        runtime::spawn(host_list::announce_changes(Arc::clone(node))),
        runtime::spawn(seed::run(Arc::clone(node))),
        runtime::spawn(storage::run(Arc::clone(node))),
        runtime::spawn(rollout::run(Arc::clone(node))),
        runtime::spawn(streams::run(Arc::clone(node))),
        periodic(TICK, |node, _| node.streams.flush()),
        periodic(WORK_LOG_PERIOD, update_streams),
        periodic(TICK, |node, now| node.scheduler.tick(now)),
        periodic(REFRESH_PERIOD, refresh),
        periodic(REFRESH_PERIOD, reconcile),
        periodic(CHECK_PERIOD, |node, now| node.scheduler.retry_offers(now)),
        periodic(CHECK_PERIOD, |node, now| node.accounts.reconnect_late(now)),
        periodic(CHECK_PERIOD, |node, _| host_list::follow_orders(node)),
        periodic(CHECK_PERIOD, |node, now| node.rollouts.report(now)),
        periodic(IDLE_REPORT_PERIOD, |node, now| {
            node.scheduler.report_idle(now);
        }),
        periodic(WORK_LOG_PERIOD, |node, now| node.scheduler.log_work(now)),
        periodic(WORK_LOG_PERIOD, update_gauges),
        periodic(WORK_LOG_PERIOD, update_network_state),
        periodic(SWEEP_PERIOD, |node, now| node.accounts.sweep(now)),
        periodic(QUARANTINE_SWEEP_PERIOD, |node, now| {
            node.quarantine.sweep(&node.metrics, now);
        }),
    ]
}

fn options(node: &Node) -> Options {
    let config = &node.config;
    Options {
        max_body_bytes: config.limits.body_bytes,
        memory: node.memory.clone(),
        max_connections: usize::try_from(config.limits.connections).unwrap_or(usize::MAX),
        head_timeout: Timeouts::duration(config.timeouts.head_ms),
        body_timeout: Timeouts::duration(config.timeouts.body_ms),
        idle_timeout: Timeouts::duration(config.timeouts.idle_ms),
        write_timeout: Timeouts::duration(config.timeouts.write_ms),
    }
}

fn bind<E: server::Endpoint>(
    listener: &'static str,
    address: SocketAddr,
    options: &Options,
    endpoint: E,
) -> Result<server::Handle, Error> {
    server::bind(address, options.clone(), Arc::new(endpoint)).map_err(|source| Error::Bind {
        listener,
        address,
        source,
    })
}

async fn run_every(period: Duration, node: Arc<Node>, work: fn(&Node, Instant)) {
    loop {
        Timer::after(period).await;
        work(&node, Instant::now());
    }
}

fn refresh(node: &Node, now: Instant) {
    detect_standstill(node, now);
    let before = node.links.homes();
    if let Some(changes) = node.links.refresh(now) {
        let homes = node.links.homes();
        node.accounts.rehome(&before, &homes, now);
        log_candidate_changes(node, &changes, now);
        node.scheduler.rehome(now);
        node.streams.follow_keepers();
    }
    node.host_list.set_follow_mode(host_list::follow_mode(node));
    node.links
        .announce_list_known(node.host_list.known_positions());
    node.update_budget_share(now);
    node.scheduler.share_limits(now);
}

fn update_gauges(node: &Node, now: Instant) {
    node.metrics.memory.update(&node.memory);
    node.metrics.shares.set(&node.scheduler.account_shares(now));
    let count = |servers: usize| i64::try_from(servers).unwrap_or(i64::MAX);
    let counts = node.scheduler.notice_counts();
    let notices = &node.metrics.notices;
    notices.limited.set(count(counts.limited));
    notices.leaving.set(count(counts.leaving));
    notices.resting.set(count(counts.resting));
    notices.brittle.set(count(counts.brittle));
}

/// Tells other hosts what runs by their grants, and those whose links were reconnected which streams they keep.
fn reconcile(node: &Node, now: Instant) {
    for host in node.scheduler.reconcile(now) {
        node.streams.inform(&host);
    }
}

fn update_streams(node: &Node, now: Instant) {
    node.streams.refresh(now);
    node.streams.inform_restarted(now);
    let recorded = i64::try_from(node.streams.recorded()).unwrap_or(i64::MAX);
    node.metrics.streams.recorded.set(recorded);
    let unsaved = i64::try_from(node.streams.unsaved()).unwrap_or(i64::MAX);
    node.metrics.streams.unsaved.set(unsaved);
}

fn update_network_state(node: &Node, now: Instant) {
    let count = |paths: usize| i64::try_from(paths).unwrap_or(i64::MAX);
    let (severed_for, failed) = node.network.state(now);
    let network = &node.metrics.network;
    network.severed.set(severed_for.is_some().into());
    network.failed_paths.set(count(failed));
    network.carried.set(count(node.network.carried.count()));
}

/// Detects that this host stood still: its machine was suspended, or its process was stopped.
fn detect_standstill(node: &Node, now: Instant) {
    let lap = node.lap();
    if lap.passed < STANDSTILL_MIN {
        return;
    }
    node.links
        .discount_suspension(lap.passed.saturating_sub(REFRESH_PERIOD), now);
    slog::warn!(
        node.log, "this host stood still";
        "ms" => millis(lap.passed), "suspended_ms" => millis(lap.suspended),
        "confirmed_ms_ago" => node.confirmed_ago().map(millis),
    );
}

/// Logs which hosts may be homes from now on, and why others may no longer be.
fn log_candidate_changes(node: &Node, changes: &CandidateChanges, now: Instant) {
    let lost = changes.lost.iter().take(HOSTS_LOGGED_MAX);
    let lost: Vec<_> = lost
        .map(|(name, ineligibility)| format!("{name} {}", ineligibility.text()))
        .collect();
    let gained: Vec<&str> = changes
        .gained
        .iter()
        .take(HOSTS_LOGGED_MAX)
        .map(|name| &**name)
        .collect();
    slog::info!(
        node.log, "other hosts may be homes";
        "homes" => node.links.candidate_count(), "known" => node.links.known_hosts(),
        "gained" => gained.join(","), "gained_count" => changes.gained.len(),
        "lost" => lost.join(","), "lost_count" => changes.lost.len(),
        "lag_ms" => millis(node.scheduler.lag(now)),
    );
}

impl Handle {
    /// Address of the listener for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.listeners.callers.address()
    }

    /// Address of the listener for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.listeners.operators.address()
    }

    /// Address of the listener for the other hosts.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.listeners.peers.address()
    }

    /// Address of the listener for callers on routes; `None` if there is no such listener.
    #[must_use]
    pub fn routes(&self) -> Option<SocketAddr> {
        self.listeners.routes.as_ref().map(server::Handle::address)
    }

    /// Waits until an operator asks this host to leave.
    pub async fn drain_ordered(&self) {
        // The node keeps the sender, so the channel does not close while the host runs.
        let _ = self.leave.recv().await;
    }

    /// Drains this host: notifies the load balancer and the peers, lets requests finish, refuses those that cannot finish
    /// in time, and stops.
    ///
    /// Returns the number of requests that were cut off; 0 means that all finished in time.
    pub async fn drain(self) -> usize {
        let timeouts = &self.node.config.timeouts;
        let (grace, limit) = (
            Timeouts::duration(timeouts.grace_ms),
            Timeouts::duration(timeouts.drain_ms),
        );
        slog::info!(self.node.log, "leaving"; "held" => self.node.scheduler.held());
        self.node.begin_drain();
        self.node.departure.begin(grace + limit);
        let (listeners, node) = (self.listeners, Arc::clone(&self.node));
        listeners.callers.close_after_answers();
        if let Some(routes) = &listeners.routes {
            routes.close_after_answers();
        }
        Timer::after(grace).await;
        let routes = async {
            if let Some(routes) = listeners.routes {
                routes.stop(limit).await;
            }
        };
        let carried = node.network.carried.wait_until_none(limit);
        future::zip(carried, future::zip(listeners.callers.stop(limit), routes)).await;
        let cut = self.node.scheduler.held();
        listeners.operators.stop(OPERATORS_STOP_TIMEOUT).await;
        slog::info!(self.node.log, "left"; "cut" => cut);
        cut
    }
}
