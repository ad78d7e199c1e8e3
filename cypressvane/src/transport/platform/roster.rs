//! Follows the platform's host list.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;

use crate::coordination::lapse::Lapse;
use crate::coordination::pool::Spec;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{self, Attention, Entry, Kind, Listing, Presence};
use crate::state::units::millis;
use crate::transport::node::Node;
use crate::transport::rollout::pool_of;
use crate::transport::runtime::within;

/// Longest time that one look at the list waits for a change, so that entries are looked after.
const LOOK: Duration = Duration::from_secs(5);
/// Rest after a read of the host list that failed.
const READ_AGAIN: Duration = Duration::from_millis(100);
/// Time after which a host that entered itself, and does not stand in the list, does so again: longer than
/// the list takes to show it on a site that starts.
const ENTER_AGAIN: Duration = Duration::from_secs(4);
/// Silence after which a host is struck out of the list: longer than it is frozen or restarts.
const STRIKE_AFTER: Duration = Duration::from_secs(15);
/// Hosts that tell the others, so that two may fail at once: with eight of them a quarter of what hosts
/// sent each other between data centres was this.
const TELLERS: usize = 3;
/// How long the sender of a change tells that the platform was away: longer than lapsed entries are
/// kept after its return.
const BACK_TOLD_FOR: Duration = Duration::from_secs(10);
/// Time after its start in which a host expects its links to come up: 294 of them took 4 s on hosts of 0.12
/// of a core that all started together.
const START: Duration = Duration::from_secs(8);
/// What stands for the list itself where one host is to look after it.
const LIST: &str = "hosts";
/// Slots of a server whose service is not configured yet.
const SLOTS_UNKNOWN: u32 = 1;

/// Reads the host list for as long as the host runs; `installs` wake it early.
pub(crate) async fn run(node: Arc<Node>, installs: Receiver<()>) {
    let mut listed: Vec<Entry> = Vec::new();
    let mut last: Vec<Entry> = Vec::new();
    let mut last_tag = None;
    let mut last_version = 0;
    let mut lapse = Lapse::default();
    let mut away = false;
    let mut entered = None;
    let mut last_returns = None;
    loop {
        let mut rest = node.roster.rest();
        let region = node.config.host.region.clone();
        let look = lapse.ends().map_or(LOOK, |end| {
            LOOK.min(end.saturating_duration_since(Instant::now()))
        });
        let listing = within(look, node.roster.list(Some(&region), last_tag.as_deref())).await;
        match listing {
            Some(Ok(Listing::Entries {
                tag,
                entries,
                told,
                faults,
            })) => {
                note_changes(&node, &listed, &entries, tag.as_deref(), told);
                last_tag = tag;
                listed = entries;
                for fault in faults {
                    slog::warn!(node.log, "an entry of the host list cannot be read"; "cause" => fault);
                }
            }
            None | Some(Ok(Listing::Same)) => {}
            // What was read last stays: a list that cannot be read takes nobody out.
            Some(Err(error)) => {
                node.note_platform_failure("hosts");
                if !away {
                    slog::warn!(node.log, "the host list gave no answer"; "cause" => %error);
                }
                away = true;
                rest = rest.max(READ_AGAIN);
                let _ = within(rest, installs.recv()).await;
                continue;
            }
        }
        if listing_is_back(&node, &mut away, last_tag.is_some()) {
            node.note_platform_back(Instant::now());
        }
        let returns = Some(node.roster.returns());
        if returns != last_returns {
            // The platform may have lost the entry of this host.
            entered = None;
            last_returns = returns;
            node.note_returns(node.roster.returns());
        }
        let entries = lapse.merge(listed.clone(), node.platform_back(), Instant::now());
        let is_read = last_tag.is_some() || !entries.is_empty();
        let changed = is_read && (entries != last || !node.links.has_roster());
        last = entries;
        // A new configuration may give a service other slots.
        let version = node.version();
        if changed || (version != last_version && node.links.has_roster()) {
            follow(&node, &last);
            last_version = version;
        }
        if node.roster.takes_entries() && is_read {
            keep_entries(&node, &last, &mut entered).await;
        }
        // Whether an installed configuration or the time ends the wait makes no difference.
        let _ = within(rest, installs.recv()).await;
    }
}

/// Writes down which backend servers stand otherwise in the list, and who told so.
fn note_changes(node: &Node, before: &[Entry], after: &[Entry], tag: Option<&str>, told: bool) {
    // The first read is no change.
    if before.is_empty() {
        return;
    }
    let words = |entries: &[Entry]| -> HashMap<Name, &'static str> {
        let servers = entries.iter().filter(|entry| entry.kind == Kind::Backend);
        servers
            .map(|entry| (entry.name.clone(), entry.presence.word()))
            .collect()
    };
    let (before, after) = (words(before), words(after));
    let names: BTreeSet<&Name> = before.keys().chain(after.keys()).collect();
    for name in names {
        let word = |words: &HashMap<Name, &'static str>| words.get(name).copied();
        let (before, after) = (word(&before), word(&after));
        if before != after {
            slog::info!(
                node.log, "a backend server stands otherwise in the host list";
                "server" => &**name, "before" => before.unwrap_or("absent"),
                "after" => after.unwrap_or("absent"), "revision" => tag, "told" => told,
            );
        }
    }
}

/// Whether the list answers again after it gave no answer.
fn listing_is_back(node: &Node, away: &mut bool, answered: bool) -> bool {
    let is_back = *away && answered;
    if is_back {
        slog::info!(node.log, "the host list answers again");
        *away = false;
    }
    is_back
}

/// Enters this host where it does not stand in the list, and strikes out hosts that are gone.
///
/// `entered` is when it entered itself last: the list shows that with a lag, and changes meanwhile.
async fn keep_entries(node: &Node, entries: &[Entry], entered: &mut Option<Instant>) {
    let is_new = entered.is_none_or(|at| at.elapsed() >= ENTER_AGAIN);
    if let Some(mine) = node.entry()
        && !node.draining()
        && !entries.contains(&mine)
        && is_new
    {
        let result = node.roster.enter(&mine).await;
        *entered = result.is_ok().then(Instant::now);
        note(node, "entering this host", result);
    }
    let looks_after = node.links.home_of(LIST) == node.config.host.name;
    if !looks_after || node.started.elapsed() < STRIKE_AFTER {
        return;
    }
    for host in node.links.silent_for(STRIKE_AFTER, Instant::now()) {
        slog::info!(node.log, "a silent host is struck out of the list"; "host" => &*host);
        note(node, "striking a host out", node.roster.strike(&host).await);
    }
}

/// How closely this host follows the list itself; those that do not hear of changes from those that do.
///
/// A host that starts takes itself for one of few before its links are up. For some seconds it goes by the
/// hosts that the list names, and is patient if it would not be one of those that follow it for all.
pub(crate) fn attention(node: &Node) -> Attention {
    let followers = node.config.platform.list_followers;
    if followers == 0 || !node.links.has_roster() {
        return Attention::Close;
    }
    if node.links.place_for(LIST) >= followers {
        return Attention::Seldom;
    }
    let starts = node.started.elapsed() < START;
    if starts && node.links.place_among_known(LIST) >= followers {
        return Attention::Patient;
    }
    Attention::Close
}

/// Whether this host tells the others what it sees of the list: a few of those that follow it do, for
/// those that do not.
fn tells_others(node: &Node) -> bool {
    let followers = node.config.platform.list_followers;
    let (well, known) = (node.links.hosts(), node.links.known());
    let all_follow = followers == 0 || known as usize <= followers;
    // A host that starts takes itself for one of few before its links are up.
    let knows_most = 2 * well > known;
    !all_follow && knows_most && node.links.place_for(LIST) < followers.min(TELLERS)
}

/// Passes on what this host sees of the list, for as long as it runs.
pub(crate) async fn pass_on(node: Arc<Node>) {
    loop {
        let news = node.roster.news().await;
        if !tells_others(&node) {
            continue;
        }
        let back = node.platform_back().map(|back| back.elapsed());
        let back = back.filter(|ago| *ago < BACK_TOLD_FOR);
        node.links.broadcast(&Message::Listed {
            news,
            back_ms: back.map(millis),
        });
    }
}

fn note(node: &Node, what: &str, result: Result<(), platform::Error>) {
    if let Err(error) = result {
        node.note_platform_failure("hosts");
        slog::warn!(node.log, "the host list took no change"; "what" => what, "cause" => %error);
    }
}

/// Tells the pools when another version of a service gets requests, or other servers of one that is tried.
pub(crate) fn follow_rollouts(node: &Node) {
    if node.rollouts.take_moved() && node.links.has_roster() {
        let entries = node.listed.load_full();
        let now = Instant::now();
        node.desk.set_specs(specs(node, &entries), now);
        node.desk
            .move_waiting(|service, pool| node.rollouts.successor(service, pool), now);
    }
}

/// Whether an entry is a backend server of this region.
fn is_server_here(node: &Node, entry: &Entry) -> bool {
    entry.kind == Kind::Backend && entry.region == node.config.host.region
}

fn follow(node: &Node, entries: &[Entry]) {
    node.listed.store(Arc::new(entries.to_vec()));
    let now = Instant::now();
    for gone in node.links.follow(entries) {
        node.desk.forget(&gone, u64::MAX, now);
    }
    let servers = entries.iter().filter(|entry| is_server_here(node, entry));
    node.rollouts.note_listed(servers);
    node.desk.set_specs(specs(node, entries), now);
    node.quarantine.note_listed();
    node.note_begun();
}

/// The backend servers of this region by pool: those of each version of a service. A server that is to get no requests,
/// by its version, counts as leaving.
fn specs(node: &Node, entries: &[Entry]) -> HashMap<Name, Vec<Spec>> {
    let active = node.active();
    let slots = |service: &Name| {
        let service = active
            .as_ref()
            .and_then(|active| active.index.service(service));
        service.map_or(SLOTS_UNKNOWN, |service| service.slots)
    };
    let servers = entries.iter().filter(|entry| is_server_here(node, entry));
    let mut by_service: BTreeMap<&Name, Vec<&Entry>> = BTreeMap::new();
    for entry in servers {
        if let Some(service) = &entry.service {
            by_service.entry(service).or_default().push(entry);
        }
    }
    let mut specs: HashMap<Name, Vec<Spec>> = HashMap::new();
    for (service, servers) in by_service {
        let allowed = node.rollouts.allowed(service, &servers);
        for entry in servers {
            let pool = pool_of(service, entry.version.as_ref());
            specs.entry(pool).or_default().push(Spec {
                name: entry.name.clone(),
                address: entry.address,
                data_centre: Some(entry.data_centre.clone()),
                slots: entry.slots.unwrap_or_else(|| slots(service)),
                leaving: entry.presence == Presence::Leaving || !allowed.has(entry),
                started_ms: entry.started_ms,
            });
        }
    }
    specs
}
