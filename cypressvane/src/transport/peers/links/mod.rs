//! The links to the other hosts of the region, and what is believed of each host.
//!
//! Each host keeps one link to each other host: a long HTTP request whose body carries frames one
//! way. What comes back comes on the other host's own link.

mod counters;
mod link;
mod silence;
mod telling;
mod well;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};

use crate::coordination::home;
use crate::coordination::limit::Share;
use crate::protocol::dump;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::config::{Host, Timeouts};
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind};
use crate::state::units::millis;
use crate::transport::runtime::{lock, spawn};

pub(crate) use counters::Counters;

use link::{Inbox, Link, View, run};
pub(crate) use well::Moves;
use well::Well;

/// Messages that wait for a link; more are dropped, since each is repeated or reconciled.
const QUEUE_MAX: usize = 65_536;

/// Hosts up to which heartbeats go as often as the settings say. Beyond, a host sends as many in all:
/// with 87 hosts each five times a second they were 6% of the worth of a day in bytes.
const HOSTS_UNSTRETCHED: u32 = 40;

/// All links of this host.
#[derive(Debug)]
pub(crate) struct Links {
    me: Host,
    incarnation: u64,
    /// Time between two heartbeats on a link.
    heartbeat: Duration,
    /// Silence after which a host is no longer given homes.
    suspect_after: Duration,
    peers: ArcSwap<HashMap<Name, Arc<Link>>>,
    /// The hosts that may be homes, this one included unless it is leaving.
    well: ArcSwap<Well>,
    roster_read: AtomicBool,
    /// When the hosts were last looked at.
    refreshed: Mutex<Option<Instant>>,
    version: AtomicU64,
    /// When a version was the newest by the platform's clock; told together with the version.
    confirmed: ArcSwapOption<(u64, u64)>,
    draining: AtomicBool,
    /// Whether the platform gives this host no answer.
    cut_off: AtomicBool,
    /// How far this host has read the host list itself.
    list_read: ArcSwap<Vec<u64>>,
    /// A digest of the rulings on requests under which servers end.
    rulings: AtomicU64,
    counters: Counters,
}

impl Links {
    /// No links yet: this host is every pool's home until it knows others.
    pub(crate) fn new(me: Host, timeouts: &Timeouts, incarnation: u64) -> Self {
        let well = Well::of(vec![me.name.clone()]);
        Self {
            me,
            incarnation,
            heartbeat: Timeouts::of(timeouts.heartbeat_ms),
            suspect_after: Timeouts::of(timeouts.suspect_ms),
            peers: ArcSwap::default(),
            well: ArcSwap::from_pointee(well),
            roster_read: AtomicBool::new(false),
            refreshed: Mutex::default(),
            version: AtomicU64::new(0),
            confirmed: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            cut_off: AtomicBool::new(false),
            list_read: ArcSwap::default(),
            rulings: AtomicU64::new(0),
            counters: Counters::new(),
        }
    }

    /// What was sent to the other hosts.
    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether the host list was ever read.
    pub(crate) fn has_roster(&self) -> bool {
        self.roster_read.load(Ordering::Relaxed)
    }

    /// Whether there are other hosts, or may be because the host list was not read yet.
    pub(crate) fn expects_peers(&self) -> bool {
        !self.has_roster() || !self.peers.load().is_empty()
    }

    /// Whether every other host has told its version.
    pub(crate) fn hears_all(&self) -> bool {
        let peers = self.peers.load();
        self.has_roster() && peers.values().all(|link| lock(&link.view).heard.is_some())
    }

    /// Follows the host list: links to new hosts are opened, those to absent ones closed.
    ///
    /// Returns the names of the hosts that are gone.
    pub(crate) fn follow(self: &Arc<Self>, entries: &[Entry]) -> Vec<Name> {
        let known = self.peers.load();
        let mut links = HashMap::new();
        for entry in entries {
            let is_peer = entry.kind == Kind::Entry
                && entry.region == self.me.region
                && entry.name != self.me.name;
            if !is_peer {
                continue;
            }
            let old = known
                .get(&entry.name)
                .filter(|link| link.address == entry.address);
            let link = old.cloned().unwrap_or_else(|| self.open(entry));
            *lock(&link.presence) = entry.presence;
            links.insert(entry.name.clone(), link);
        }
        let gone = known
            .keys()
            .filter(|name| !links.contains_key(*name))
            .cloned()
            .collect();
        self.peers.store(Arc::new(links));
        self.roster_read.store(true, Ordering::Relaxed);
        gone
    }

    fn open(self: &Arc<Self>, entry: &Entry) -> Arc<Link> {
        // A bounded channel would take the memory of all its places at once, for each link.
        let (queue, messages) = async_channel::unbounded();
        let (renewals, asked) = async_channel::bounded(1);
        let link = Arc::new(Link {
            name: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            queue,
            renewals,
            doubted: AtomicBool::new(false),
            untold: AtomicU8::new(0),
            renewed: Mutex::new(None),
            opened: Instant::now(),
            connected: Mutex::default(),
            presence: Mutex::new(entry.presence),
            view: Mutex::new(View::default()),
            task: Mutex::new(None),
        });
        let running = run(
            Arc::clone(self),
            Arc::downgrade(&link),
            entry.address,
            Inbox {
                messages,
                renewals: asked,
            },
        );
        *lock(&link.task) = Some(spawn(running));
        link
    }

    /// Looks again at which hosts may be homes; tells what changed, if anything did.
    pub(crate) fn refresh(&self, now: Instant) -> Option<Moves> {
        let links = self.peers.load();
        self.renew_silent(&links, now);
        let others = links
            .values()
            .filter(|link| link.is_well(self.suspect_after(), now));
        let mut well: Vec<Name> = others.map(|link| link.name.clone()).collect();
        if !self.draining.load(Ordering::Relaxed) || well.is_empty() {
            well.push(self.me.name.clone());
        }
        well.sort();
        let before = self.well.load_full();
        if before.hosts == well {
            return None;
        }
        let moves = before.moves(&well, |name| self.unfit(&links, name, now));
        self.well.store(Arc::new(Well::of(well)));
        Some(moves)
    }

    /// The home of a service's pool.
    pub(crate) fn home_of(&self, service: &str) -> Name {
        let home = self.well.load().home_of(service);
        home.unwrap_or_else(|| self.me.name.clone())
    }

    /// The hosts that may be homes.
    pub(crate) fn homes(&self) -> Vec<Name> {
        self.well.load().hosts.clone()
    }

    /// Number of hosts that take callers, this one included.
    pub(crate) fn hosts(&self) -> u32 {
        u32::try_from(self.well.load().hosts.len()).unwrap_or(u32::MAX)
    }

    /// Time between two heartbeats on a link: the more hosts, the longer, so that what a host sends
    /// to all others stays the same.
    pub(super) fn heartbeat_every(&self) -> Duration {
        self.heartbeat.mul_f64(self.stretch())
    }

    /// Silence after which a host is no longer given homes.
    fn suspect_after(&self) -> Duration {
        self.suspect_after.mul_f64(self.stretch())
    }

    /// How much longer than set heartbeats and suspicion take.
    pub(crate) fn stretch(&self) -> f64 {
        (f64::from(self.known()) / f64::from(HOSTS_UNSTRETCHED)).max(1.0)
    }

    /// The data centre of a host, where it is known.
    pub(crate) fn data_centre_of(&self, host: &Name) -> Option<Name> {
        if *host == self.me.name {
            return Some(self.me.data_centre.clone());
        }
        let links = self.peers.load();
        links.get(host).map(|link| link.data_centre.clone())
    }

    /// Number of hosts that are known, this one included, whether well or not.
    pub(crate) fn known(&self) -> u32 {
        u32::try_from(self.peers.load().len() + 1).unwrap_or(u32::MAX)
    }

    /// Queues a message; one that cannot be queued is lost, as on a cut link.
    pub(crate) fn send(&self, to: &Name, message: Message) {
        let links = self.peers.load();
        let Some(link) = links.get(to) else { return };
        if link.queue.len() < QUEUE_MAX {
            // The channel is closed only when the link is gone, and the message with it.
            let _ = link.queue.try_send(message);
        }
    }

    /// Notes that a host was heard; tells whether this is a newer incarnation than was known.
    pub(crate) fn heard(&self, from: &Name, incarnation: u64, now: Instant) -> bool {
        let links = self.peers.load();
        let Some(link) = links.get(from) else {
            return false;
        };
        let mut view = lock(&link.view);
        if incarnation < view.incarnation {
            return false;
        }
        let newer = incarnation > view.incarnation;
        if newer {
            *view = View {
                incarnation,
                ..View::default()
            };
        }
        view.heard = Some(now);
        newer
    }

    /// Notes what a heartbeat said.
    pub(crate) fn heartbeat(&self, from: &Name, version: u64, draining: bool, cut_off: bool) {
        let links = self.peers.load();
        if let Some(link) = links.get(from) {
            let mut view = lock(&link.view);
            view.version = version;
            view.draining = draining;
            view.cut_off = cut_off;
        }
    }

    /// The newest version that another host told of; 0 when none did.
    pub(crate) fn newest_version(&self) -> u64 {
        let links = self.peers.load();
        let told = links.values().map(|link| lock(&link.view).version);
        told.max().unwrap_or(0)
    }

    /// The addresses of the hosts that told of a version above `version`, in the order in which to ask them: well ones
    /// first, then those near, the rest by chance, so that many hosts that ask do not all ask the same.
    pub(crate) fn ahead_of(&self, version: u64) -> Vec<SocketAddr> {
        let (links, now) = (self.peers.load(), Instant::now());
        let ahead = links
            .values()
            .filter(|link| lock(&link.view).version > version);
        let mut ahead: Vec<&Arc<Link>> = ahead.collect();
        fastrand::shuffle(&mut ahead);
        ahead.sort_by_key(|link| {
            let is_far = link.data_centre != self.me.data_centre;
            (!link.is_well(self.suspect_after(), now), is_far)
        });
        ahead.into_iter().map(|link| link.address).collect()
    }

    /// This host's place, for what only some do for all, among the well hosts that reach the
    /// platform; the order is another for each `subject`. Those that do not reach it come last, in an order
    /// of their own.
    pub(crate) fn place_for(&self, subject: &str) -> usize {
        let links = self.peers.load();
        let is_cut_off = self.cut_off.load(Ordering::Relaxed);
        let reaches = |name: &&Name| match links.get(*name) {
            Some(link) => !lock(&link.view).cut_off,
            None => **name == self.me.name && !is_cut_off,
        };
        let well = self.well.load();
        let reaching: Vec<Name> = well.hosts.iter().filter(reaches).cloned().collect();
        if is_cut_off {
            // Where nobody reaches it, some still are to try for all, and not each host.
            return reaching.len() + self.place_among_known(subject);
        }
        home::place(subject, &reaching, &self.me.name)
    }

    /// The same among all hosts that are known, well or not.
    pub(crate) fn place_among_known(&self, subject: &str) -> usize {
        let known: Vec<Name> = self.peers.load().keys().cloned().collect();
        home::place(subject, &known, &self.me.name)
    }

    /// Queues a message to every other host.
    pub(crate) fn broadcast(&self, message: &Message) {
        for name in self.peers.load().keys() {
            self.send(name, message.clone());
        }
    }

    /// This host's part of the limits that all hosts keep together.
    pub(crate) fn share(&self, now: Instant) -> Share {
        let links = self.peers.load();
        let heard = links
            .values()
            .filter(|link| link.is_heard(self.suspect_after(), now));
        let heard = u32::try_from(heard.count() + 1).unwrap_or(u32::MAX);
        Share {
            heard,
            known: self.known(),
        }
    }

    /// Its part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Peer> {
        let links = self.peers.load();
        let mut peers: Vec<dump::Peer> = links
            .values()
            .map(|link| {
                let view = lock(&link.view).clone();
                let heard = |at| millis(now.saturating_duration_since(at));
                dump::Peer {
                    name: link.name.clone(),
                    state: link.state(self.suspect_after(), now).to_owned(),
                    incarnation: view.incarnation,
                    version: view.version,
                    heard_ms_ago: view.heard.map(heard),
                }
            })
            .collect();
        peers.sort_by(|one, other| one.name.cmp(&other.name));
        peers
    }
}
