//! Follows the accepted configuration: from the table service, or from other hosts when it is out.
//!
//! Each version is a row of its own that is written once, so following means reading the row after
//! the one in force. A stale read finds no row and does no harm.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt as _;
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use crate::coordination::backoff::Backoff;
use crate::coordination::policy;
use crate::protocol::message;
use crate::protocol::message::{CONFIG_PATH, PROTOCOL};
use crate::state::clock::Instant;
use crate::state::digest;
use crate::state::fleet::{self, Index};
use crate::state::manifest::{self, Bundle, HINT_KEY, Manifest, Record, record_key, text_key};
use crate::state::platform::{self, Source};
use crate::transport::active::Active;
use crate::transport::http::client;
use crate::transport::node::Node;
use crate::transport::runtime::within;

/// Parts that a host which starts reads from the table service without asking other hosts first.
const FEW_PARTS: usize = 16;
/// Shortest time for which a host which starts asks other hosts first.
const PEERS_LEAST: Duration = Duration::from_secs(1);
/// How much longer than that the most patient host asks.
const PEERS_FIRST: Duration = Duration::from_secs(4);
/// Rest between two rounds of asking them.
const PEERS_POLL: Duration = Duration::from_millis(100);
/// Longest time to read the configuration from another host.
const PEER_TIME: Duration = Duration::from_secs(2);
/// Largest configuration that another host may give, in bytes.
const BUNDLE_BYTES_MAX: u64 = 64 << 20;

/// Why a version is not put in force.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The table service gave no answer.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The other host gave no answer.
    #[error(transparent)]
    Peer(#[from] client::Error),
    /// A row is not what it should be.
    #[error("row {key}: {cause}")]
    Row {
        /// The row.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// The parts do not make a configuration.
    #[error(transparent)]
    Parts(#[from] manifest::Error),
    /// The configuration does not check.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A policy program does not compile.
    #[error(transparent)]
    Policy(#[from] policy::Error),
}

/// What stands for the configuration where a few hosts are chosen to look at it.
const CONFIGURATION: &str = "configuration";
/// Hosts that look at it closely for all: enough that two may fail at once.
const LOOKERS: usize = 3;
/// How long such a look waits for a change: less than half of the lease of keys on the users' sites.
const LOOK_CLOSELY: Duration = Duration::from_millis(2_200);
/// How much shorter each further host's looks are, so that their answers do not come together.
const LOOK_APART: Duration = Duration::from_millis(300);
/// How long the others' looks wait: each is a call, and 30 s is the longest that the users' store waits.
const LOOK_LONG: Duration = Duration::from_secs(28);
/// Age of the last confirmation from which a host looks closely by itself: a close look, a heartbeat
/// and some room later.
const CONFIRMED_MAX: Duration = Duration::from_secs(3);
/// How often a host that waits asks itself whether its look is better given up.
const CLOSELY_POLL: Duration = Duration::from_millis(250);
/// Rest after a first look at the configuration's place that failed.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Follows for as long as the host runs; `nudges` wake it early.
pub(crate) async fn run(node: Arc<Node>, nudges: Receiver<()>) {
    if let Some(source) = &node.source {
        follow_source(&node, source.as_ref()).await;
        return;
    }
    loop {
        if let Err(error) = advance(&node).await {
            node.note_platform_failure("table");
            slog::warn!(node.log, "the configuration could not be followed"; "cause" => %error);
        }
        // The table may be out, or may show what it had some time ago.
        from_peers(&node).await;
        // Whether a nudge or the time ends the wait makes no difference.
        let _ = within(node.config.platform.poll(), nudges.recv()).await;
    }
}

/// Follows the place of its own where a platform keeps the configuration.
async fn follow_source(node: &Node, source: &dyn Source) {
    let mut backoff = Backoff::new(LOOK_AGAIN);
    let mut was_told = false;
    loop {
        let closely = looks_closely(node);
        let wait = if node.source_is_lost() {
            // Asks only whether it is back.
            Duration::ZERO
        } else if closely {
            close_wait(node)
        } else {
            LOOK_LONG
        };
        let looked = async { Wait::Looked(look(node, source, wait).await) };
        let looked = match looked.or(given_up(node, closely)).await {
            Wait::Looked(looked) => looked,
            Wait::Stale => continue,
            Wait::Behind => {
                slog::info!(
                    node.log, "another host has a newer configuration than this look shows";
                    "version" => node.version(),
                );
                // Its end is waited for, so that a slow platform is not asked again and again in vain.
                look(node, source, Duration::ZERO).await
            }
        };
        let is_news = node.note_source(looked.is_ok(), Instant::now());
        match looked {
            Ok(()) if is_news => {
                backoff.answered();
                node.note_platform_back(Instant::now());
                slog::info!(node.log, "the configuration is followed again"; "version" => node.version());
            }
            Ok(()) => backoff.answered(),
            Err(error) => {
                node.note_platform_failure("configuration");
                if is_news {
                    slog::warn!(
                        node.log, "the configuration could not be followed"; "cause" => %error
                    );
                }
                let for_all = node.links.place_among_known(CONFIGURATION) < LOOKERS;
                was_told = rest(node, backoff.failed(for_all), !was_told).await;
            }
        }
    }
}

/// Rests after a look that failed; where `is_woken`, not longer than until another host is seen to have looked
/// since, and tells whether that ended it.
///
/// A host that the platform turns away alone is woken each other time only: its own looks go on to fail.
async fn rest(node: &Node, rest: Duration, is_woken: bool) -> bool {
    let began = Instant::now();
    let end = began + rest;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        Timer::after(left.min(CLOSELY_POLL)).await;
        let passed = began.elapsed();
        if is_woken && node.confirmed_ago().is_some_and(|ago| ago < passed) {
            return true;
        }
    }
}

/// How a wait for a new configuration ends.
enum Wait {
    Looked(Result<(), Error>),
    /// Others no longer tell that the configuration is the newest.
    Stale,
    /// Others have had a newer one for some time, so the call that waits for it may be silent.
    Behind,
}

/// Waits until a look is better given up.
async fn given_up(node: &Node, closely: bool) -> Wait {
    let mut was_behind = false;
    loop {
        Timer::after(CLOSELY_POLL).await;
        if !closely && looks_closely(node) {
            return Wait::Stale;
        }
        // Seen twice in a row: the look under way has had time to bring it.
        let is_behind = !node.links.ahead_of(node.version()).is_empty();
        if was_behind && is_behind {
            return Wait::Behind;
        }
        was_behind = is_behind;
    }
}

/// Whether this host looks often enough to keep the lease of keys by itself.
///
/// A few hosts do so for all, and tell the others with their heartbeats; the others wait longer for
/// changes, which come at once all the same, until they hear nothing.
fn looks_closely(node: &Node) -> bool {
    let is_stale = node.confirmed_ago().is_none_or(|ago| ago >= CONFIRMED_MAX);
    is_stale || node.links.place_for(CONFIGURATION) < LOOKERS
}

/// How long a close look of this host waits.
fn close_wait(node: &Node) -> Duration {
    let place = node.links.place_for(CONFIGURATION).min(LOOKERS);
    let place = u32::try_from(place).unwrap_or(0);
    LOOK_CLOSELY.saturating_sub(LOOK_APART * place)
}

async fn look(node: &Node, source: &dyn Source, wait: Duration) -> Result<(), Error> {
    let look = source.look(node.version(), wait).await?;
    if let Some((version, fleet)) = look.newer {
        let active = smol::unblock(move || {
            fleet.check()?;
            Ok::<_, Error>(Active::outside(version, fleet)?)
        });
        node.install(active.await?);
    }
    node.confirm(look.confirmed);
    if let Some(stamp) = look.stamp {
        node.links.tell_confirmed(node.version(), stamp);
    }
    Ok(())
}

/// Puts in force all versions that the table service has above the one in force.
pub(crate) async fn advance(node: &Node) -> Result<(), Error> {
    if node.version() == 0 {
        begin(node).await?;
    }
    while node.version() > 0 {
        let Some(record) = record(node, node.version() + 1).await? else {
            return Ok(());
        };
        let manifest = manifest(node, &record).await?;
        let bundle = bundle(node, record, manifest).await?;
        node.install(activate(bundle).await?);
    }
    Ok(())
}

/// Puts the newest version in force on a host that has none, without those before it.
async fn begin(node: &Node) -> Result<(), Error> {
    let mut version = hint(node).await?;
    let Some(mut newest) = record(node, version).await? else {
        return Ok(());
    };
    while let Some(record) = record(node, version + 1).await? {
        version += 1;
        newest = record;
    }
    let manifest = manifest(node, &newest).await?;
    if learned_from_peers(node, newest.version, manifest.parts.len()).await {
        return Ok(());
    }
    let bundle = bundle(node, newest, manifest).await?;
    node.install(activate(bundle).await?);
    Ok(())
}

/// Asks the other hosts for the configuration on a host that has none; tells whether one gave it.
///
/// A stale read of the table must not bring an old version back, so a host that starts hears first
/// whether another has a newer one than `version`. Where there are many parts it waits longer, each
/// host for another time, so that hosts which start together do not all read them from the table.
async fn learned_from_peers(node: &Node, version: u64, parts: usize) -> bool {
    let has_many = parts > FEW_PARTS;
    let name = digest::hex(node.config.host.name.as_bytes());
    let share = u32::from_str_radix(&name[..4], 16).unwrap_or(0);
    let longer = if has_many {
        PEERS_FIRST * share / u32::from(u16::MAX)
    } else {
        Duration::ZERO
    };
    let end = Instant::now() + PEERS_LEAST + longer;
    while node.version() == 0 && Instant::now() < end && node.links.expects_peers() {
        from_peers(node).await;
        let none_is_ahead = node.links.hears_all() && node.links.ahead_of(version).is_empty();
        if none_is_ahead && !has_many {
            break;
        }
        Timer::after(PEERS_POLL).await;
    }
    node.version() > 0
}

/// A version to begin with: the hint, or the first.
async fn hint(node: &Node) -> Result<u64, Error> {
    let row = node.table.get(HINT_KEY).await?;
    Ok(row.and_then(|row| row.value.parse().ok()).unwrap_or(1))
}

/// Reads the record of a version; `None` when there is none yet.
pub(crate) async fn record(node: &Node, version: u64) -> Result<Option<Record>, Error> {
    let key = record_key(version);
    let row = node.table.get(&key).await?;
    node.note_table_read();
    let Some(row) = row else { return Ok(None) };
    let record = serde_json::from_str(&row.value);
    record.map(Some).map_err(|error| Error::Row {
        key,
        cause: error.to_string(),
    })
}

/// Reads the parts of a version that this host does not have yet.
async fn bundle(node: &Node, record: Record, manifest: Manifest) -> Result<Bundle, Error> {
    let active = node.active();
    let mut texts = BTreeMap::new();
    for digest in manifest.parts.values() {
        let known = active.as_ref().and_then(|active| active.texts.get(digest));
        let part = match known {
            Some(part) => part.clone(),
            None => text(node, digest).await?,
        };
        texts.insert(digest.clone(), part);
    }
    Ok(Bundle {
        record,
        manifest,
        texts,
    })
}

/// The manifest of a version: worked out from the one before it, or read.
async fn manifest(node: &Node, record: &Record) -> Result<Manifest, Error> {
    if let Some(manifest) = changed(node.active().as_deref(), record) {
        return Ok(manifest);
    }
    Ok(Manifest::parse(&text(node, &record.manifest).await?)?)
}

/// The manifest of a version worked out from the one before it, where that is in force here.
fn changed(active: Option<&Active>, record: &Record) -> Option<Manifest> {
    let active = active.filter(|active| active.record.version + 1 == record.version)?;
    let manifest = active.manifest.with(record.changes.as_ref()?);
    (manifest.digest() == record.manifest).then_some(manifest)
}

/// Reads a text and checks that it is the one meant.
async fn text(node: &Node, digest: &str) -> Result<String, Error> {
    let key = text_key(digest);
    let Some(row) = node.table.get(&key).await? else {
        return Err(Error::Row {
            key,
            cause: "it does not exist".to_owned(),
        });
    };
    if digest::hex(row.value.as_bytes()) != digest {
        return Err(Error::Row {
            key,
            cause: "it does not match its digest".to_owned(),
        });
    }
    Ok(row.value)
}

/// Checks a version off the worker threads: a large one takes longer than tokens may be held back.
async fn activate(bundle: Bundle) -> Result<Active, Error> {
    smol::unblock(move || derive(bundle)).await
}

/// Checks a version and derives what the request path needs.
fn derive(bundle: Bundle) -> Result<Active, Error> {
    let fleet = bundle.manifest.join(&bundle.texts)?;
    fleet.check()?;
    let policies = policy::Set::compile(&fleet)?;
    Ok(Active {
        record: bundle.record,
        manifest: bundle.manifest,
        texts: bundle.texts,
        index: Index::new(fleet),
        policies,
    })
}

/// Takes a newer version from another host that told of one.
async fn from_peers(node: &Node) {
    for address in node.links.ahead_of(node.version()) {
        match from_peer(node, address).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                slog::warn!(node.log, "another host gave no configuration"; "cause" => %error);
            }
        }
    }
}

async fn from_peer(node: &Node, address: SocketAddr) -> Result<bool, Error> {
    let mut request = client::request(Method::Get, address, CONFIG_PATH);
    request.insert_header(
        AUTHORIZATION,
        format!("Bearer {}", node.config.host.peer_key),
    );
    request.insert_header(PROTOCOL, message::VERSION);
    let reply = client::call(address, request, BUNDLE_BYTES_MAX, PEER_TIME).await?;
    if !reply.is_success() {
        return Ok(false);
    }
    let bundle: Bundle = rmp_serde::from_slice(&reply.body).map_err(|error| Error::Row {
        key: CONFIG_PATH.to_owned(),
        cause: error.to_string(),
    })?;
    Ok(node.install(activate(bundle).await?))
}
