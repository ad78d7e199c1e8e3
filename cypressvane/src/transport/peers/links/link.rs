//! One link: the state of the host at its other end, and the connection that carries messages there.
//!
//! A link to a neighbour is a standing one: it stays connected and carries heartbeats. Any other link is connected when
//! there is something to send, and closed when it is idle.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use futures_util::{StreamExt as _, TryStreamExt as _};
use http_types::headers::AUTHORIZATION;
use http_types::{Body, Method};
use smol::{Task, Timer};

use super::Links;
use crate::protocol::message::{self, HOST, INCARNATION, LINK_PATH, Message, PROTOCOL};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::Presence;
use crate::transport::http::client;
use crate::transport::runtime::{lock, spawn, timeout};

/// Timeout for connecting a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without acknowledgements after which a connection breaks, though it may still appear open. A packet is sent
/// three times within it, so that two losses in a row break nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);
/// Backoff after a failed connection attempt, and after a connection that broke sooner than this.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Number of reports of running requests that the other host gets after a reconnect: one at once, and one when the
/// grants that were in transit then are old enough to be taken back.
const REPORTS_AFTER_RECONNECT: u8 = 2;
/// Timeout for reconnecting a link that broke. Its host remains a home meanwhile: if only the connections went silent,
/// the host is still there, and moving its homes away and back would cost every host seconds.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age from which a connection is replaced when a message goes unanswered: during a younger one, messages that were
/// sent over the previous connection may still be answered.
const DOUBT_AGE_MIN: Duration = Duration::from_millis(500);
/// Age from which a connection is replaced that itself replaced one for an unanswered message: the other host is then
/// more likely overloaded, and reconnects from all hosts would add to its load.
const DOUBT_AGE_MIN_REPEATED: Duration = Duration::from_secs(4);
/// Time without a message after which a link that is not standing is closed. Most requests that a host exchanges
/// messages about with another one end within it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Suspicion timeouts for which a host keeps a standing link to one that has picked it, since that one last said so.
const PICKED_PERIODS: u32 = 3;
/// Most messages in a frame.
const BATCH_MAX: usize = 256;
/// Most frames queued for the socket.
const FRAMES_MAX: usize = 4;

/// What this host knows of another one from its messages.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) draining: bool,
    pub(super) last_received: Option<Instant>,
    /// Since when its heartbeats say that it receives nothing from this host.
    pub(super) not_receiving_since: Option<Instant>,
}

/// The link to one other host.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) name: Name,
    pub(super) data_centre: Name,
    pub(super) address: SocketAddr,
    pub(super) queue: Sender<Message>,
    pub(super) messages: Receiver<Message>,
    /// Requests a new connection.
    pub(super) reconnects: Sender<()>,
    pub(super) reconnect_requests: Receiver<()>,
    /// Whether this host has picked the other one as a neighbour.
    pub(super) picked: AtomicBool,
    /// When the other host last said that it has picked this one.
    pub(super) picked_by_at: Mutex<Option<Instant>>,
    /// Since when the link is a standing one; `None` while it is not.
    pub(super) standing_since: Mutex<Option<Instant>>,
    /// Whether a task serves the link.
    pub(super) is_served: AtomicBool,
    /// Whether no process listened at the address at the last attempt to connect.
    pub(super) is_refused: AtomicBool,
    /// Whether the other host has left a message unanswered, which the next heartbeat reports to it.
    pub(super) doubted: AtomicBool,
    /// Reports of running requests that are still due after a reconnect, since earlier messages may be lost.
    pub(super) reports_due: AtomicU8,
    /// When the connection was last replaced because of an unanswered message.
    pub(super) reconnected_at: Mutex<Option<Instant>>,
    pub(super) opened: Instant,
    /// Since when the link is connected; `None` while it is not.
    pub(super) connected: Mutex<Option<Instant>>,
    pub(super) presence: Mutex<Presence>,
    pub(super) view: Mutex<View>,
    /// Dropped with the link, which cancels it.
    pub(super) task: Mutex<Option<Task<()>>>,
}

/// Why a host may not be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ineligibility {
    /// It is not in the host list.
    Gone,
    /// It is leaving, by its own heartbeats or by the host list.
    Leaving,
    /// The link to it is not connected.
    Unconnected,
    /// No message from it has arrived recently.
    Silent,
}

impl Ineligibility {
    /// The name in a log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Leaving => "leaving",
            Self::Unconnected => "unconnected",
            Self::Silent => "silent",
        }
    }
}

impl Link {
    /// Whether the other host is a neighbour, so that the link stays connected and carries heartbeats.
    pub(super) fn is_standing(&self, suspect_after: Duration, now: Instant) -> bool {
        let picked_by = *lock(&self.picked_by_at);
        let is_picked = |at| now.saturating_duration_since(at) < suspect_after * PICKED_PERIODS;
        self.picked.load(Ordering::Relaxed) || picked_by.is_some_and(is_picked)
    }

    /// Whether the host list or the other host itself says that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        *lock(&self.presence) != Presence::Live || lock(&self.view).draining
    }

    /// Why the other host may not be a home, as observed on this link; `None` if it may.
    pub(super) fn observed_ineligibility(
        &self,
        suspect_after: Duration,
        now: Instant,
    ) -> Option<Ineligibility> {
        if self.is_leaving() {
            Some(Ineligibility::Leaving)
        } else if !self.is_connected() {
            Some(Ineligibility::Unconnected)
        } else if !self.has_received_within(suspect_after, now) {
            Some(Ineligibility::Silent)
        } else {
            None
        }
    }

    pub(super) fn is_connected(&self) -> bool {
        lock(&self.connected).is_some()
    }

    /// Requests a new connection.
    pub(super) fn reconnect(&self) {
        // A full channel already holds such a request.
        let _ = self.reconnects.try_send(());
    }

    /// Requests a new connection unless the current one is too young; returns whether it does.
    pub(super) fn reconnect_if_old(&self, now: Instant) -> bool {
        let connected = *lock(&self.connected);
        let Some(age) = connected.map(|at| now.saturating_duration_since(at)) else {
            return false;
        };
        let mut reconnected_at = lock(&self.reconnected_at);
        let is_again = reconnected_at
            .is_some_and(|at| now.saturating_duration_since(at) < age + DOUBT_AGE_MIN_REPEATED);
        let age_min = if is_again {
            DOUBT_AGE_MIN_REPEATED
        } else {
            DOUBT_AGE_MIN
        };
        if age < age_min {
            return false;
        }
        *reconnected_at = Some(now);
        self.reconnect();
        true
    }

    /// Takes one of the reports of running requests due after a reconnect, at once and `later`; returns whether one is
    /// due.
    pub(super) fn take_due_report(&self, later: Duration, now: Instant) -> bool {
        let Some(connected) = *lock(&self.connected) else {
            return false;
        };
        let age = now.saturating_duration_since(connected);
        let left = self.reports_due.load(Ordering::Relaxed);
        let is_due = left == REPORTS_AFTER_RECONNECT || (left > 0 && age >= later);
        if is_due {
            self.reports_due.store(left - 1, Ordering::Relaxed);
        }
        is_due
    }

    /// Whether the other host has left a message unanswered since the last call.
    pub(super) fn take_doubt(&self) -> bool {
        self.doubted.swap(false, Ordering::Relaxed)
    }

    /// Whether nothing has arrived from the other host for `time`, though the link has been connected for as long.
    pub(super) fn is_silent(&self, time: Duration, now: Instant) -> bool {
        let Some(connected) = *lock(&self.connected) else {
            return false;
        };
        now.saturating_duration_since(connected) >= time && !self.has_received_within(time, now)
    }

    /// Whether a message from the other host has arrived within `recent`.
    pub(super) fn has_received_within(&self, recent: Duration, now: Instant) -> bool {
        let last_received = lock(&self.view).last_received;
        last_received.is_some_and(|at| now.saturating_duration_since(at) < recent)
    }
}

/// Why a connection of a link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// It broke, or a new one was requested.
    Broken,
    /// Nothing was sent for `IDLE_TIMEOUT`, and the link is not a standing one.
    Idle,
}

impl Link {
    /// Starts a task that serves the link, unless there is one.
    pub(super) fn serve(self: &Arc<Self>, links: &Arc<Links>) {
        if !self.is_served.swap(true, Ordering::Relaxed) {
            let running = run(Arc::clone(links), Arc::downgrade(self));
            *lock(&self.task) = Some(spawn(running));
        }
    }

    /// Ends the service of the link; returns false if a message has been queued meanwhile, so that it goes on.
    fn end_service(&self) -> bool {
        self.is_served.store(false, Ordering::Relaxed);
        self.messages.is_empty() || self.is_served.swap(true, Ordering::Relaxed)
    }

    fn set_connected(&self, connected: Option<Instant>) {
        *lock(&self.connected) = connected;
        self.reports_due
            .store(REPORTS_AFTER_RECONNECT, Ordering::Relaxed);
    }

    /// Drops the queued messages: each is repeated or reconciled.
    fn drop_queued(&self) {
        while self.messages.try_recv().is_ok() {}
    }
}

/// Serves a link: a standing one for as long as it exists, another one until it is idle or cannot be connected.
async fn run(links: Arc<Links>, link: Weak<Link>) {
    let mut timeout = CONNECT_TIMEOUT;
    loop {
        let Some(current) = link.upgrade() else {
            return;
        };
        let address = current.address;
        drop(current);
        let connection =
            client::connect_with_user_timeout(address, timeout, UNACKNOWLEDGED_TIMEOUT).await;
        let Some(current) = link.upgrade() else {
            return;
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                let is_refused = matches!(
                    error,
                    client::Error::Unreachable {
                        is_refused: true,
                        ..
                    }
                );
                current.is_refused.store(is_refused, Ordering::Relaxed);
                current.set_connected(None);
                if !links.is_standing(&current, Instant::now()) {
                    current.drop_queued();
                    if current.end_service() {
                        return;
                    }
                }
                drop(current);
                timeout = CONNECT_TIMEOUT;
                Timer::after(RECONNECT_BACKOFF).await;
                continue;
            }
        };
        let connected_at = Instant::now();
        current.is_refused.store(false, Ordering::Relaxed);
        current.set_connected(Some(connected_at));
        let reconnect_requests = current.reconnect_requests.clone();
        let messages = current.messages.clone();
        drop(current);
        // A request that was meant for the previous connection is void.
        let _ = reconnect_requests.try_recv();
        let transmitted = transmit(&links, &link, connection, address, &messages);
        let reconnect_requested = async {
            // The link keeps the sender for as long as it exists.
            let _ = reconnect_requests.recv().await;
            Ended::Broken
        };
        let ended = transmitted.or(reconnect_requested).await;
        let Some(current) = link.upgrade() else {
            return;
        };
        if ended == Ended::Idle {
            *lock(&current.connected) = None;
            if current.end_service() {
                return;
            }
        } else if connected_at.elapsed() < RECONNECT_BACKOFF {
            current.set_connected(None);
            drop(current);
            Timer::after(RECONNECT_BACKOFF).await;
        }
        timeout = RECONNECT_TIMEOUT;
    }
}

/// Sends messages, and on a standing link heartbeats, over one connection until it ends.
async fn transmit(
    links: &Links,
    link: &Weak<Link>,
    connection: client::Connection,
    address: SocketAddr,
    messages: &Receiver<Message>,
) -> Ended {
    let (frames, body) = async_channel::bounded::<Vec<u8>>(FRAMES_MAX);
    let mut request = client::request(Method::Post, address, LINK_PATH);
    request.insert_header(AUTHORIZATION, format!("Bearer {}", links.me.peer_key));
    request.insert_header(HOST, links.me.name.as_ref());
    request.insert_header(INCARNATION, links.incarnation.to_string());
    request.insert_header(PROTOCOL, message::VERSION);
    let reader = Box::pin(body.map(Ok::<_, io::Error>)).into_async_read();
    request.set_body(Body::from_reader(reader, None));
    // The other host answers only when it ends the link.
    let sent = async {
        let _ = connection.send(request, Duration::MAX).await;
        Ended::Broken
    };
    let written = async {
        let mut heartbeat_at = Instant::now();
        let mut used_at = heartbeat_at;
        loop {
            let Some(current) = link.upgrade() else {
                return Ended::Broken;
            };
            let is_standing = links.is_standing(&current, Instant::now());
            // A doubt is told with a heartbeat, also on a link that carries no others.
            let is_doubted = current.doubted.load(Ordering::Relaxed);
            drop(current);
            let wake_at = match (is_standing, is_doubted) {
                (true, _) => heartbeat_at,
                (false, true) => used_at,
                (false, false) => used_at + IDLE_TIMEOUT,
            };
            let mut batch = next_batch(messages, wake_at).await;
            let now = Instant::now();
            if (is_standing && heartbeat_at <= now) || (is_doubted && !is_standing) {
                let Some(link) = link.upgrade() else {
                    return Ended::Broken;
                };
                links.push_heartbeat(&link, &mut batch);
                heartbeat_at = now + links.heartbeat_interval();
            }
            if batch.is_empty() {
                if !is_standing && now >= wake_at {
                    return Ended::Idle;
                }
                continue;
            }
            used_at = now;
            let frame = message::pack(&batch);
            links.counters.bytes.inc_by(frame.len() as u64);
            links.counters.messages.inc_by(batch.len() as u64);
            if frames.send(frame).await.is_err() {
                return Ended::Broken;
            }
        }
    };
    sent.or(written).await
}

/// Waits for messages until the next heartbeat is due; returns at most one frame's worth.
async fn next_batch(messages: &Receiver<Message>, heartbeat_at: Instant) -> Vec<Message> {
    let left = heartbeat_at.saturating_duration_since(Instant::now());
    let mut batch = Vec::new();
    if let Some(Ok(first)) = timeout(left, messages.recv()).await {
        batch.push(first);
    }
    while batch.len() < BATCH_MAX
        && let Ok(message) = messages.try_recv()
    {
        batch.push(message);
    }
    batch
}
