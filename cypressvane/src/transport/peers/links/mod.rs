//! The links to the other hosts of the region, and the state of each host.
//!
//! A link is a long-lived HTTP request whose body carries frames in one direction. Answers come over the other host's
//! own link. A host keeps standing links to its neighbours, which are all hosts of a small region; a link to another
//! host is connected while there is something to send. What a host does not observe on its own links it learns from its
//! neighbours, see `members`.

mod candidates;
mod counters;
mod detours;
mod heartbeat;
mod link;
mod members;
mod relay;
mod silence;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};

use crate::coordination::evacuation;
use crate::coordination::home;
use crate::coordination::limit::Share;
use crate::coordination::membership::{Membership, neighbours};
use crate::protocol::dump;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::config::{Host, Peers, Timeouts};
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind};
use crate::state::units::millis;
use crate::transport::runtime::lock;

pub(crate) use counters::Counters;

pub(crate) use candidates::CandidateChanges;
use candidates::Candidates;
pub(crate) use detours::Helper;
use link::{Link, View};
pub(crate) use members::PeerState;
use members::Pulls;
use relay::Relays;

/// Most messages queued for a link. Further ones are dropped, since each is repeated or reconciled.
const QUEUE_MAX: usize = 65_536;

/// Number of neighbours up to which heartbeats have the configured interval. Beyond it the interval grows, so that a
/// host sends no more heartbeats in total.
const NEIGHBOURS_UNSTRETCHED: u32 = 40;

/// All links of this host.
#[derive(Debug)]
pub(crate) struct Links {
    me: Host,
    incarnation: u64,
    /// Configured interval between heartbeats on a link.
    heartbeat: Duration,
    /// Configured silence after which a host may no longer be a home.
    suspect_after: Duration,
    /// Number of hosts up to which all are neighbours.
    mesh_max: usize,
    peers: ArcSwap<HashMap<Name, Arc<Link>>>,
    /// The hosts that may be homes; this one is among them unless it is leaving and others remain.
    candidates: ArcSwap<Candidates>,
    has_read_host_list: AtomicBool,
    /// When the hosts that may be homes were last determined.
    refreshed_at: Mutex<Option<Instant>>,
    /// What is known of the hosts of this region, from their own announcements.
    membership: Mutex<Membership>,
    /// When this host last asked neighbours for all that they know.
    pulls: Mutex<Pulls>,
    /// Relayed messages that this host has handled.
    relays: Mutex<Relays>,
    /// Number of standing links.
    neighbour_count: AtomicU32,
    /// All known hosts, this one included, in the order of their scores for a subject.
    orders: Mutex<HashMap<String, Arc<Vec<Name>>>>,
    version: AtomicU64,
    /// A version, and when it was the newest by the platform's clock, in milliseconds.
    confirmed: ArcSwapOption<(u64, u64)>,
    draining: AtomicBool,
    /// Whether the platform does not answer this host.
    cut_off: AtomicBool,
    /// Whether this host reaches no backend server directly.
    severed: AtomicBool,
    /// Newest changes of the host list that this host knows, as the platform's positions.
    list_known: ArcSwap<Vec<u64>>,
    /// Newest changes of the host list that other hosts know, as neighbours have told this one.
    list_known_elsewhere: Mutex<Vec<u64>>,
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
    pub(crate) fn new(me: Host, timeouts: &Timeouts, peers: &Peers, incarnation: u64) -> Self {
        let candidates = Candidates::of(vec![me.name.clone()]);
        let membership = Membership::new(me.name.clone(), incarnation);
        Self {
            me,
            incarnation,
            heartbeat: Timeouts::duration(timeouts.heartbeat_ms),
            suspect_after: Timeouts::duration(timeouts.suspect_ms),
            mesh_max: peers.mesh_max,
            peers: ArcSwap::default(),
            candidates: ArcSwap::from_pointee(candidates),
            has_read_host_list: AtomicBool::new(false),
            refreshed_at: Mutex::default(),
            membership: Mutex::new(membership),
            pulls: Mutex::default(),
            relays: Mutex::default(),
            neighbour_count: AtomicU32::new(0),
            orders: Mutex::default(),
            version: AtomicU64::new(0),
            confirmed: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            cut_off: AtomicBool::new(false),
            severed: AtomicBool::new(false),
            list_known: ArcSwap::default(),
            list_known_elsewhere: Mutex::default(),
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

    /// Whether the host list has been read and a message from every neighbour has arrived.
    pub(crate) fn has_received_from_all(&self) -> bool {
        let peers = self.peers.load();
        let mut neighbours = peers
            .values()
            .filter(|link| link.picked.load(Ordering::Relaxed));
        self.has_host_list() && neighbours.all(|link| lock(&link.view).last_received.is_some())
    }

    /// Whether all hosts of the region are neighbours.
    fn is_mesh(&self) -> bool {
        self.peers.load().len() < self.mesh_max
    }

    /// Whether the other host of a link is a neighbour.
    fn is_standing(&self, link: &Link, now: Instant) -> bool {
        link.is_standing(self.suspect_after(), now)
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
            let link = old.cloned().unwrap_or_else(|| Self::open(entry));
            *lock(&link.presence) = entry.presence;
            links.insert(entry.name.clone(), link);
        }
        let gone: Vec<Name> = known
            .keys()
            .filter(|name| !links.contains_key(*name))
            .cloned()
            .collect();
        let is_new = |link: &Arc<Link>| {
            let before = known.get(&link.name);
            before.is_none_or(|before| !Arc::ptr_eq(before, link))
        };
        let has_changed = !gone.is_empty() || links.values().any(is_new);
        self.peers.store(Arc::new(links));
        self.has_read_host_list.store(true, Ordering::Relaxed);
        if has_changed {
            lock(&self.orders).clear();
            let mut membership = lock(&self.membership);
            for host in &gone {
                membership.forget(host);
            }
            drop(membership);
            self.pick_neighbours();
        }
        gone
    }

    /// Picks this host's neighbours anew, and serves the links to them.
    fn pick_neighbours(self: &Arc<Self>) {
        let links = self.peers.load();
        let candidates: Vec<_> = links
            .values()
            .map(|link| neighbours::Candidate {
                name: &link.name,
                data_centre: &link.data_centre,
            })
            .collect();
        let me = neighbours::Candidate {
            name: &self.me.name,
            data_centre: &self.me.data_centre,
        };
        let picks: HashSet<&Name> = neighbours::pick(me, &candidates, self.mesh_max)
            .into_iter()
            .collect();
        for link in links.values() {
            let is_picked = picks.contains(&link.name);
            link.picked.store(is_picked, Ordering::Relaxed);
            if is_picked {
                self.make_standing(link, Instant::now());
            }
        }
    }

    /// Serves a link that has become a standing one.
    fn make_standing(self: &Arc<Self>, link: &Arc<Link>, now: Instant) {
        lock(&link.standing_since).get_or_insert(now);
        link.serve(self);
    }

    fn open(entry: &Entry) -> Arc<Link> {
        // A bounded channel would allocate its whole capacity at once, for each link.
        let (queue, messages) = async_channel::unbounded();
        let (reconnects, reconnect_requests) = async_channel::bounded(1);
        Arc::new(Link {
            name: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            queue,
            messages,
            reconnects,
            reconnect_requests,
            picked: AtomicBool::new(false),
            picked_by_at: Mutex::default(),
            standing_since: Mutex::default(),
            is_served: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            doubted: AtomicBool::new(false),
            reports_due: AtomicU8::new(0),
            reconnected_at: Mutex::new(None),
            opened: Instant::now(),
            connected: Mutex::default(),
            presence: Mutex::new(entry.presence),
            view: Mutex::new(View::default()),
            task: Mutex::new(None),
        })
    }

    /// Determines which hosts may be homes; returns the changes, if there are any.
    pub(crate) fn refresh(self: &Arc<Self>, now: Instant) -> Option<CandidateChanges> {
        let links = self.peers.load();
        self.reconnect_silent(&links, now);
        self.update_standing(&links, now);
        if !self.is_mesh() {
            self.suspect_silent(&links, now);
            self.pull_members(&links, now);
        }
        self.spread_news(&links, now);
        let mut candidates: Vec<Name> = self.eligible(&links, now);
        if !self.draining.load(Ordering::Relaxed) || candidates.is_empty() {
            candidates.push(self.me.name.clone());
        }
        candidates.sort();
        let live = i64::try_from(candidates.len()).unwrap_or(i64::MAX);
        self.counters.live_hosts.set(live);
        let before = self.candidates.load_full();
        if before.hosts == candidates {
            return None;
        }
        let changes = before.changes(&candidates, |name| self.ineligibility_of(&links, name, now));
        let candidates = before.succeeded_by(candidates, &changes);
        self.candidates.store(Arc::new(candidates));
        Some(changes)
    }

    /// The home of a subject, such as a shard or an account.
    pub(crate) fn home_of(&self, subject: &str) -> Name {
        let home = self.candidates.load().home_of(subject);
        home.unwrap_or_else(|| self.me.name.clone())
    }

    /// The first `count` hosts for a subject out of those that may be homes, in different data centres where possible.
    pub(crate) fn spread(&self, subject: &str, count: usize) -> Arc<[Name]> {
        let candidates = self.candidates.load();
        candidates.spread(subject, count, |host| self.data_centre_of(host))
    }

    /// The hosts that may be homes.
    pub(crate) fn homes(&self) -> Vec<Name> {
        self.candidates.load().hosts.clone()
    }

    /// Number of hosts that may be homes, which are those that accept callers.
    pub(crate) fn candidate_count(&self) -> u32 {
        u32::try_from(self.candidates.load().hosts.len()).unwrap_or(u32::MAX)
    }

    /// Whether this host hears more than half of the hosts of its region, itself included.
    pub(crate) fn hears_most(&self) -> bool {
        2 * self.candidate_count() > self.known_hosts()
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
        let neighbours = self.neighbour_count.load(Ordering::Relaxed) + 1;
        (f64::from(neighbours) / f64::from(NEIGHBOURS_UNSTRETCHED)).max(1.0)
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
    pub(crate) fn send(self: &Arc<Self>, to: &Name, message: Message) {
        let links = self.peers.load();
        let Some(link) = links.get(to) else { return };
        if link.queue.len() < QUEUE_MAX {
            // The channel is closed only once the link is gone; the message is lost then.
            let _ = link.queue.try_send(message);
            link.serve(self);
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

    /// Number of hosts in the host list, this one included.
    pub(crate) fn known_count(&self) -> usize {
        self.peers.load().len() + 1
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
            (self.ineligibility(link, now).is_some(), is_far)
        });
        ahead.into_iter().map(|link| link.address).collect()
    }

    /// This host's position in the order for a task that a few hosts do for all, or `limit` if it is at or beyond that;
    /// 0 is the first.
    ///
    /// The hosts that may be homes and reach the platform come first, in an order that depends on `subject`. Hosts that
    /// do not reach the platform come after them, in an order of their own.
    pub(crate) fn position_for(&self, subject: &str, limit: usize) -> usize {
        let candidates = self.candidates.load();
        let membership = lock(&self.membership);
        let is_cut_off = self.cut_off.load(Ordering::Relaxed);
        let is_reaching = |name: &Name| {
            let is_reached = if *name == self.me.name {
                !is_cut_off
            } else {
                !membership.is_cut_off(name)
            };
            is_reached && candidates.contains(name)
        };
        let order = self.order_for(subject);
        if is_cut_off {
            // If no host reaches the platform, a few still try for all, rather than every host.
            let reaching = order.iter().filter(|name| is_reaching(name));
            let before = reaching.take(limit).count();
            return (before + self.position_among_known(subject, limit)).min(limit);
        }
        let before = order.iter().take_while(|name| **name != self.me.name);
        let before = before.filter(|name| is_reaching(name));
        before.take(limit).count()
    }

    /// This host's position in the order for `subject` among all known hosts, whether they may be homes or not, or
    /// `limit` if it is at or beyond that.
    pub(crate) fn position_among_known(&self, subject: &str, limit: usize) -> usize {
        let order = self.order_for(subject);
        let before = order.iter().take_while(|name| **name != self.me.name);
        before.take(limit).count()
    }

    /// All known hosts, this one included, in the order for a subject.
    fn order_for(&self, subject: &str) -> Arc<Vec<Name>> {
        let mut orders = lock(&self.orders);
        if let Some(order) = orders.get(subject) {
            return Arc::clone(order);
        }
        let others = self.peers.load();
        let mut order: Vec<Name> = others.keys().cloned().collect();
        order.push(self.me.name.clone());
        home::sort(subject, &mut order);
        let order = Arc::new(order);
        orders.insert(subject.to_owned(), Arc::clone(&order));
        order
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
        let represented = if self.is_mesh() {
            let heard = links
                .values()
                .filter(|link| link.has_received_within(self.suspect_after(), now));
            u32::try_from(heard.count() + 1).unwrap_or(u32::MAX)
        } else {
            // Hosts that are leaving are few, and not worth a look at every host for each charge.
            self.candidate_count()
        };
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
                    state: self.state(link, now).to_owned(),
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
