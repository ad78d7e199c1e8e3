//! Follows the platform's host list.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};

use crate::coordination::pool::{Spec, Warmup};
use crate::coordination::retention::Retention;
use crate::coordination::rollout::version::Access;
use crate::protocol::message::{Breadth, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Entry, FollowMode, Kind, Listing, Presence};
use crate::transport::active::Active;
use crate::transport::node::Node;
use crate::transport::runtime::timeout;

/// Longest time that one read of the list waits for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest backoff after a failed read of the host list.
const READ_BACKOFF: Duration = Duration::from_millis(100);
/// Number of hosts that announce changes to the others, so that two may fail at once. With eight of them, these
/// messages were a quarter of the traffic between hosts of different data centres.
const ANNOUNCERS: usize = 3;
/// Time after its start in which a host expects its links to connect: 294 of them took 4 s on hosts with 0.12 of a core
/// that all started together.
const STARTUP: Duration = Duration::from_secs(8);
/// The subject by which hosts are ordered for tasks on the list that a few do for all.
pub(super) const LIST_SUBJECT: &str = "hosts";
/// Most backend servers of one change of the list that are logged each on a line: thousands of them start together.
const SERVERS_LOGGED_MAX: usize = 8;
/// Slots of a server that names none, if its service is not configured yet.
const SLOTS_DEFAULT: u32 = 1;

/// Follows the host list for as long as the host runs; `wakeups` wake the task early. It makes no other calls, since
/// changes are not applied while a call waits for its answer. `has_read` notifies the task that makes them.
pub(crate) async fn run(node: Arc<Node>, wakeups: Receiver<()>, has_read: Sender<()>) {
    let mut listed: Vec<Entry> = Vec::new();
    let mut last: Vec<Entry> = Vec::new();
    let mut last_tag = None;
    let mut last_version = 0;
    let mut retention = Retention::default();
    let mut is_unavailable = false;
    loop {
        let mut pause = node.host_list.read_interval();
        let region = node.config.host.region.clone();
        let read_timeout = retention.next_expiry().map_or(READ_TIMEOUT, |end| {
            READ_TIMEOUT.min(end.saturating_duration_since(Instant::now()))
        });
        let listing = timeout(
            read_timeout,
            node.host_list.list(Some(&region), last_tag.as_deref()),
        )
        .await;
        match listing {
            Some(Ok(Listing::Entries {
                tag,
                entries,
                is_from_peer,
                faults,
                hosts_elsewhere,
                versions_elsewhere,
            })) => {
                // Whichever host has read a change got an answer.
                node.note_platform_answer(Instant::now());
                node.links.set_hosts_elsewhere(hosts_elsewhere);
                node.streams
                    .update_elsewhere(versions_elsewhere, Instant::now());
                log_changes(&node, &listed, &entries, tag.as_deref(), is_from_peer);
                last_tag = tag;
                listed = entries;
                for fault in faults {
                    slog::warn!(node.log, "an entry of the host list cannot be read"; "cause" => fault);
                }
            }
            None | Some(Ok(Listing::Same)) => {}
            // The last list remains in use: a failed read removes no entries.
            Some(Err(error)) => {
                node.note_platform_failure("hosts");
                if !is_unavailable {
                    slog::warn!(node.log, "the host list gave no answer"; "cause" => %error);
                }
                is_unavailable = true;
                pause = pause.max(READ_BACKOFF);
                let _ = timeout(pause, wakeups.recv()).await;
                continue;
            }
        }
        log_recovery(&node, &mut is_unavailable, last_tag.is_some());
        node.note_restores(node.host_list.restore_count());
        let retained = retention.count();
        let entries = retention.merge(listed.clone(), node.platform_recovered_at(), Instant::now());
        if retained != retention.count() {
            slog::info!(
                node.log, "entries of servers that vanished from the host list are kept";
                "count" => retention.count(), "before" => retained,
            );
        }
        let is_read = last_tag.is_some() || !entries.is_empty();
        let changed = is_read && (entries != last || !node.links.has_host_list());
        last = entries;
        // A new configuration may change the slots of a service.
        let version = node.version();
        if changed || (version != last_version && node.links.has_host_list()) {
            apply(&node, &last);
            last_version = version;
        }
        // A full channel already holds a notification.
        let _ = has_read.try_send(());
        // It makes no difference whether an installed configuration or the timeout ends the wait.
        let _ = timeout(pause, wakeups.recv()).await;
    }
}

/// Logs which backend servers have changed in the list, and whether another host reported it.
fn log_changes(
    node: &Node,
    before: &[Entry],
    after: &[Entry],
    tag: Option<&str>,
    is_from_peer: bool,
) {
    // The first read is not a change.
    if before.is_empty() {
        return;
    }
    let states = |entries: &[Entry]| -> HashMap<Name, &'static str> {
        let servers = entries.iter().filter(|entry| entry.kind == Kind::Backend);
        servers
            .map(|entry| (entry.name.clone(), entry.presence.text()))
            .collect()
    };
    let (before, after) = (states(before), states(after));
    let names: BTreeSet<&Name> = before.keys().chain(after.keys()).collect();
    let state = |states: &HashMap<Name, &'static str>, name: &Name| states.get(name).copied();
    let changed = names
        .into_iter()
        .filter(|name| state(&before, name) != state(&after, name));
    let changed: Vec<&Name> = changed.collect();
    for name in changed.iter().take(SERVERS_LOGGED_MAX) {
        slog::info!(
            node.log, "a backend server stands otherwise in the host list";
            "server" => &***name, "before" => state(&before, name).unwrap_or("absent"),
            "after" => state(&after, name).unwrap_or("absent"), "revision" => tag, "told" => is_from_peer,
        );
    }
    if changed.len() > SERVERS_LOGGED_MAX {
        slog::info!(
            node.log, "further backend servers stand otherwise in the host list";
            "count" => changed.len() - SERVERS_LOGGED_MAX, "revision" => tag, "told" => is_from_peer,
        );
    }
}

/// Logs that the list answers again after a failure, and clears `is_unavailable`.
fn log_recovery(node: &Node, is_unavailable: &mut bool, has_answered: bool) {
    if *is_unavailable && has_answered {
        slog::info!(node.log, "the host list answers again");
        *is_unavailable = false;
    }
}

/// How closely this host follows the list itself. Hosts that do not follow it closely learn of changes from those that
/// do.
///
/// Before its links are connected, a starting host counts only few hosts and considers itself a follower. For some
/// seconds it also finds its position among all hosts in the list, and batches changes if it would not be a follower
/// there.
pub(crate) fn follow_mode(node: &Node) -> FollowMode {
    let followers = node.config.platform.list_followers;
    if node.host_list.waits_for_peers() {
        // Hosts that start together register all at once, and each would make a call for each registration.
        return FollowMode::Batched;
    }
    if followers == 0 || !node.links.has_host_list() {
        return FollowMode::Immediate;
    }
    if node.links.position_for(LIST_SUBJECT, followers) >= followers {
        return FollowMode::Passive;
    }
    // In a large region most of a starting host's neighbours are connected long before most hosts are known.
    if node.links.relays() && node.links.position_among_known(LIST_SUBJECT, followers) >= followers
    {
        return FollowMode::Passive;
    }
    let is_starting = node.started.elapsed() < STARTUP;
    if is_starting && node.links.position_among_known(LIST_SUBJECT, followers) >= followers {
        return FollowMode::Batched;
    }
    FollowMode::Immediate
}

/// Whether this host announces changes of the list to the others: a few of its followers do, for those that do not
/// follow it.
fn is_announcer(node: &Node) -> bool {
    let followers = node.config.platform.list_followers;
    let (eligible, known) = (node.links.candidate_count(), node.links.known_hosts());
    let all_follow = followers == 0 || known as usize <= followers;
    // Before its links are connected, a starting host counts only few hosts.
    let knows_most = 2 * eligible > known;
    let announcers = followers.min(ANNOUNCERS);
    !all_follow && knows_most && node.links.position_for(LIST_SUBJECT, announcers) < announcers
}

/// Announces the changes of the list that this host sees, for as long as it runs.
pub(crate) async fn announce_changes(node: Arc<Node>) {
    loop {
        let changes = node.host_list.next_outgoing_changes().await;
        if !is_announcer(&node) {
            continue;
        }
        let message = Message::Listed { news: changes };
        // A host that lacks a change hears how far others know the list.
        node.links.broadcast(&message, Breadth::Few);
    }
}

/// Updates the pools when requests go to another version of a service, to other servers of a version on trial, or to
/// other data centres.
pub(crate) fn follow_orders(node: &Node) {
    if !node.links.has_host_list() {
        return;
    }
    let now = Instant::now();
    let has_other_versions = node.rollouts.take_changed(now);
    if node.evacuations.take_changed() || has_other_versions {
        let entries = node.listed.load_full();
        node.scheduler.set_specs(specs(node, &entries, now), now);
        node.scheduler.move_waiting(
            |service, versions| node.rollouts.successor(service, versions),
            now,
        );
    }
}

/// Whether an entry is a backend server of this region.
fn is_local_server(node: &Node, entry: &Entry) -> bool {
    entry.kind == Kind::Backend && entry.region == node.config.host.region
}

fn apply(node: &Node, entries: &[Entry]) {
    let is_first = node.listed.load().is_empty();
    node.listed.store(Arc::new(entries.to_vec()));
    let now = Instant::now();
    for gone in node.links.follow(entries) {
        node.scheduler.forget(&gone, u64::MAX, now);
    }
    let servers = entries.iter().filter(|entry| is_local_server(node, entry));
    node.rollouts.update_listed(servers.clone(), is_first, now);
    node.streams.update_listed(servers, now);
    node.scheduler.set_specs(specs(node, entries, now), now);
    node.quarantine.note_listed();
    node.check_initialized();
}

/// The warm-up limits of a backend server; `None` if its service has none.
fn warmup(node: &Node, active: Option<&Active>, entry: &Entry) -> Option<Warmup> {
    let service = active?.index.service(entry.service.as_ref()?)?;
    let per_second = service.cold_requests_per_second?;
    Some(Warmup {
        per_second,
        most: node.config.cold_starts.most(per_second),
        left: Duration::from_millis(entry.cold_ms.unwrap_or(0)),
    })
}

/// The backend servers of this region by pool; the servers of a service are one pool. A server counts as leaving if its
/// version or its data centre is to get no requests.
fn specs(node: &Node, entries: &[Entry], now: Instant) -> HashMap<Name, Vec<Spec>> {
    let active = node.active();
    let slots = |service: &Name| {
        let service = active
            .as_ref()
            .and_then(|active| active.index.service(service));
        service.map_or(SLOTS_DEFAULT, |service| service.slots)
    };
    let evacuated = node.evacuated();
    let servers = entries.iter().filter(|entry| is_local_server(node, entry));
    let mut by_service: BTreeMap<&Name, Vec<&Entry>> = BTreeMap::new();
    for entry in servers {
        if let Some(service) = &entry.service {
            by_service.entry(service).or_default().push(entry);
        }
    }
    let mut specs: HashMap<Name, Vec<Spec>> = HashMap::new();
    for (service, servers) in by_service {
        let allowed = node.rollouts.allowed(service, &servers, now);
        for entry in servers {
            let access = allowed.access(entry);
            specs.entry(service.clone()).or_default().push(Spec {
                name: entry.name.clone(),
                address: entry.address,
                data_centre: Some(entry.data_centre.clone()),
                slots: entry.slots.unwrap_or_else(|| slots(service)),
                version: entry.version.clone(),
                tried: access == Access::Tried,
                settling: access == Access::Settling,
                leaving: entry.presence == Presence::Leaving
                    || access == Access::Closed
                    || evacuated.contains(&entry.data_centre),
                started_ms: entry.started_ms,
                warmup: warmup(node, active.as_deref(), entry),
            });
        }
    }
    specs
}
