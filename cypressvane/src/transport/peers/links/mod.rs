//! The links to the other hosts of the region, and the state of each host.
//!
//! Each host keeps one link to every other host: a long-lived HTTP request whose body carries frames in one direction.
//! Answers come over the other host's own link.

mod candidates;
mod counters;
mod heartbeat;
mod link;
mod silence;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};

use crate::coordination::evacuation;
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

pub(crate) use candidates::CandidateChanges;
use candidates::Candidates;
use link::{Inbox, Link, View, run};

/// Most messages queued for a link. Further ones are dropped, since each is repeated or reconciled.
const QUEUE_MAX: usize = 65_536;

/// Number of hosts up to which heartbeats have the configured interval. Beyond it the interval grows, so that a host
/// sends no more heartbeats in total: with 87 hosts and five heartbeats a second on each link, their bytes cost 6% of
/// what a day was worth.
const HOSTS_UNSTRETCHED: u32 = 40;

/// All links of this host.
#[derive(Debug)]
pub(crate) struct Links {
    me: Host,
    incarnation: u64,
    /// Configured interval between heartbeats on a link.
    heartbeat: Duration,
    /// Configured silence after which a host may no longer be a home.
    suspect_after: Duration,
    peers: ArcSwap<HashMap<Name, Arc<Link>>>,
    /// The hosts that may be homes; this one is among them unless it is leaving and others remain.
    candidates: ArcSwap<Candidates>,
    has_read_host_list: AtomicBool,
    /// When the hosts that may be homes were last determined.
    refreshed_at: Mutex<Option<Instant>>,
    version: AtomicU64,
    /// A version, and when it was the newest by the platform's clock, in milliseconds.
    confirmed: ArcSwapOption<(u64, u64)>,
    draining: AtomicBool,
    /// Whether the platform does not answer this host.
    cut_off: AtomicBool,
    /// How far this host itself has read the host list, as the platform's positions.
    list_read: ArcSwap<Vec<u64>>,
    /// Digest of the rulings on requests under which servers end.
    rulings: AtomicU64,
    /// The evacuated data centres; `None` if there never were any.
    evacuation: ArcSwapOption<evacuation::Report>,
    /// Number of hosts of other regions.
    hosts_elsewhere: AtomicU32,
    counters: Counters,
}

impl Links {
    /// Starts without links: this host is the home of every pool until it knows others.
    pub(crate) fn new(me: Host, timeouts: &Timeouts, incarnation: u64) -> Self {
        let candidates = Candidates::of(vec![me.name.clone()]);
        Self {
            me,
            incarnation,
            heartbeat: Timeouts::duration(timeouts.heartbeat_ms),
            suspect_after: Timeouts::duration(timeouts.suspect_ms),
            peers: ArcSwap::default(),
            candidates: ArcSwap::from_pointee(candidates),
            has_read_host_list: AtomicBool::new(false),
            refreshed_at: Mutex::default(),
            version: AtomicU64::new(0),
            confirmed: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            cut_off: AtomicBool::new(false),
            list_read: ArcSwap::default(),
            rulings: AtomicU64::new(0),
            evacuation: ArcSwapOption::empty(),
            hosts_elsewhere: AtomicU32::new(0),
            counters: Counters::new(),
        }
    }

    /// Counters of the traffic to the other hosts.
    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether the host list has been read.
    pub(crate) fn has_host_list(&self) -> bool {
        self.has_read_host_list.load(Ordering::Relaxed)
    }

    /// Whether there are other hosts, or may be because the host list has not been read.
    pub(crate) fn expects_peers(&self) -> bool {
        !self.has_host_list() || !self.peers.load().is_empty()
    }

    /// Whether the host list has been read and a message from every other host has arrived.
    pub(crate) fn has_received_from_all(&self) -> bool {
        let peers = self.peers.load();
        self.has_host_list()
            && peers
                .values()
                .all(|link| lock(&link.view).last_received.is_some())
    }

    /// Follows the host list: opens links to new hosts, and closes those to hosts that have left it.
    ///
    /// Returns the names of the hosts that have left.
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
        self.has_read_host_list.store(true, Ordering::Relaxed);
        gone
    }

    fn open(self: &Arc<Self>, entry: &Entry) -> Arc<Link> {
        // A bounded channel would allocate its whole capacity at once, for each link.
        let (queue, messages) = async_channel::unbounded();
        let (reconnects, reconnect_requests) = async_channel::bounded(1);
        let link = Arc::new(Link {
            name: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            queue,
            reconnects,
            doubted: AtomicBool::new(false),
            reports_due: AtomicU8::new(0),
            reconnected_at: Mutex::new(None),
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
                reconnects: reconnect_requests,
            },
        );
        *lock(&link.task) = Some(spawn(running));
        link
    }

    /// Determines which hosts may be homes; returns the changes, if there are any.
    pub(crate) fn refresh(&self, now: Instant) -> Option<CandidateChanges> {
        let links = self.peers.load();
        self.reconnect_silent(&links, now);
        let others = links
            .values()
            .filter(|link| link.is_eligible(self.suspect_after(), now));
        let mut candidates: Vec<Name> = others.map(|link| link.name.clone()).collect();
        if !self.draining.load(Ordering::Relaxed) || candidates.is_empty() {
            candidates.push(self.me.name.clone());
        }
        candidates.sort();
        let before = self.candidates.load_full();
        if before.hosts == candidates {
            return None;
        }
        let changes = before.changes(&candidates, |name| self.ineligibility(&links, name, now));
        self.candidates.store(Arc::new(Candidates::of(candidates)));
        Some(changes)
    }

    /// The home of a subject, such as a shard or an account.
    pub(crate) fn home_of(&self, subject: &str) -> Name {
        let home = self.candidates.load().home_of(subject);
        home.unwrap_or_else(|| self.me.name.clone())
    }

    /// The hosts that may be homes.
    pub(crate) fn homes(&self) -> Vec<Name> {
        self.candidates.load().hosts.clone()
    }

    /// Number of hosts that may be homes, which are those that accept callers.
    pub(crate) fn candidate_count(&self) -> u32 {
        u32::try_from(self.candidates.load().hosts.len()).unwrap_or(u32::MAX)
    }

    /// Number of hosts of all regions that accept callers, as far as this host knows.
    pub(crate) fn candidate_count_of_fleet(&self) -> u32 {
        self.candidate_count()
            .saturating_add(self.hosts_elsewhere())
    }

    /// Interval between heartbeats on a link. It grows with the number of hosts, so that a host sends no more in total.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        self.heartbeat.mul_f64(self.stretch())
    }

    /// Silence after which a host may no longer be a home. It grows with the heartbeat interval.
    fn suspect_after(&self) -> Duration {
        self.suspect_after.mul_f64(self.stretch())
    }

    /// Factor by which the heartbeat interval and the suspicion timeout exceed their settings, at least 1.
    pub(crate) fn stretch(&self) -> f64 {
        (f64::from(self.known_hosts()) / f64::from(HOSTS_UNSTRETCHED)).max(1.0)
    }

    /// The data centre of a host, if known.
    pub(crate) fn data_centre_of(&self, host: &Name) -> Option<Name> {
        if *host == self.me.name {
            return Some(self.me.data_centre.clone());
        }
        let links = self.peers.load();
        links.get(host).map(|link| link.data_centre.clone())
    }

    /// Number of known hosts, this one included, whether they may be homes or not.
    pub(crate) fn known_hosts(&self) -> u32 {
        u32::try_from(self.peers.load().len() + 1).unwrap_or(u32::MAX)
    }

    /// Queues a message for a host; one that cannot be queued is lost, as on a broken link.
    pub(crate) fn send(&self, to: &Name, message: Message) {
        let links = self.peers.load();
        let Some(link) = links.get(to) else { return };
        if link.queue.len() < QUEUE_MAX {
            // The channel is closed only once the link is gone; the message is lost then.
            let _ = link.queue.try_send(message);
        }
    }

    /// Notes that a frame from a host has arrived; returns whether its incarnation is newer than the known one.
    pub(crate) fn note_received(&self, from: &Name, incarnation: u64, now: Instant) -> bool {
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
        view.last_received = Some(now);
        newer
    }

    /// Records the state of a host from its heartbeat.
    pub(crate) fn note_heartbeat(&self, from: &Name, version: u64, draining: bool, cut_off: bool) {
        let links = self.peers.load();
        if let Some(link) = links.get(from) {
            let mut view = lock(&link.view);
            view.version = version;
            view.draining = draining;
            view.cut_off = cut_off;
        }
    }

    /// The newest configuration version that another host has announced; 0 if there is none.
    pub(crate) fn newest_version(&self) -> u64 {
        let links = self.peers.load();
        let announced = links.values().map(|link| lock(&link.view).version);
        announced.max().unwrap_or(0)
    }

    /// The addresses of the hosts that have announced a version above `version`, in the order in which to ask them.
    ///
    /// Hosts that may be homes come first, and within both groups those of this data centre. The order is random beyond
    /// that, so that many hosts that ask do not all ask the same one.
    pub(crate) fn ahead_of(&self, version: u64) -> Vec<SocketAddr> {
        let (links, now) = (self.peers.load(), Instant::now());
        let ahead = links
            .values()
            .filter(|link| lock(&link.view).version > version);
        let mut ahead: Vec<&Arc<Link>> = ahead.collect();
        fastrand::shuffle(&mut ahead);
        ahead.sort_by_key(|link| {
            let is_far = link.data_centre != self.me.data_centre;
            (!link.is_eligible(self.suspect_after(), now), is_far)
        });
        ahead.into_iter().map(|link| link.address).collect()
    }

    /// This host's position in the order for a task that a few hosts do for all; 0 is the first.
    ///
    /// The hosts that may be homes and reach the platform come first, in an order that depends on `subject`. Hosts that
    /// do not reach the platform come after them, in an order of their own.
    pub(crate) fn position_for(&self, subject: &str) -> usize {
        let links = self.peers.load();
        let is_cut_off = self.cut_off.load(Ordering::Relaxed);
        let reaches = |name: &&Name| match links.get(*name) {
            Some(link) => !lock(&link.view).cut_off,
            None => **name == self.me.name && !is_cut_off,
        };
        let candidates = self.candidates.load();
        let reaching: Vec<Name> = candidates.hosts.iter().filter(reaches).cloned().collect();
        if is_cut_off {
            // If no host reaches the platform, a few still try for all, rather than every host.
            return reaching.len() + self.position_among_known(subject);
        }
        home::position(subject, &reaching, &self.me.name)
    }

    /// This host's position in the order for `subject` among all known hosts, whether they may be homes or not.
    pub(crate) fn position_among_known(&self, subject: &str) -> usize {
        let known: Vec<Name> = self.peers.load().keys().cloned().collect();
        home::position(subject, &known, &self.me.name)
    }

    /// Queues a message for every other host.
    pub(crate) fn broadcast(&self, message: &Message) {
        for name in self.peers.load().keys() {
            self.send(name, message.clone());
        }
    }

    /// Sets the number of hosts of other regions, with which this region shares the fleet-wide limits.
    pub(crate) fn set_hosts_elsewhere(&self, count: u32) {
        self.hosts_elsewhere.store(count, Ordering::Relaxed);
    }

    /// Number of hosts of other regions.
    pub(crate) fn hosts_elsewhere(&self) -> u32 {
        self.hosts_elsewhere.load(Ordering::Relaxed)
    }

    /// Number of known hosts of all regions, this one included.
    pub(crate) fn known_hosts_of_fleet(&self) -> u32 {
        self.known_hosts().saturating_add(self.hosts_elsewhere())
    }

    /// This host's share of the limits that the hosts of all regions enforce together.
    pub(crate) fn fleet_share(&self, now: Instant) -> Share {
        Share {
            total: self.known_hosts_of_fleet(),
            ..self.share(now)
        }
    }

    /// This host's share of the limits that the hosts of its region enforce together.
    pub(crate) fn share(&self, now: Instant) -> Share {
        let links = self.peers.load();
        let recently_received = links
            .values()
            .filter(|link| link.has_received_within(self.suspect_after(), now));
        let represented = u32::try_from(recently_received.count() + 1).unwrap_or(u32::MAX);
        Share {
            represented,
            total: self.known_hosts(),
        }
    }

    /// The other hosts in the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Peer> {
        let links = self.peers.load();
        let mut peers: Vec<dump::Peer> = links
            .values()
            .map(|link| {
                let view = lock(&link.view).clone();
                let ago_ms = |at| millis(now.saturating_duration_since(at));
                dump::Peer {
                    name: link.name.clone(),
                    state: link.state(self.suspect_after(), now).to_owned(),
                    incarnation: view.incarnation,
                    version: view.version,
                    heard_ms_ago: view.last_received.map(ago_ms),
                }
            })
            .collect();
        peers.sort_by(|one, other| one.name.cmp(&other.name));
        peers
    }
}
