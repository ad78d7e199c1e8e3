//! Connections to backend servers: direct ones, and through another host where a path has failed.
//!
//! Every request to a server goes over a connection that is opened here, so that the rest of a host need not know on
//! which way it goes. A detour has one hop: a host that is asked for a connection opens a direct one.

mod detour;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::{Either, select};
use slog::Logger;
use smol::Timer;
use smol::net::TcpStream;

use crate::coordination::paths::{Paths, Way};
use crate::coordination::pool::{End, Incarnation};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::backend::{self, Probe};
use crate::transport::http::connect::connect_from;
use crate::transport::http::keepalive;
use crate::transport::memory::bound_buffers;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, spawn, timeout};
use crate::transport::scheduler::Grant;

pub(crate) use detour::{Carried, carry};

/// Time after which unacknowledged bytes break a connection; as long as a caller waits for a short call.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a direct attempt may take before another host is asked as well: several round trips between data centres.
const HEAD_START: Duration = Duration::from_millis(100);
/// Part of the time for a connection, as a divisor, that the head start takes at most.
const HEAD_START_SHARE: u32 = 3;
/// How long another host may take to tell whether it reaches a server that broke an answer off.
const SECOND_OPINION_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a connection that is made for a trial must stay open to show that the server is reached.
const TRIAL_SETTLE: Duration = Duration::from_millis(50);
/// How long a request waits before it is offered again, if no host could tell why a server accepts no connection.
const UNDETERMINED_PAUSE: Duration = Duration::from_millis(50);

/// A backend server that a request was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) pool: Name,
    pub(crate) server: Name,
    pub(crate) incarnation: Incarnation,
}

impl Target {
    /// The server of a grant.
    pub(crate) fn of(pool: &Name, grant: &Grant) -> Self {
        Self {
            pool: pool.clone(),
            server: grant.server.clone(),
            incarnation: grant.incarnation(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.incarnation.address
    }
}

/// A connection to a server on which nothing has been sent.
#[derive(Debug)]
pub(crate) struct Connected {
    pub(crate) stream: TcpStream,
    /// The host that passes the bytes on; `None` on a direct connection.
    pub(crate) through: Option<Name>,
}

impl Connected {
    fn directly(stream: TcpStream) -> Self {
        Self {
            stream,
            through: None,
        }
    }
}

/// Why there is no connection to a server.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No host that was asked reaches the server.
    #[error("{0}")]
    Unreachable(io::Error),
    /// This host does not reach the server, and the others that were asked could not tell whether they do.
    #[error("{0}, and no other host could tell why")]
    Undetermined(io::Error),
    /// Another host has read that the server wants no requests.
    #[error("another host has read that the server wants no requests")]
    Barred,
}

impl Error {
    /// How a grant of the server ends.
    pub(crate) fn end(&self) -> End {
        match self {
            Self::Unreachable(_) => End::Unreachable,
            Self::Undetermined(_) => End::Unused,
            Self::Barred => End::Full,
        }
    }
}

/// Why an answer broke off, as far as can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breakage {
    /// The server has ended: nothing listens at its address.
    ServerEnded,
    /// The path to the server has failed; another host reaches it.
    PathFailed,
    Unknown,
}

/// The ways on which this host reaches backend servers.
#[derive(Debug)]
pub(crate) struct Network {
    /// Local address of the direct connections.
    source: Option<IpAddr>,
    paths: Mutex<Paths>,
    links: Arc<Links>,
    log: Logger,
    /// What this host carries for others.
    pub(crate) carried: Carried,
}

impl Network {
    pub(crate) fn new(
        source: Option<IpAddr>,
        carried_max: usize,
        links: Arc<Links>,
        log: Logger,
    ) -> Self {
        Self {
            source,
            paths: Mutex::default(),
            links,
            log,
            carried: Carried::new(carried_max),
        }
    }

    /// Opens a connection to a backend server; `may_repeat` tells whether the request may run twice.
    ///
    /// # Errors
    /// Fails if there is no connection within about `limit`; nothing has been sent then.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        target: &Target,
        may_repeat: bool,
        limit: Duration,
    ) -> Result<Connected, Error> {
        let connected = self.try_connect(target, may_repeat, limit).await;
        if matches!(connected, Err(Error::Undetermined(_))) {
            // Nothing is held against the server, which may be granted again at once.
            Timer::after(UNDETERMINED_PAUSE).await;
        }
        connected
    }

    async fn try_connect(
        self: &Arc<Self>,
        target: &Target,
        may_repeat: bool,
        limit: Duration,
    ) -> Result<Connected, Error> {
        let address = target.address();
        let (way, is_silent) = {
            let mut paths = lock(&self.paths);
            let way = paths.choose(address, may_repeat, Instant::now());
            (way, paths.is_silent(address))
        };
        match way {
            Way::Direct | Way::Trial => return self.connect_directly_first(target, limit).await,
            Way::Detour => {}
            Way::DetourAndTrial => {
                let network = Arc::clone(self);
                spawn(async move { network.try_path(address, limit).await }).detach();
            }
        }
        match self.connect_through(target, limit, Duration::ZERO).await {
            // A request that is sent over a silent path may be lost, and this one may not be repeated.
            Err(detour::Error::Unknown) if is_silent && !may_repeat => {
                Err(Error::Undetermined(io::ErrorKind::TimedOut.into()))
            }
            Err(detour::Error::Unknown | detour::Error::NoHelper) => {
                self.connect_directly_first(target, limit).await
            }
            // The direct path was not tried, so this shows nothing new of it.
            Ok(connected) => Ok(connected),
            failed => self.settle(target, failed, io::ErrorKind::TimedOut.into()),
        }
    }

    /// Tries a failed path with a connection that carries no request.
    async fn try_path(&self, server: SocketAddr, limit: Duration) {
        let connected = self.connect_directly(server, limit).await;
        let connected_at = Instant::now();
        if let Ok(stream) = connected
            && stays_open(&stream, TRIAL_SETTLE).await
        {
            self.note_reached(server, connected_at);
        }
    }

    /// Tries the direct path, and other hosts as well once it fails or takes longer than its head start.
    async fn connect_directly_first(
        &self,
        target: &Target,
        limit: Duration,
    ) -> Result<Connected, Error> {
        let direct = pin!(self.connect_directly(target.address(), limit));
        let head_start = pin!(Timer::after(HEAD_START.min(limit / HEAD_START_SHARE)));
        let direct = match select(direct, head_start).await {
            Either::Left((Ok(stream), _)) => return Ok(Connected::directly(stream)),
            Either::Left((Err(error), _)) => {
                let detour = self.connect_through(target, limit, Duration::ZERO).await;
                return self.settle(target, detour, error);
            }
            Either::Right((_, direct)) => direct,
        };
        let detour = pin!(self.connect_through(target, limit, Duration::ZERO));
        match select(direct, detour).await {
            Either::Left((Ok(stream), _)) => Ok(Connected::directly(stream)),
            Either::Left((Err(error), detour)) => self.settle(target, detour.await, error),
            Either::Right((Ok(connected), _)) => {
                self.settle(target, Ok(connected), io::ErrorKind::TimedOut.into())
            }
            Either::Right((failed, direct)) => match direct.await {
                Ok(stream) => Ok(Connected::directly(stream)),
                Err(error) => self.settle(target, failed, error),
            },
        }
    }

    /// Opens a direct connection.
    ///
    /// # Errors
    /// Fails if there is no connection within `limit`.
    pub(crate) async fn connect_directly(
        &self,
        server: SocketAddr,
        limit: Duration,
    ) -> io::Result<TcpStream> {
        let stream = timeout(limit, connect_from(self.source, server))
            .await
            .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        bound_buffers(&stream)?;
        // While a long answer is pending, nothing may be sent for long, so a dead connection would go unnoticed.
        keepalive::enable(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        Ok(stream)
    }

    /// Judges a direct path that failed by what came of the detour.
    fn settle(
        &self,
        target: &Target,
        detour: Result<Connected, detour::Error>,
        direct: io::Error,
    ) -> Result<Connected, Error> {
        match detour {
            Ok(connected) => {
                self.note_path_failed(target.address());
                Ok(connected)
            }
            Err(detour::Error::Barred) => Err(Error::Barred),
            Err(detour::Error::Unknown) => Err(Error::Undetermined(direct)),
            Err(detour::Error::Refused | detour::Error::Unreached | detour::Error::NoHelper) => {
                Err(Error::Unreachable(direct))
            }
        }
    }

    /// Finds out why a server broke an answer off.
    ///
    /// A server that ends may close its connections before it stops listening, for which `settle` is the time limit.
    pub(crate) async fn examine(&self, target: &Target, settle: Duration) -> Breakage {
        let address = target.address();
        let probed = if self.is_path_failed(address) {
            Probe::Unreached
        } else {
            backend::probe(|| connect_from(self.source, address), settle).await
        };
        if probed == Probe::Alive {
            return Breakage::Unknown;
        }
        let settle = match probed {
            // On the way of another host the server may close connections too.
            Probe::Closing => TRIAL_SETTLE,
            _ => Duration::ZERO,
        };
        let limit = SECOND_OPINION_TIMEOUT + settle;
        match self.connect_through(target, limit, settle).await {
            Ok(_) => {
                self.note_path_failed(address);
                Breakage::PathFailed
            }
            Err(detour::Error::Refused) => Breakage::ServerEnded,
            // Without another host to ask, the refusal that this host has seen decides.
            Err(_) if probed == Probe::Refused && !self.is_severed() => Breakage::ServerEnded,
            Err(_) => Breakage::Unknown,
        }
    }

    /// Records that a server was reached over a direct connection that was made at `connected_at`.
    pub(crate) fn note_reached(&self, server: SocketAddr, connected_at: Instant) {
        self.update_paths(|paths, now| paths.note_reached(server, connected_at, now));
    }

    /// Records that a request has heard nothing from a server over a direct connection for `silence`, while others heard
    /// the server; returns whether the path has failed.
    pub(crate) fn note_silent(&self, server: SocketAddr, silence: Duration) -> bool {
        self.update_paths(|paths, now| {
            let since = now.checked_sub(silence).unwrap_or(now);
            paths.note_silent(server, since, now)
        })
    }

    /// Whether the direct path to a server has failed, as far as is known.
    pub(crate) fn is_path_failed(&self, server: SocketAddr) -> bool {
        lock(&self.paths).is_failed(server)
    }

    /// Whether a path has failed and no server was reached directly since, so that this host may be severed.
    pub(crate) fn is_in_doubt(&self) -> bool {
        lock(&self.paths).is_in_doubt()
    }

    /// Whether this host reaches no server directly.
    pub(crate) fn is_severed(&self) -> bool {
        lock(&self.paths).severed_since().is_some()
    }

    /// For how long this host has reached no server directly, and the number of servers to which the path has failed.
    pub(crate) fn state(&self, now: Instant) -> (Option<Duration>, usize) {
        let mut paths = lock(&self.paths);
        paths.forget_unused(now);
        let since = paths.severed_since();
        (
            since.map(|at| now.saturating_duration_since(at)),
            paths.failed_count(),
        )
    }

    fn note_path_failed(&self, server: SocketAddr) {
        self.update_paths(|paths, now| paths.note_failed(server, now));
    }

    /// Changes what is known of the paths, and tells the other hosts if this host is severed from now on, or no longer.
    fn update_paths<T>(&self, change: impl FnOnce(&mut Paths, Instant) -> T) -> T {
        let now = Instant::now();
        let mut paths = lock(&self.paths);
        let before = paths.severed_since();
        let result = change(&mut paths, now);
        let after = paths.severed_since();
        let failed = paths.failed_count();
        drop(paths);
        if before.is_some() == after.is_some() {
            return result;
        }
        self.links.announce_severed(after.is_some());
        match before {
            None => slog::warn!(
                self.log, "this host reaches backend servers only through other hosts";
                "failed_paths" => failed,
            ),
            Some(since) => slog::info!(
                self.log, "this host reaches backend servers again";
                "failed_paths" => failed, "after_ms" => millis(now.saturating_duration_since(since)),
            ),
        }
        result
    }
}

/// Whether a connection on which nothing is sent stays open for `settle`. A server that is reached sends nothing either.
pub(crate) async fn stays_open(stream: &TcpStream, settle: Duration) -> bool {
    settle.is_zero()
        || !matches!(
            timeout(settle, stream.peek(&mut [0])).await,
            Some(Err(_) | Ok(0))
        )
}
