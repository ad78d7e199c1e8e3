//! One link: the state of the host at its other end, and the connection that carries messages there.

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
use crate::transport::runtime::{lock, timeout};

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
    /// Whether the platform does not answer it.
    pub(super) cut_off: bool,
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
    /// Requests a new connection.
    pub(super) reconnects: Sender<()>,
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
    /// Whether the other host may be a home.
    pub(super) fn is_eligible(&self, suspect_after: Duration, now: Instant) -> bool {
        self.ineligibility(suspect_after, now).is_none()
    }

    /// Why the other host may not be a home; `None` if it may.
    pub(super) fn ineligibility(
        &self,
        suspect_after: Duration,
        now: Instant,
    ) -> Option<Ineligibility> {
        if *lock(&self.presence) != Presence::Live || lock(&self.view).draining {
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

    /// The state of the other host in the dump.
    pub(super) fn state(&self, suspect_after: Duration, now: Instant) -> &'static str {
        match self.ineligibility(suspect_after, now) {
            None => "live",
            Some(Ineligibility::Leaving) => "leaving",
            Some(Ineligibility::Gone | Ineligibility::Unconnected | Ineligibility::Silent) => {
                "suspect"
            }
        }
    }
}

/// What the task of a link receives.
pub(super) struct Inbox {
    /// Messages to send.
    pub(super) messages: Receiver<Message>,
    /// Requests for a new connection.
    pub(super) reconnects: Receiver<()>,
}

/// Keeps a link connected for as long as it exists.
pub(super) async fn run(links: Arc<Links>, link: Weak<Link>, address: SocketAddr, inbox: Inbox) {
    let mut timeout = CONNECT_TIMEOUT;
    loop {
        let connection =
            client::connect_with_user_timeout(address, timeout, UNACKNOWLEDGED_TIMEOUT).await;
        let set_connected = |connected| {
            let Some(link) = link.upgrade() else { return };
            *lock(&link.connected) = connected;
            link.reports_due
                .store(REPORTS_AFTER_RECONNECT, Ordering::Relaxed);
        };
        let Ok(connection) = connection else {
            set_connected(None);
            timeout = CONNECT_TIMEOUT;
            Timer::after(RECONNECT_BACKOFF).await;
            continue;
        };
        let connected_at = Instant::now();
        set_connected(Some(connected_at));
        // A request that was meant for the previous connection is void.
        let _ = inbox.reconnects.try_recv();
        let transmitted = transmit(&links, &link, connection, address, &inbox.messages);
        let reconnect_requested = async {
            // The link keeps the sender for as long as it exists.
            let _ = inbox.reconnects.recv().await;
        };
        transmitted.or(reconnect_requested).await;
        if connected_at.elapsed() < RECONNECT_BACKOFF {
            set_connected(None);
            Timer::after(RECONNECT_BACKOFF).await;
        }
        timeout = RECONNECT_TIMEOUT;
    }
}

/// Sends messages and heartbeats over one connection until it breaks.
async fn transmit(
    links: &Links,
    link: &Weak<Link>,
    connection: client::Connection,
    address: SocketAddr,
    messages: &Receiver<Message>,
) {
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
    };
    let written = async {
        let mut heartbeat_at = Instant::now();
        loop {
            let mut batch = next_batch(messages, heartbeat_at).await;
            let now = Instant::now();
            if heartbeat_at <= now {
                let Some(link) = link.upgrade() else { return };
                links.push_heartbeat(&link, &mut batch);
                heartbeat_at = now + links.heartbeat_interval();
            }
            if batch.is_empty() {
                continue;
            }
            let frame = message::pack(&batch);
            links.counters.bytes.inc_by(frame.len() as u64);
            links.counters.messages.inc_by(batch.len() as u64);
            if frames.send(frame).await.is_err() {
                return;
            }
        }
    };
    sent.or(written).await;
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
