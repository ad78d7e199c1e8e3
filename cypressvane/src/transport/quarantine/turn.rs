//! Takes the turns of requests with suspected features at the host that gives them, their home.
//!
//! All turns have one home, so that a request gets those of all its features or none. A request that gets no reply is refused.
//! A new home knows no turns that an earlier one gave, so that one more request may run then.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::Sender;

use crate::coordination::quarantine::{Holder, Turns};
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, timeout};

/// Subject whose home gives all turns.
const TURNS_SUBJECT: &str = "quarantine/turns";
/// How long a request waits for the home's reply: that of a charge at an account's home, with its extra time.
const HOME_TIMEOUT: Duration = Duration::from_millis(160);

/// Gives turns, as their home, and takes them for the requests of this host.
#[derive(Debug)]
pub(super) struct Turnstile {
    links: Arc<Links>,
    /// The turns that this host has given.
    given: Mutex<Turns>,
    /// The requests that wait for a reply, by the sequence number of their turn.
    pending: Mutex<HashMap<u64, Sender<bool>>>,
}

/// The right of a request to run; dropping it lets the next one run.
#[derive(Debug)]
pub(crate) struct Turn {
    turnstile: Arc<Turnstile>,
    home: Name,
    sequence: u64,
}

impl Turnstile {
    pub(super) fn new(links: Arc<Links>) -> Self {
        Self {
            links,
            given: Mutex::default(),
            pending: Mutex::default(),
        }
    }

    /// Takes the turns of all features for the time of `lease`; `None` if one is taken, or the home does not reply.
    pub(super) async fn take(
        self: &Arc<Self>,
        features: Vec<Fingerprint>,
        lease: Duration,
    ) -> Option<Turn> {
        let sequence = fastrand::u64(..);
        let home = self.links.home_of(TURNS_SUBJECT);
        if *home == *self.links.own_name() {
            let is_given = self.give(&home, sequence, &features, lease, Instant::now());
            return is_given.then(|| self.turn(home, sequence));
        }
        // Dropped without a reply, it gives back what the home may have given.
        let turn = self.turn(home.clone(), sequence);
        let (sender, reply) = async_channel::bounded(1);
        lock(&self.pending).insert(sequence, sender);
        let lease_ms = millis(lease);
        let query = Message::TurnQuery {
            sequence,
            features,
            lease_ms,
        };
        self.links.send(&home, query);
        let is_given = timeout(HOME_TIMEOUT, reply.recv()).await;
        matches!(is_given, Some(Ok(true))).then_some(turn)
    }

    fn turn(self: &Arc<Self>, home: Name, sequence: u64) -> Turn {
        Turn {
            turnstile: Arc::clone(self),
            home,
            sequence,
        }
    }

    fn give(
        &self,
        host: &Name,
        sequence: u64,
        features: &[Fingerprint],
        lease: Duration,
        now: Instant,
    ) -> bool {
        let host = host.clone();
        lock(&self.given).take(features, &Holder { host, sequence }, lease, now)
    }

    /// Replies to another host that asks for turns.
    pub(super) fn handle_query(
        &self,
        from: &Name,
        sequence: u64,
        features: &[Fingerprint],
        lease_ms: u64,
        now: Instant,
    ) {
        let lease = Duration::from_millis(lease_ms);
        let is_given = self.give(from, sequence, features, lease, now);
        let reply = Message::TurnReply { sequence, is_given };
        self.links.send(from, reply);
    }

    /// Handles the home's reply to a request of this host.
    pub(super) fn handle_reply(&self, sequence: u64, is_given: bool) {
        if let Some(waiting) = lock(&self.pending).remove(&sequence) {
            // The channel has room for the one reply.
            let _ = waiting.try_send(is_given);
        }
    }

    /// Takes back the turns of another host's request.
    pub(super) fn handle_end(&self, from: &Name, sequence: u64) {
        let host = from.clone();
        lock(&self.given).give_back(&Holder { host, sequence });
    }

    /// Takes back the turns of a host that was restarted.
    pub(super) fn forget(&self, host: &Name) {
        lock(&self.given).forget(host);
    }

    pub(super) fn sweep(&self, now: Instant) {
        lock(&self.given).sweep(now);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (turnstile, sequence) = (&self.turnstile, self.sequence);
        lock(&turnstile.pending).remove(&sequence);
        if *self.home == *turnstile.links.own_name() {
            turnstile.handle_end(&self.home, sequence);
        } else {
            let end = Message::TurnEnd { sequence };
            turnstile.links.send(&self.home, end);
        }
    }
}
