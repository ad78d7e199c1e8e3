//! Requests under which servers end, as this host knows them together with the others.
//!
//! Each host tells all others which of its requests ran at a server that ended, and which of the suspects was
//! answered whole. Heartbeats carry a digest of the rulings; where it differs, hosts tell each other all of
//! them, so that one that starts, was cut off or stood still knows them with the first heartbeat. Rulings also
//! stand in the table service, for the case that all hosts are killed.

pub(crate) mod keeper;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::quarantine::{self, Bounds, Cleared, End, Ruling, Shown, Subject};
use crate::protocol::dump;
use crate::protocol::message::{self, Message};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::config;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::units::millis_since;
use crate::transport::metrics::Metrics;
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

/// Least time between two tellings of all rulings to the same host.
const TELL_ALL_EVERY: Duration = Duration::from_secs(1);
/// Characters of a path that operators are shown.
const PATH_SHOWN: usize = 120;

/// Requests under which servers end.
pub(crate) struct Quarantine {
    links: Arc<Links>,
    log: Logger,
    /// Whether no request is ever kept from the servers.
    is_off: bool,
    known: Mutex<quarantine::Quarantine>,
    /// Whether nothing is known, so that no request needs to be looked up.
    calm: AtomicBool,
    /// When each host was told all rulings.
    told: Mutex<HashMap<Name, Instant>>,
    /// Wakes the task that keeps rulings in the table service.
    unkept: (Sender<()>, Receiver<()>),
    /// Closed when the host list was read, so that it is known how many hosts there are.
    listed: (Sender<()>, Receiver<()>),
    /// Whether those in the table service were read, or could not be, or others read them.
    loaded: AtomicBool,
}

/// A server that ended while it ran a request.
pub(crate) struct Ended<'a> {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request_id: &'a str,
    pub(crate) account: Option<&'a Name>,
    pub(crate) path: &'a str,
    pub(crate) server: &'a Name,
    /// When the request was sent there.
    pub(crate) sent: Instant,
}

impl Quarantine {
    pub(crate) fn new(config: &config::Quarantine, links: Arc<Links>, log: Logger) -> Self {
        let bounds = Bounds {
            ends: usize::try_from(config.ends).ok().filter(|ends| *ends > 0),
            kept: Duration::from_millis(config.kept_ms),
        };
        Self {
            links,
            log,
            is_off: bounds.ends.is_none(),
            known: Mutex::new(quarantine::Quarantine::new(bounds)),
            calm: AtomicBool::new(true),
            told: Mutex::default(),
            unkept: async_channel::bounded(1),
            listed: async_channel::bounded(1),
            loaded: AtomicBool::new(false),
        }
    }

    /// Notes that the host list was read.
    pub(crate) fn note_listed(&self) {
        self.listed.0.close();
    }

    /// Whether the rulings in the table service were read, or could not be, or others read them.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Why a request is kept from the servers; `None` where it is not.
    pub(crate) fn refusal(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Option<Reason> {
        if self.calm.load(Ordering::Relaxed) {
            return None;
        }
        let fingerprint = fingerprint();
        let holds = lock(&self.known).holds(&fingerprint, Instant::now());
        holds.then(|| {
            let message = format!(
                "backend servers ended under this request; operators know it as {fingerprint}"
            );
            Reason::new(Code::EndsServers, message)
        })
    }

    /// Takes in, and tells the other hosts, that a server ended while it ran a request of this host.
    pub(crate) fn ended(&self, metrics: &Metrics, ended: &Ended<'_>, now: Instant) {
        metrics.server_ends.inc();
        if self.is_off {
            return;
        }
        let end = End {
            id: fastrand::u64(..),
            server: ended.server.clone(),
            sent: ended.sent,
            ended: now,
        };
        let subject = Subject {
            account: ended.account.cloned(),
            path: ended
                .path
                .chars()
                .take(PATH_SHOWN)
                .collect::<String>()
                .into(),
        };
        let message = message::Ended::new(ended.fingerprint, &subject, &end, now);
        self.links.broadcast(&Message::Ended(message));
        let shown = self.change(|known| known.ended(ended.fingerprint, &subject, end, now));
        slog::info!(
            self.log, "a server ended under a request";
            "request_id" => ended.request_id, "fingerprint" => %ended.fingerprint,
            "server" => &**ended.server, "account" => subject.account.as_deref(),
            "path" => &*subject.path, "ran_ms" => millis_since(ended.sent, now),
            "ends" => match &shown { Shown::Suspect(ends) => Some(*ends), _ => None },
        );
        if let Shown::Settled(ruling) = shown {
            self.settled(&ruling, None);
            self.tell(ruling, now);
        }
    }

    /// Takes in that a server ended while it ran a request of another host.
    pub(crate) fn hear_ended(&self, from: &Name, message: message::Ended, now: Instant) {
        let fingerprint = message.fingerprint;
        let (subject, end) = message.heard(now);
        let shown = self.change(|known| known.ended(fingerprint, &subject, end, now));
        if let Shown::Settled(ruling) = shown {
            self.settled(&ruling, Some(from));
            self.keep_for_all();
        }
    }

    /// Takes in that a request was answered whole.
    pub(crate) fn answered(&self, fingerprint: impl FnOnce() -> Fingerprint, now: Instant) {
        if self.calm.load(Ordering::Relaxed) {
            return;
        }
        let fingerprint = fingerprint();
        match self.change(|known| known.answered(&fingerprint, now)) {
            Cleared::Nothing => {}
            Cleared::Suspicion => self.links.broadcast(&Message::Answered { fingerprint }),
            Cleared::Ruling(ruling) => {
                self.released(&ruling, "answered whole");
                self.tell(ruling, now);
            }
        }
    }

    /// Takes in that another host's request was answered whole.
    pub(crate) fn hear_answered(&self, fingerprint: &Fingerprint, now: Instant) {
        // A ruling is told as such.
        self.change(|known| known.forgive(fingerprint, now));
    }

    /// Lets a request through again, as an operator asks; `None` where it is not kept.
    pub(crate) fn release(&self, fingerprint: &Fingerprint, operator: &str) -> Option<Ruling> {
        let now = Instant::now();
        let ruling = self.change(|known| known.release(fingerprint, now))?;
        self.released(&ruling, operator);
        self.tell(ruling.clone(), now);
        Some(ruling)
    }

    /// Takes in rulings of another host, or of the table service.
    pub(crate) fn hear(&self, from: &str, rulings: Vec<message::Ruling>, now: Instant) {
        let mut is_news = false;
        for ruling in rulings {
            let ruling = ruling.heard(now);
            if self.change(|known| known.hear(ruling.clone(), now)) {
                is_news = true;
                if ruling.holds() {
                    self.settled(&ruling, Some(from));
                } else {
                    self.released(&ruling, from);
                }
            }
        }
        if is_news {
            self.keep_for_all();
        }
    }

    /// Compares another host's digest of the rulings with this host's, and tells it all where they differ.
    pub(crate) fn compare(&self, from: &Name, digest: u64, now: Instant) {
        let rulings = {
            let known = lock(&self.known);
            if known.digest() == digest {
                return;
            }
            known.rulings()
        };
        if rulings.is_empty() || !self.is_due(from, now) {
            return;
        }
        self.links.send(from, tellable(&rulings, now));
    }

    /// Rulings and suspects, as operators are told of them.
    pub(crate) fn list(&self, now: Instant) -> Vec<dump::Quarantined> {
        let known = lock(&self.known);
        let rulings = known.rulings();
        let kept = rulings.iter().filter(|ruling| ruling.holds());
        let kept = kept.map(|ruling| dump::Quarantined {
            fingerprint: ruling.fingerprint.to_string(),
            account: ruling.subject.account.clone(),
            path: ruling.subject.path.clone(),
            kept: true,
            servers: ruling.servers.clone(),
            since_ms: millis_since(ruling.since, now),
        });
        let suspects = known
            .suspects()
            .map(|(fingerprint, suspect)| dump::Quarantined {
                fingerprint: fingerprint.to_string(),
                account: suspect.subject.account.clone(),
                path: suspect.subject.path.clone(),
                kept: false,
                servers: suspect.servers(),
                since_ms: suspect.last().map_or(0, |last| millis_since(last, now)),
            });
        kept.chain(suspects).collect()
    }

    /// Forgets what is too old.
    pub(crate) fn sweep(&self, metrics: &Metrics, now: Instant) {
        if self.calm.load(Ordering::Relaxed) {
            return;
        }
        let held = self.change(|known| known.sweep(now));
        metrics
            .quarantined
            .set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    /// Changes what is known, and keeps what is derived from it.
    fn change<T>(&self, change: impl FnOnce(&mut quarantine::Quarantine) -> T) -> T {
        let mut known = lock(&self.known);
        let changed = change(&mut known);
        self.calm.store(known.is_calm(), Ordering::Relaxed);
        self.links.tell_rulings(known.digest());
        changed
    }

    /// Tells all hosts a ruling of this host's, and has it kept in the table service.
    fn tell(&self, ruling: Ruling, now: Instant) {
        self.links.broadcast(&tellable(&[ruling], now));
        self.keep();
    }

    /// Has the rulings kept in the table service.
    fn keep(&self) {
        // A full channel means that the task is woken already.
        let _ = self.unkept.0.try_send(());
    }

    /// Has them kept anew, since the table service may have lost them; what it lost is kept by one host for all.
    pub(crate) fn keep_again(&self) {
        if !self.calm.load(Ordering::Relaxed) {
            self.keep_for_all();
        }
    }

    /// Has them kept by one host for all, beside the one that made the ruling, which may be killed first.
    fn keep_for_all(&self) {
        if self.links.place_for(keeper::ROW) == 0 {
            self.keep();
        }
    }

    fn is_due(&self, host: &Name, now: Instant) -> bool {
        let mut told = lock(&self.told);
        let is_due = told
            .get(host)
            .is_none_or(|at| now.saturating_duration_since(*at) >= TELL_ALL_EVERY);
        if is_due {
            told.insert(host.clone(), now);
        }
        is_due
    }

    fn settled(&self, ruling: &Ruling, from: Option<&str>) {
        slog::warn!(
            self.log, "a request is kept from the servers, which end under it";
            "fingerprint" => %ruling.fingerprint, "account" => ruling.subject.account.as_deref(),
            "path" => &*ruling.subject.path, "servers" => ruling.servers.join(","),
            "version" => ruling.version, "told_by" => from,
        );
    }

    fn released(&self, ruling: &Ruling, why: &str) {
        slog::warn!(
            self.log, "a request that was kept from the servers is let through again";
            "fingerprint" => %ruling.fingerprint, "account" => ruling.subject.account.as_deref(),
            "path" => &*ruling.subject.path, "version" => ruling.version, "why" => why,
        );
    }
}

/// Rulings as a host tells them.
fn tellable(rulings: &[Ruling], now: Instant) -> Message {
    let told = rulings
        .iter()
        .map(|ruling| message::Ruling::told(ruling, now));
    Message::Rulings {
        rulings: told.collect(),
    }
}
