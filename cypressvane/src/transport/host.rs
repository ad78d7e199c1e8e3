//! A running host: its listeners and the tasks behind them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future;
use slog::Logger;
use smol::{Task, Timer};

use crate::protocol::exchange::Dialect;
use crate::state::clock::Instant;
use crate::state::config::{Config, Timeouts};
use crate::state::platform::Services;
use crate::state::units::millis;
use crate::transport::callers::Callers;
use crate::transport::desk::TICK;
use crate::transport::gateway::Gateway;
use crate::transport::gateway::connection::Routes;
use crate::transport::http::listener;
use crate::transport::http::server::{self, Options};
use crate::transport::node::{Listening, Node, Signals};
use crate::transport::operators::Operators;
use crate::transport::peers::Peers;
use crate::transport::peers::links::Moves;
use crate::transport::platform::follow;
use crate::transport::platform::roster;
use crate::transport::platform::{HttpRoster, HttpTable};
use crate::transport::quarantine::keeper;
use crate::transport::rollout;
use crate::transport::runtime;

pub use crate::transport::operators::State;

/// Time between two looks at offers without an answer.
const ASK: Duration = Duration::from_millis(50);
/// Time between two words of a shard's home on its idle places: a place is taken for about a second.
const TELL_IDLE: Duration = Duration::from_millis(100);
/// Time between two looks at the hosts that are well.
const REFRESH: Duration = Duration::from_millis(100);
/// Time without a look at the hosts from which this host itself stood still: several periods, and well below
/// the silence after which another is suspected (2 s unless set otherwise).
const STANDSTILL: Duration = Duration::from_millis(500);
/// Time between two looks at what there is to log of this host's work as a home.
const LOG_WORK: Duration = Duration::from_secs(1);
/// Time between two sweeps of idle accounts.
const SWEEP: Duration = Duration::from_secs(30);
/// Time between two sweeps of requests under which servers ended.
const SWEEP_QUARANTINE: Duration = Duration::from_secs(1);
/// Largest configuration that may be submitted, in bytes; 33,000 accounts take 4.6 MB.
const CONFIGURATION_BYTES_MAX: u64 = 64 << 20;
/// Most hosts that one log line names on each side of a change: a start of everything changes all of them.
const MOVES_LOGGED: usize = 8;
/// Time that the operators' listener gets to finish its answers.
const OPERATORS_STOP: Duration = Duration::from_millis(500);

/// Why a host does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener cannot be bound.
    #[error("listeners.{listener}: {address} cannot be bound: {source}")]
    Bind {
        /// The listener.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// The listeners of a host.
struct Listeners {
    callers: server::Handle,
    operators: server::Handle,
    peers: server::Handle,
    /// Where the other hosts reach the peers' listener.
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
/// When a listener cannot be bound.
pub fn spawn(config: Config, log: Logger) -> Result<Handle, Error> {
    let services = Services {
        table: Box::new(HttpTable(config.platform.table)),
        roster: Box::new(HttpRoster(config.platform.hosts)),
        source: None,
    };
    spawn_on(config, services, Dialect::native(), log)
}

/// Starts a host on a platform's services; `dialect` reads and writes the headers on routes.
///
/// # Errors
/// When a listener cannot be bound.
pub fn spawn_on(
    config: Config,
    services: Services,
    dialect: Dialect,
    log: Logger,
) -> Result<Handle, Error> {
    let (nudge, nudges) = async_channel::bounded(1);
    let (installed, installs) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded(1);
    let signals = Signals {
        nudge,
        installed,
        leave,
    };
    let node = Arc::new(Node::new(config, services, dialect, signals, log));
    let listeners = listen(&node)?;
    // Nothing else sets it.
    let _ = node.listening.set(Listening {
        operators: listeners.operators.address(),
        peers: listeners.peers_public,
    });
    Ok(Handle {
        _tasks: tasks(&node, nudges, installs),
        node,
        listeners,
        leave: leaving,
    })
}

/// Binds all listeners.
fn listen(node: &Arc<Node>) -> Result<Listeners, Error> {
    let addresses = &node.config.listeners;
    let options = options(&node.config);
    let operators_options = Options {
        body_bytes: CONFIGURATION_BYTES_MAX,
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
            .map(|address| bind_routes(node, address, options.connections))
            .transpose()?,
    })
}

fn bind_routes(
    node: &Arc<Node>,
    address: SocketAddr,
    most: usize,
) -> Result<server::Handle, Error> {
    let routes = Routes {
        gateway: Gateway::new(Arc::clone(node)),
        idle: Timeouts::of(node.config.timeouts.idle_ms),
        most,
    };
    listener::bind(address, routes).map_err(|source| Error::Bind {
        listener: "routes",
        address,
        source,
    })
}

/// Starts what runs beside the listeners.
fn tasks(node: &Arc<Node>, nudges: Receiver<()>, installs: Receiver<()>) -> Vec<Task<()>> {
    let periodic = |period, work| runtime::spawn(every(period, Arc::clone(node), work));
    vec![
        runtime::spawn(follow::run(Arc::clone(node), nudges)),
        runtime::spawn(roster::run(Arc::clone(node), installs)),
        runtime::spawn(roster::pass_on(Arc::clone(node))),
        runtime::spawn(keeper::run(Arc::clone(node))),
        runtime::spawn(rollout::run(Arc::clone(node))),
        periodic(TICK, |node, now| node.desk.tick(now)),
        periodic(REFRESH, refresh),
        periodic(REFRESH, |node, now| node.desk.reconcile(now)),
        periodic(ASK, |node, now| node.desk.offer_again(now)),
        periodic(ASK, |node, now| node.accounts.reconnect_silent(now)),
        periodic(ASK, |node, _| roster::follow_rollouts(node)),
        periodic(ASK, |node, now| node.rollouts.report(now)),
        periodic(TELL_IDLE, |node, now| node.desk.tell_idle(now)),
        periodic(LOG_WORK, |node, now| node.desk.log_work(now)),
        periodic(LOG_WORK, count_limited),
        periodic(SWEEP, |node, now| node.accounts.sweep(now)),
        periodic(SWEEP_QUARANTINE, |node, now| {
            node.quarantine.sweep(&node.metrics, now);
        }),
    ]
}

fn options(config: &Config) -> Options {
    Options {
        body_bytes: config.limits.body_bytes,
        connections: usize::try_from(config.limits.connections).unwrap_or(usize::MAX),
        head: Timeouts::of(config.timeouts.head_ms),
        body: Timeouts::of(config.timeouts.body_ms),
        idle: Timeouts::of(config.timeouts.idle_ms),
        write: Timeouts::of(config.timeouts.write_ms),
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

async fn every(period: Duration, node: Arc<Node>, work: fn(&Node, Instant)) {
    loop {
        Timer::after(period).await;
        work(&node, Instant::now());
    }
}

fn refresh(node: &Node, now: Instant) {
    note_standstill(node, now);
    let before = node.links.homes();
    if let Some(moves) = node.links.refresh(now) {
        let homes = node.links.homes();
        node.accounts.rehome(&before, &homes, now);
        note_moves(node, &moves, now);
        node.desk.rehome(now);
    }
    node.roster.follow(roster::attention(node));
    node.links.tell_list_read(node.roster.read_here());
    node.share_budget(now);
    node.desk.share_limits(now);
}

fn count_limited(node: &Node, _: Instant) {
    let limited = i64::try_from(node.desk.limited_servers()).unwrap_or(i64::MAX);
    node.metrics.limited_servers.set(limited);
}

/// Notices that this host stood still: suspended with its machine, or stopped by itself.
fn note_standstill(node: &Node, now: Instant) {
    let lap = node.lap();
    if lap.passed < STANDSTILL {
        return;
    }
    node.links
        .stood_still(lap.passed.saturating_sub(REFRESH), now);
    slog::warn!(
        node.log, "this host stood still";
        "ms" => millis(lap.passed), "suspended_ms" => millis(lap.suspended),
        "confirmed_ms_ago" => node.confirmed_ago().map(millis),
    );
}

/// Logs which hosts may be homes from now on, and why others no longer may.
fn note_moves(node: &Node, moves: &Moves, now: Instant) {
    let lost = moves.lost.iter().take(MOVES_LOGGED);
    let lost: Vec<_> = lost
        .map(|(name, unfit)| format!("{name} {}", unfit.text()))
        .collect();
    let gained: Vec<&str> = moves
        .gained
        .iter()
        .take(MOVES_LOGGED)
        .map(|name| &**name)
        .collect();
    slog::info!(
        node.log, "other hosts may be homes";
        "homes" => node.links.hosts(), "known" => node.links.known(),
        "gained" => gained.join(","), "gained_count" => moves.gained.len(),
        "lost" => lost.join(","), "lost_count" => moves.lost.len(),
        "lag_ms" => millis(node.desk.lag(now)),
    );
}

impl Handle {
    /// Where callers are answered.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.listeners.callers.address()
    }

    /// Where operators are answered.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.listeners.operators.address()
    }

    /// Where the other hosts are answered.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.listeners.peers.address()
    }

    /// Where callers on routes are answered.
    #[must_use]
    pub fn routes(&self) -> Option<SocketAddr> {
        self.listeners.routes.as_ref().map(server::Handle::address)
    }

    /// Waits until an operator asks this host to leave.
    pub async fn asked_to_leave(&self) {
        // The node keeps the sender, so the channel does not close while the host runs.
        let _ = self.leave.recv().await;
    }

    /// Leaves: tells the balancer and the peers, lets requests finish, and ends.
    ///
    /// Returns the number of requests that were cut; 0 means that all finished in time.
    pub async fn drain(self) -> usize {
        let timeouts = &self.node.config.timeouts;
        let (grace, limit) = (
            Timeouts::of(timeouts.grace_ms),
            Timeouts::of(timeouts.drain_ms),
        );
        slog::info!(self.node.log, "leaving"; "held" => self.node.desk.held());
        self.node.begin_drain();
        let listeners = self.listeners;
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
        future::zip(listeners.callers.stop(limit), routes).await;
        let cut = self.node.desk.held();
        listeners.operators.stop(OPERATORS_STOP).await;
        slog::info!(self.node.log, "left"; "cut" => cut);
        cut
    }
}
