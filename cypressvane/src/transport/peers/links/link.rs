//! One link: what is believed of the host at its other end, and how messages get there.

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
use crate::transport::runtime::{lock, within};

/// Longest time to connect a link.
const CONNECT: Duration = Duration::from_secs(1);
/// Time after which a link breaks that the other host acknowledges nothing on, though its connection may
/// look open: a packet is sent three times within it, so that two losses in a row break nothing.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Rest before a link is connected again that could not be, or that broke as soon as it was.
const RECONNECT: Duration = Duration::from_millis(200);
/// How often the other host is told what runs after the link was made anew: at once, and when what was on its way then
/// is old enough to be taken back.
const TOLD_ANEW: u8 = 2;
/// Longest time to connect a link again that broke. Meanwhile its host keeps its homes: where connections fall silent,
/// only these are gone, and homes that move and come back cost every host seconds.
const CONNECT_AGAIN: Duration = Duration::from_millis(300);
/// Age from which a connection is doubted: on a younger one, what was said over the one before may still be answered.
const DOUBTED_FROM: Duration = Duration::from_millis(500);
/// The same for a connection that was made since the one before was doubted: then the other host is more likely behind with
/// its work, and connections that all hosts make anew would add to that.
const DOUBTED_AGAIN_FROM: Duration = Duration::from_secs(4);
/// Most messages in a frame.
const BATCH_MAX: usize = 256;
/// Frames that wait for the socket.
const FRAMES_MAX: usize = 4;

/// What is believed of another host.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) draining: bool,
    /// Whether the platform gives it no answer.
    pub(super) cut_off: bool,
    pub(super) heard: Option<Instant>,
    /// Since when it says that it does not hear this host.
    pub(super) deaf: Option<Instant>,
}

/// The link to one other host.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) name: Name,
    pub(super) data_centre: Name,
    pub(super) address: SocketAddr,
    pub(super) queue: Sender<Message>,
    /// Asks for another connection.
    pub(super) renewals: Sender<()>,
    /// Whether the other host has left something that it was asked without a word.
    pub(super) doubted: AtomicBool,
    /// What was told over connections before may be lost: how often the other host is still to be told what runs.
    pub(super) untold: AtomicU8,
    /// When it was made anew last since it was doubted.
    pub(super) renewed: Mutex<Option<Instant>>,
    pub(super) opened: Instant,
    /// Since when it is connected.
    pub(super) connected: Mutex<Option<Instant>>,
    pub(super) presence: Mutex<Presence>,
    pub(super) view: Mutex<View>,
    /// Ends with the link.
    pub(super) task: Mutex<Option<Task<()>>>,
}

/// Why a host is not given homes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfit {
    /// It is not in the host list.
    Gone,
    /// It is leaving, as it says itself or the host list does.
    Leaving,
    /// The link to it is not connected.
    Unconnected,
    /// It was not heard lately.
    Silent,
}

impl Unfit {
    /// The word for it in a log.
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
    /// Whether it may be the home of a pool.
    pub(super) fn is_well(&self, suspect_after: Duration, now: Instant) -> bool {
        self.unfit(suspect_after, now).is_none()
    }

    /// Why it may not be the home of a pool, if it may not.
    pub(super) fn unfit(&self, suspect_after: Duration, now: Instant) -> Option<Unfit> {
        if *lock(&self.presence) != Presence::Live || lock(&self.view).draining {
            Some(Unfit::Leaving)
        } else if !self.is_connected() {
            Some(Unfit::Unconnected)
        } else if !self.is_heard(suspect_after, now) {
            Some(Unfit::Silent)
        } else {
            None
        }
    }

    pub(super) fn is_connected(&self) -> bool {
        lock(&self.connected).is_some()
    }

    /// Asks for another connection.
    pub(super) fn renew(&self) {
        // A full channel asks for it already.
        let _ = self.renewals.try_send(());
    }

    /// Asks for another connection, unless this one is new; tells whether it does.
    pub(super) fn renew_if_old(&self, now: Instant) -> bool {
        let connected = *lock(&self.connected);
        let Some(age) = connected.map(|at| now.saturating_duration_since(at)) else {
            return false;
        };
        let mut renewed = lock(&self.renewed);
        let is_again =
            renewed.is_some_and(|at| now.saturating_duration_since(at) < age + DOUBTED_AGAIN_FROM);
        let least = if is_again {
            DOUBTED_AGAIN_FROM
        } else {
            DOUBTED_FROM
        };
        if age < least {
            return false;
        }
        *renewed = Some(now);
        self.renew();
        true
    }

    /// Whether the other host is to be told now what runs, since the link was made anew: at once, and `later`.
    pub(super) fn takes_anew(&self, later: Duration, now: Instant) -> bool {
        let Some(connected) = *lock(&self.connected) else {
            return false;
        };
        let age = now.saturating_duration_since(connected);
        let left = self.untold.load(Ordering::Relaxed);
        let is_due = left == TOLD_ANEW || (left > 0 && age >= later);
        if is_due {
            self.untold.store(left - 1, Ordering::Relaxed);
        }
        is_due
    }

    /// Whether the other host has left something without a word since this was asked last.
    pub(super) fn take_doubt(&self) -> bool {
        self.doubted.swap(false, Ordering::Relaxed)
    }

    /// Whether the other host was not heard for `time`, though the link has been connected for as long.
    pub(super) fn is_silent(&self, time: Duration, now: Instant) -> bool {
        let Some(connected) = *lock(&self.connected) else {
            return false;
        };
        now.saturating_duration_since(connected) >= time && !self.is_heard(time, now)
    }

    /// Whether it was heard within `recent`.
    pub(super) fn is_heard(&self, recent: Duration, now: Instant) -> bool {
        let heard = lock(&self.view).heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) < recent)
    }

    /// The word for it in a dump.
    pub(super) fn state(&self, suspect_after: Duration, now: Instant) -> &'static str {
        match self.unfit(suspect_after, now) {
            None => "live",
            Some(Unfit::Leaving) => "leaving",
            Some(Unfit::Gone | Unfit::Unconnected | Unfit::Silent) => "suspect",
        }
    }
}

/// What a link's task is told.
pub(super) struct Inbox {
    /// Messages to be sent.
    pub(super) messages: Receiver<Message>,
    /// Asks for another connection.
    pub(super) renewals: Receiver<()>,
}

/// Keeps a link connected for as long as it exists.
pub(super) async fn run(links: Arc<Links>, link: Weak<Link>, address: SocketAddr, inbox: Inbox) {
    let mut limit = CONNECT;
    loop {
        let connection = client::connect_noticing(address, limit, UNACKNOWLEDGED).await;
        let set = |connected| {
            let Some(link) = link.upgrade() else { return };
            *lock(&link.connected) = connected;
            link.untold.store(TOLD_ANEW, Ordering::Relaxed);
        };
        let Ok(connection) = connection else {
            set(None);
            limit = CONNECT;
            Timer::after(RECONNECT).await;
            continue;
        };
        let began = Instant::now();
        set(Some(began));
        // What was asked of the connection before is done.
        let _ = inbox.renewals.try_recv();
        let carried = carry(&links, &link, connection, address, &inbox.messages);
        let renewed = async {
            // The link keeps the sender for as long as it exists.
            let _ = inbox.renewals.recv().await;
        };
        carried.or(renewed).await;
        if began.elapsed() < RECONNECT {
            set(None);
            Timer::after(RECONNECT).await;
        }
        limit = CONNECT_AGAIN;
    }
}

/// Carries messages over one connection until it breaks.
async fn carry(
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
    // The answer comes only when the other host gives the link up.
    let sent = async {
        let _ = connection.send(request, Duration::MAX).await;
    };
    let written = async {
        let mut beat_at = Instant::now();
        loop {
            let mut batch = next_batch(messages, beat_at).await;
            let now = Instant::now();
            if beat_at <= now {
                let Some(link) = link.upgrade() else { return };
                links.beat(&link, &mut batch);
                beat_at = now + links.heartbeat_every();
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

/// Waits for messages, or for the time of a heartbeat.
async fn next_batch(messages: &Receiver<Message>, beat_at: Instant) -> Vec<Message> {
    let left = beat_at.saturating_duration_since(Instant::now());
    let mut batch = Vec::new();
    if let Some(Ok(first)) = within(left, messages.recv()).await {
        batch.push(first);
    }
    while batch.len() < BATCH_MAX
        && let Ok(message) = messages.try_recv()
    {
        batch.push(message);
    }
    batch
}
