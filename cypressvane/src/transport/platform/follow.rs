//! Follows the accepted configuration: from the table service, or from other hosts while it is unavailable.
//!
//! Each version is a row of its own that is written once, so following means reading the row after
//! the one in force. A stale read finds no row and does no harm.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use smol::Timer;

use super::install::{Error, activate};
use super::{fetch, source};
use crate::state::clock::Instant;
use crate::state::digest;
use crate::state::manifest::{Bundle, HINT_KEY, Manifest, Record, record_key, text_key};
use crate::transport::active::Active;
use crate::transport::node::Node;
use crate::transport::runtime::timeout;

/// Number of parts up to which a starting host reads the configuration from the table service as soon as it knows that
/// no other host has a newer version.
const FEW_PARTS: usize = 16;
/// Longest time for which a starting host asks other hosts first if there are few parts.
const PEERS_WAIT: Duration = Duration::from_secs(1);
/// Longest additional time if there are many parts; each host takes a share of it by a hash of its name.
const PEERS_WAIT_EXTRA: Duration = Duration::from_secs(4);
/// Interval between two rounds of asking other hosts.
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the configuration for as long as the host runs; `wakeups` wake the task early.
pub(crate) async fn run(node: Arc<Node>, wakeups: Receiver<()>) {
    if let Some(config_store) = &node.config_store {
        source::follow(&node, config_store.as_ref(), &wakeups).await;
        return;
    }
    loop {
        if let Err(error) = advance(&node).await {
            node.note_platform_failure("table");
            slog::warn!(node.log, "the configuration could not be followed"; "cause" => %error);
        }
        // The table service may be unavailable, or a read may be stale.
        fetch::newest(&node).await;
        // It makes no difference whether a wakeup or the timeout ends the wait.
        let _ = timeout(node.config.platform.poll(), wakeups.recv()).await;
    }
}

/// Installs all versions that the table service has above the one in force.
pub(crate) async fn advance(node: &Node) -> Result<(), Error> {
    if node.version() == 0 {
        bootstrap(node).await?;
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

/// Installs the newest version on a host that has none, without the earlier ones.
async fn bootstrap(node: &Node) -> Result<(), Error> {
    let mut version = starting_version(node).await?;
    let Some(mut newest) = record(node, version).await? else {
        return Ok(());
    };
    while let Some(record) = record(node, version + 1).await? {
        version += 1;
        newest = record;
    }
    let manifest = manifest(node, &newest).await?;
    if fetch_from_peers(node, newest.version, manifest.parts.len()).await {
        return Ok(());
    }
    let bundle = bundle(node, newest, manifest).await?;
    node.install(activate(bundle).await?);
    Ok(())
}

/// Asks the other hosts for the configuration on a host that has none; returns whether it has one afterwards.
///
/// A stale read of the table must not bring an old version back, so a starting host first finds out whether another
/// host has a newer version than `version`. With many parts it waits longer, each host for a different time, so that
/// hosts that start together do not all read the parts from the table.
async fn fetch_from_peers(node: &Node, version: u64, parts: usize) -> bool {
    let has_many = parts > FEW_PARTS;
    let name = digest::sha256_hex(node.config.host.name.as_bytes());
    let share = u32::from_str_radix(&name[..4], 16).unwrap_or(0);
    let extra = if has_many {
        PEERS_WAIT_EXTRA * share / u32::from(u16::MAX)
    } else {
        Duration::ZERO
    };
    let end = Instant::now() + PEERS_WAIT + extra;
    while node.version() == 0 && Instant::now() < end && node.links.expects_peers() {
        fetch::newest(node).await;
        let none_is_ahead =
            node.links.has_received_from_all() && node.links.newest_version() <= version;
        if none_is_ahead && !has_many {
            break;
        }
        Timer::after(PEERS_POLL_INTERVAL).await;
    }
    node.version() > 0
}

/// The version to start from: the hint in the table, or the first one.
async fn starting_version(node: &Node) -> Result<u64, Error> {
    let row = node.table.get(HINT_KEY).await?;
    Ok(row.and_then(|row| row.value.parse().ok()).unwrap_or(1))
}

/// Reads the record of a version; `None` if it does not exist yet.
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

/// Assembles a version; reads the parts that this host does not have yet.
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

/// The manifest of a version, derived from the version before it or read from the table.
async fn manifest(node: &Node, record: &Record) -> Result<Manifest, Error> {
    if let Some(manifest) = derived_manifest(node.active().as_deref(), record) {
        return Ok(manifest);
    }
    Ok(Manifest::parse(&text(node, &record.manifest).await?)?)
}

/// The manifest of a version derived from the version before it, if that one is in force here.
fn derived_manifest(active: Option<&Active>, record: &Record) -> Option<Manifest> {
    let active = active.filter(|active| active.record.version + 1 == record.version)?;
    let manifest = active.manifest.apply(record.changes.as_ref()?);
    (manifest.digest() == record.manifest).then_some(manifest)
}

/// Reads a text and verifies its digest.
async fn text(node: &Node, digest: &str) -> Result<String, Error> {
    let key = text_key(digest);
    let Some(row) = node.table.get(&key).await? else {
        return Err(Error::Row {
            key,
            cause: "it does not exist".to_owned(),
        });
    };
    if digest::sha256_hex(row.value.as_bytes()) != digest {
        return Err(Error::Row {
            key,
            cause: "it does not match its digest".to_owned(),
        });
    }
    Ok(row.value)
}
