//! The quarantine of requests under which backend servers end (queries of death), shared by all hosts.
//!
//! Each host broadcasts which of its requests were running on a server that ended, with their features, and which of
//! these were answered completely. Requests with suspected features run one at a time on all hosts, in turns that one host
//! gives. Heartbeats carry a digest of the rulings; where digests differ, hosts send each other all
//! rulings, so that a host that starts, was cut off or stood still has them with the first heartbeat. The rulings are
//! also stored in the table service, so that they survive the loss of all hosts.

pub(crate) mod storage;
mod turn;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::quarantine::{
    self, Access, Bounds, End, EndOutcome, Feature, Features, Ruling, Subject,
};
use crate::protocol::dump;
use crate::protocol::message::{self, Breadth, Message};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::config;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::units::millis_since;
use crate::transport::metrics::Metrics;
use crate::transport::network::Target;
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

pub(crate) use turn::Turn;
use turn::Turnstile;

/// Number of hosts that tell all others at once of an answer that clears a feature.
const FIRST_TELLERS: u64 = 4;
/// Retry-after of a request that shares a suspected feature with one that runs.
const TURN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Least time between two transfers of all rulings to the same host.
const RESYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Number of characters of a path that operators are shown.
const PATH_CHARS_MAX: usize = 120;

/// This host's part of the quarantine.
pub(crate) struct Quarantine {
    links: Arc<Links>,
    log: Logger,
    /// Whether the quarantine is disabled.
    is_off: bool,
    known: Mutex<quarantine::Quarantine>,
    /// Whether there are no suspects and no rulings, so that no request needs a lookup.
    is_empty: AtomicBool,
    turnstile: Arc<Turnstile>,
    /// When all rulings were last sent to each host.
    last_sync: Mutex<HashMap<Name, Instant>>,
    /// Wakes the task that writes the rulings to the table service.
    write_requested: (Sender<()>, Receiver<()>),
    /// Closed once the host list has been read, so that the number of hosts is known.
    host_list_read: (Sender<()>, Receiver<()>),
    /// Whether the stored rulings have been read, could not be read, or are read by other hosts.
    loaded: AtomicBool,
}

/// A server that ended while it ran a request.
pub(crate) struct Ended<'a> {
    pub(crate) features: &'a [Feature],
    pub(crate) request_id: &'a str,
    pub(crate) account: Option<&'a Name>,
    pub(crate) path: &'a str,
    pub(crate) target: &'a Target,
    /// When the request was sent to the server.
    pub(crate) sent: Instant,
}

impl Quarantine {
    pub(crate) fn new(config: &config::Quarantine, links: Arc<Links>, log: Logger) -> Self {
        let bounds = Bounds {
            ends: usize::try_from(config.ends).ok().filter(|ends| *ends > 0),
            retention: Duration::from_millis(config.kept_ms),
        };
        Self {
            turnstile: Arc::new(Turnstile::new(Arc::clone(&links))),
            links,
            log,
            is_off: bounds.ends.is_none(),
            known: Mutex::new(quarantine::Quarantine::new(bounds)),
            is_empty: AtomicBool::new(true),
            last_sync: Mutex::default(),
            write_requested: async_channel::bounded(1),
            host_list_read: async_channel::bounded(1),
            loaded: AtomicBool::new(false),
        }
    }

    /// Records that the host list has been read.
    pub(crate) fn note_listed(&self) {
        self.host_list_read.0.close();
    }

    /// Whether the stored rulings have been read, could not be read, or are read by other hosts.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// The reason to refuse a quarantined request; `None` if no feature of the request is quarantined.
    pub(crate) fn refusal(&self, features: impl FnOnce() -> Features) -> Option<Reason> {
        match self.access(features) {
            Access::Kept(fingerprint) => Some(kept_reason(&fingerprint)),
            Access::Free | Access::OneAtATime | Access::Deferred => None,
        }
    }

    /// Checks, before the first byte of a request is sent to a server, whether it may run until `deadline`. Where the
    /// requests that share a suspected feature run one at a time, it takes its turn, unless it has one.
    ///
    /// # Errors
    /// When the request is quarantined, or when it is not its turn.
    pub(crate) async fn check(
        &self,
        metrics: &Metrics,
        features: impl Fn() -> Features,
        deadline: Instant,
        turn: &mut Option<Turn>,
    ) -> Result<(), Reason> {
        if self.access(&features) == Access::OneAtATime && turn.is_none() {
            let now = Instant::now();
            let cautious = lock(&self.known).cautious(&features(), now).collect();
            let lease = deadline.saturating_duration_since(now);
            *turn = self.turnstile.take(cautious, lease).await;
        }
        // Another server may have ended under the request while it waited for its turn.
        match self.access(features) {
            Access::Free => Ok(()),
            Access::OneAtATime if turn.is_some() => Ok(()),
            Access::OneAtATime | Access::Deferred => {
                metrics.quarantine.turn_refusals.inc();
                Err(busy_reason())
            }
            Access::Kept(fingerprint) => {
                metrics.quarantine.refusals.inc();
                Err(kept_reason(&fingerprint))
            }
        }
    }

    /// Handles another host's question whether a request may run.
    pub(crate) fn handle_turn_query(
        &self,
        from: &Name,
        sequence: u64,
        features: &[Fingerprint],
        lease_ms: u64,
        now: Instant,
    ) {
        self.turnstile
            .handle_query(from, sequence, features, lease_ms, now);
    }

    /// Handles the reply to such a question of this host.
    pub(crate) fn handle_turn_reply(&self, sequence: u64, is_given: bool) {
        self.turnstile.handle_reply(sequence, is_given);
    }

    /// Records that a request of another host, which had its turn, does not run any more.
    pub(crate) fn handle_turn_end(&self, from: &Name, sequence: u64) {
        self.turnstile.handle_end(from, sequence);
    }

    /// Records that another host was restarted, so that none of its requests run.
    pub(crate) fn note_restarted(&self, host: &Name) {
        self.turnstile.forget(host);
    }

    /// Whether a request may be sent to another server after one has failed or while one is silent.
    pub(crate) fn may_repeat(&self, features: impl FnOnce() -> Features) -> bool {
        self.access(features) == Access::Free
    }

    fn access(&self, features: impl FnOnce() -> Features) -> Access {
        if self.is_empty.load(Ordering::Relaxed) {
            return Access::Free;
        }
        let features = features();
        lock(&self.known).access(&features, Instant::now())
    }

    /// Records that a server ended while it ran a request of this host, and broadcasts it to the other hosts.
    pub(crate) fn record_end(
        &self,
        metrics: &Metrics,
        ended: &Ended<'_>,
        servers: usize,
        now: Instant,
    ) {
        metrics.quarantine.server_ends.inc();
        let Some(request) = ended.features.first().filter(|_| !self.is_off) else {
            return;
        };
        let end = End {
            id: fastrand::u64(..),
            pool: ended.target.pool.clone(),
            server: ended.target.server.clone(),
            request: request.fingerprint,
            sent: ended.sent,
            ended: now,
        };
        let subject = Subject {
            account: ended.account.cloned(),
            path: ended
                .path
                .chars()
                .take(PATH_CHARS_MAX)
                .collect::<String>()
                .into(),
            part: None,
        };
        let message = message::Ended::new(ended.features, &subject, &end, now);
        self.links.broadcast(&Message::Ended(message), Breadth::All);
        let outcome =
            self.update(|known| known.ended(ended.features, &subject, &end, servers, now));
        let evidence = match &outcome {
            EndOutcome::Suspect(evidence) => Some(evidence),
            EndOutcome::Nothing | EndOutcome::Quarantined(_) => None,
        };
        slog::info!(
            self.log, "a server ended under a request";
            "request_id" => ended.request_id, "fingerprint" => %request.fingerprint,
            "parts" => parts_text(ended.features), "server" => &*ended.target.server, "account" => subject.account.as_deref(),
            "path" => &*subject.path, "ran_ms" => millis_since(ended.sent, now),
            "ends" => evidence.map(|evidence| evidence.ends),
            "series" => evidence.map(|evidence| evidence.series),
            "chance_as_lately" => evidence.map(|evidence| evidence.chance_as_lately),
            "chance_failing_now" => evidence.map(|evidence| evidence.chance_failing_now),
            "chance_within_runs" => evidence.map(|evidence| evidence.chance_within_runs),
        );
        if let EndOutcome::Quarantined(ruling) = outcome {
            self.log_quarantined(&ruling, None);
            self.publish(ruling, now);
        }
    }

    /// Records that a server ended while it ran a request of another host.
    pub(crate) fn handle_ended(
        &self,
        from: &Name,
        message: message::Ended,
        servers: usize,
        now: Instant,
    ) {
        let Some((features, subject, end)) = message.into_local(now) else {
            return;
        };
        let outcome = self.update(|known| known.ended(&features, &subject, &end, servers, now));
        if let EndOutcome::Quarantined(ruling) = outcome {
            self.log_quarantined(&ruling, Some(from));
            self.schedule_write_if_elected();
        }
    }

    /// Records that a request was answered completely.
    pub(crate) fn record_answer(&self, features: impl FnOnce() -> Features, now: Instant) {
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let features = features();
        let tells_first = |fingerprint: &Fingerprint| self.tells_first(fingerprint);
        let outcome = self.update(|known| known.answered(&features, tells_first, now));
        if !outcome.cleared.is_empty() {
            let features = outcome.cleared;
            let message = Message::Answered { features };
            self.links.broadcast(&message, Breadth::All);
        }
        for ruling in outcome.released {
            self.log_released(&ruling, "answered whole");
            self.publish(ruling, now);
        }
    }

    /// Whether this host is one of the few that tell all others at once of an answer that clears a feature.
    fn tells_first(&self, fingerprint: &Fingerprint) -> bool {
        let mut hasher = DefaultHasher::new();
        (self.links.own_name(), fingerprint).hash(&mut hasher);
        let hosts = u64::try_from(self.links.known_count()).unwrap_or(u64::MAX);
        hasher.finish() % hosts.max(1) < FIRST_TELLERS
    }

    /// Records that another host's request was answered completely.
    pub(crate) fn handle_answered(&self, features: &[Fingerprint], now: Instant) {
        // The other host sends a changed ruling in a message of its own.
        self.update(|known| {
            for fingerprint in features {
                known.clear(fingerprint, now);
            }
        });
    }

    /// Releases a request from the quarantine for an operator; `None` if it is not quarantined.
    pub(crate) fn release(&self, fingerprint: &Fingerprint, operator: &str) -> Option<Ruling> {
        let now = Instant::now();
        let ruling = self.update(|known| known.release(fingerprint, now))?;
        self.log_released(&ruling, operator);
        self.publish(ruling.clone(), now);
        Some(ruling)
    }

    /// Merges rulings from another host or from the table service.
    pub(crate) fn merge(&self, from: &str, rulings: Vec<message::Ruling>, now: Instant) {
        let mut has_new = false;
        for ruling in rulings {
            let ruling = ruling.into_local(now);
            if self.update(|known| known.merge(ruling.clone(), now)) {
                has_new = true;
                if ruling.is_quarantined() {
                    self.log_quarantined(&ruling, Some(from));
                } else {
                    self.log_released(&ruling, from);
                }
            }
        }
        if has_new {
            self.schedule_write_if_elected();
        }
    }

    /// Compares another host's digest of the rulings with this host's, and sends that host all rulings if they differ.
    pub(crate) fn sync_with(&self, from: &Name, digest: u64, now: Instant) {
        let rulings = {
            let known = lock(&self.known);
            if known.digest() == digest {
                return;
            }
            known.rulings()
        };
        if rulings.is_empty() || !self.is_resync_due(from, now) {
            return;
        }
        self.links.send(from, rulings_message(&rulings, now));
    }

    /// The quarantined requests and the suspects, for operators.
    pub(crate) fn list(&self, now: Instant) -> Vec<dump::Quarantined> {
        let known = lock(&self.known);
        let rulings = known.rulings();
        let quarantined = rulings.iter().filter(|ruling| ruling.is_quarantined());
        let quarantined = quarantined.map(|ruling| dump::Quarantined {
            fingerprint: ruling.fingerprint.to_string(),
            account: ruling.subject.account.clone(),
            path: ruling.subject.path.clone(),
            part: ruling.subject.part.clone(),
            along_with: ruling.along_with.iter().map(ToString::to_string).collect(),
            kept: true,
            ends: None,
            servers: ruling.servers.clone(),
            since_ms: millis_since(ruling.since, now),
        });
        let suspects = known
            .suspects()
            .map(|(fingerprint, suspect)| dump::Quarantined {
                fingerprint: fingerprint.to_string(),
                account: suspect.subject.account.clone(),
                path: suspect.subject.path.clone(),
                part: suspect.subject.part.clone(),
                along_with: Vec::new(),
                kept: false,
                ends: Some(suspect.distinct_ends()),
                servers: suspect.servers(),
                since_ms: suspect.last_end().map_or(0, |last| millis_since(last, now)),
            });
        quarantined.chain(suspects).collect()
    }

    /// Drops expired entries and updates the metric.
    pub(crate) fn sweep(&self, metrics: &Metrics, now: Instant) {
        self.turnstile.sweep(now);
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let quarantined = self.update(|known| known.sweep(now));
        metrics
            .quarantine
            .kept
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    }

    /// Updates what is known, and everything derived from it.
    fn update<T>(&self, update: impl FnOnce(&mut quarantine::Quarantine) -> T) -> T {
        let mut known = lock(&self.known);
        let outcome = update(&mut known);
        self.is_empty.store(known.is_empty(), Ordering::Relaxed);
        self.links.announce_rulings(known.digest());
        outcome
    }

    /// Broadcasts a ruling of this host and schedules a write.
    fn publish(&self, ruling: Ruling, now: Instant) {
        self.links
            .broadcast(&rulings_message(&[ruling], now), Breadth::All);
        self.schedule_write();
    }

    /// Schedules a write of the rulings to the table service.
    fn schedule_write(&self) {
        // A full channel means that the task has been woken already.
        let _ = self.write_requested.0.try_send(());
    }

    /// Schedules another write by one elected host, since the table service may have lost the rulings.
    pub(crate) fn schedule_rewrite(&self) {
        if !self.is_empty.load(Ordering::Relaxed) {
            self.schedule_write_if_elected();
        }
    }

    /// Schedules a write if this host is elected to write for all. The host that made a ruling writes it too, but may
    /// be killed first.
    fn schedule_write_if_elected(&self) {
        if self.links.position_for(storage::ROW_KEY, 1) == 0 {
            self.schedule_write();
        }
    }

    fn is_resync_due(&self, host: &Name, now: Instant) -> bool {
        let mut last_sync = lock(&self.last_sync);
        let is_due = last_sync
            .get(host)
            .is_none_or(|at| now.saturating_duration_since(*at) >= RESYNC_INTERVAL);
        if is_due {
            last_sync.insert(host.clone(), now);
        }
        is_due
    }

    fn log_quarantined(&self, ruling: &Ruling, from: Option<&str>) {
        slog::warn!(
            self.log, "a request is kept from the servers, which end under it";
            "fingerprint" => %ruling.fingerprint, "part" => ruling.subject.part.as_deref(), "account" => ruling.subject.account.as_deref(),
            "path" => &*ruling.subject.path, "servers" => ruling.servers.join(","),
            "version" => ruling.version, "told_by" => from,
        );
    }

    fn log_released(&self, ruling: &Ruling, why: &str) {
        slog::warn!(
            self.log, "a request that was kept from the servers is let through again";
            "fingerprint" => %ruling.fingerprint, "part" => ruling.subject.part.as_deref(), "account" => ruling.subject.account.as_deref(),
            "path" => &*ruling.subject.path, "version" => ruling.version, "why" => why,
        );
    }
}

fn kept_reason(fingerprint: &Fingerprint) -> Reason {
    let message = format!(
        "backend servers ended under such requests; operators know this one as {fingerprint}"
    );
    Reason::new(Code::EndsServers, message)
}

fn busy_reason() -> Reason {
    let message = "backend servers ended under such requests, which run one at a time now";
    Reason::with_retry_after(Code::Overloaded, message, TURN_RETRY_AFTER)
}

/// The parts of a prompt among a request's features, for the log.
fn parts_text(features: &[Feature]) -> String {
    let parts: Vec<&str> = features
        .iter()
        .filter_map(|it| it.part.as_deref())
        .collect();
    parts.join(",")
}

/// The message that carries rulings to other hosts.
fn rulings_message(rulings: &[Ruling], now: Instant) -> Message {
    let messages = rulings
        .iter()
        .map(|ruling| message::Ruling::from_local(ruling, now));
    Message::Rulings {
        rulings: messages.collect(),
    }
}
