//! A running host: its listeners and the tasks behind them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use futures_lite::future;
use slog::Logger;
use smol::{Task, Timer};

use crate::protocol::exchange::Dialect;
use crate::state::config::{Config, Timeouts};
use crate::state::platform::Services;
use crate::transport::callers::Callers;
use crate::transport::desk::Desk;
use crate::transport::follow;
use crate::transport::gateway::{Gateway, listener};
use crate::transport::links::Links;
use crate::transport::node::{Listening, Node, Parts, millis, since_epoch};
use crate::transport::operators::Operators;
use crate::transport::peers::Peers;
use crate::transport::platform::{HttpRoster, HttpTable};
use crate::transport::roster;
use crate::transport::runtime;
use crate::transport::server::{self, Options};

pub use crate::transport::operators::State;

/// Time between two looks at the pools' deadlines and resting servers.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at the hosts that are well and at offers without an answer.
const REFRESH: Duration = Duration::from_millis(100);
/// Time between two reconciliations of grants.
const RECONCILE: Duration = Duration::from_secs(2);
/// Time between two sweeps of idle accounts.
const SWEEP: Duration = Duration::from_secs(30);
/// Largest configuration that may be submitted, in bytes; 33,000 accounts take 4.6 MB.
const CONFIGURATION_BYTES_MAX: u64 = 64 << 20;
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

/// A running host.
pub struct Handle {
    node: Arc<Node>,
    callers: server::Handle,
    operators: server::Handle,
    peers: server::Handle,
    routes: Option<listener::Handle>,
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
    let incarnation = millis(since_epoch());
    let links = Links::new(config.host.clone(), &config.timeouts, incarnation);
    let links = Arc::new(links);
    let waiting_max = usize::try_from(config.limits.waiting).unwrap_or(usize::MAX);
    let belief = config.engines.belief();
    let name = config.host.name.clone();
    let desk = Arc::new(Desk::new(
        name,
        incarnation,
        waiting_max,
        belief,
        Arc::clone(&links),
        log.clone(),
    ));
    let (nudge, nudges) = async_channel::bounded(1);
    let (installed, installs) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded(1);
    let node = Arc::new(Node::new(Parts {
        config,
        incarnation,
        log,
        services,
        dialect,
        links,
        desk,
        nudge,
        installed,
        leave,
    }));
    let addresses = node.config.listeners.clone();
    let options = options(&node.config);
    let callers = bind(
        "callers",
        addresses.callers,
        &options,
        Callers::new(Arc::clone(&node)),
    )?;
    let operators_options = Options {
        body_bytes: CONFIGURATION_BYTES_MAX,
        ..options.clone()
    };
    let operators = bind(
        "operators",
        addresses.operators,
        &operators_options,
        Operators::new(Arc::clone(&node)),
    )?;
    let peers = bind(
        "peers",
        addresses.peers,
        &options,
        Peers::new(Arc::clone(&node)),
    )?;
    let listening = Listening {
        operators: operators.address(),
        peers: addresses.peers_public.unwrap_or(peers.address()),
    };
    // Nothing else sets it.
    let _ = node.listening.set(listening);
    let routes = addresses.routes.map(|address| {
        let idle = Timeouts::of(node.config.timeouts.idle_ms);
        let gateway = Gateway::new(Arc::clone(&node));
        listener::bind(address, gateway, idle, options.connections).map_err(|source| Error::Bind {
            listener: "routes",
            address,
            source,
        })
    });
    let tasks = vec![
        runtime::spawn(follow::run(Arc::clone(&node), nudges)),
        runtime::spawn(roster::run(Arc::clone(&node), installs)),
        runtime::spawn(every(TICK, Arc::clone(&node), |node, now| {
            node.desk.tick(now);
        })),
        runtime::spawn(every(REFRESH, Arc::clone(&node), refresh)),
        runtime::spawn(every(RECONCILE, Arc::clone(&node), |node, now| {
            node.desk.reconcile(now);
        })),
        runtime::spawn(every(SWEEP, Arc::clone(&node), |node, now| {
            node.accounts.sweep(now);
        })),
    ];
    Ok(Handle {
        node,
        callers,
        operators,
        peers,
        routes: routes.transpose()?,
        leave: leaving,
        _tasks: tasks,
    })
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
    let before = node.links.homes();
    if node.links.refresh(now) {
        let homes = node.links.homes();
        node.accounts.rehome(&before, &homes, now);
        slog::info!(
            node.log, "other hosts may be homes";
            "homes" => homes.join(","), "known" => node.links.known(),
        );
        node.desk.rehome(now);
    }
    node.desk.offer_again(now);
}

impl Handle {
    /// Where callers are answered.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators are answered.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where the other hosts are answered.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where callers on routes are answered.
    #[must_use]
    pub fn routes(&self) -> Option<SocketAddr> {
        self.routes.as_ref().map(listener::Handle::address)
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
        self.callers.close_after_answers();
        if let Some(routes) = &self.routes {
            routes.close_after_answers();
        }
        Timer::after(grace).await;
        let routes = async {
            if let Some(routes) = self.routes {
                routes.stop(limit).await;
            }
        };
        future::zip(self.callers.stop(limit), routes).await;
        let cut = self.node.desk.held();
        self.operators.stop(OPERATORS_STOP).await;
        slog::info!(self.node.log, "left"; "cut" => cut);
        cut
    }
}
