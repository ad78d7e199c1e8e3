//! Stores the rulings in one row of the table service, so that they survive the loss of all hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol::Timer;

use super::Quarantine;
use crate::coordination::backoff::Backoff;
use crate::protocol::message;
use crate::state::clock::Instant;
use crate::state::platform::{Error, Expect, Write};
use crate::state::units::{millis, since_epoch};
use crate::transport::node::Node;
use crate::transport::runtime::lock;

/// Key of the row, and the subject for which one host is elected to write it for all.
pub(super) const ROW_KEY: &str = "quarantine";
/// Source that is logged for rulings from the row.
const TABLE_SOURCE: &str = "the table service";
/// Most rulings in the row, newest first: at most 500 bytes each, of the 64 KB that a row may have.
const STORED_MAX: usize = 96;
/// Number of hosts that read the row when they start; the others receive the rulings with the first heartbeats. One
/// call for each start of 295 hosts would be a twelfth of what a start costs.
const STARTUP_READERS: usize = 8;
/// Least time between two writes, and delay after the first failed call.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The row's value.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    /// Write time in milliseconds since the Unix epoch; the rulings' ages are relative to it.
    written_ms: u64,
    rulings: Vec<message::Ruling>,
}

/// Why the row could not be read or written.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The table service did not answer.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The row's value is malformed.
    #[error("the row does not parse: {0}")]
    Row(#[from] serde_json::Error),
}

/// Reads the row if this host is one of the startup readers, and then writes it each time a write is requested.
pub(crate) async fn run(node: Arc<Node>) {
    // The channel carries no values; it is closed once the host list has been read.
    let _ = node.quarantine.host_list_read.1.recv().await;
    if node.links.position_among_known(ROW_KEY, STARTUP_READERS) < STARTUP_READERS {
        read_first(&node).await;
    }
    mark_loaded(&node);
    // The node keeps the sender, so the channel does not close while the host runs.
    while node.quarantine.write_requested.1.recv().await.is_ok() {
        let mut backoff = Backoff::new(WRITE_INTERVAL);
        while let Err(failure) = write(&node).await {
            log_failure(&node, &failure);
            Timer::after(backoff.next_delay(false)).await;
        }
        Timer::after(WRITE_INTERVAL).await;
    }
}

/// Reads the row until it has been read or is malformed; requests are served after the first attempt.
async fn read_first(node: &Node) {
    let mut backoff = Backoff::new(WRITE_INTERVAL);
    while let Err(failure) = read(node).await {
        log_failure(node, &failure);
        mark_loaded(node);
        if matches!(failure, Failure::Row(_)) {
            break;
        }
        Timer::after(backoff.next_delay(false)).await;
    }
}

/// Lets requests be served: the stored rulings are known, or unavailable for now.
fn mark_loaded(node: &Node) {
    node.quarantine.loaded.store(true, Ordering::Relaxed);
    node.check_initialized();
}

/// Merges the rulings in the row into the known ones; returns the row's revision.
async fn read(node: &Node) -> Result<Option<u64>, Failure> {
    let Some(row) = node.table.get(ROW_KEY).await? else {
        return Ok(None);
    };
    let stored: Stored = serde_json::from_str(&row.value)?;
    let passed = millis(since_epoch()).saturating_sub(stored.written_ms);
    let aged = stored.rulings.into_iter().map(|ruling| ruling.aged(passed));
    node.quarantine
        .merge(TABLE_SOURCE, aged.collect(), Instant::now());
    Ok(Some(row.revision))
}

/// Writes the rulings into the row, merged with those that other hosts have written there.
async fn write(node: &Node) -> Result<(), Failure> {
    loop {
        let expect = match read(node).await {
            Ok(revision) => revision.map_or(Expect::Absent, Expect::Revision),
            // A malformed row is of no use to any host, so it is overwritten.
            Err(Failure::Row(error)) => {
                log_failure(node, &Failure::Row(error));
                let row = node.table.get(ROW_KEY).await?;
                row.map_or(Expect::Absent, |row| Expect::Revision(row.revision))
            }
            Err(failure) => return Err(failure),
        };
        let text = serde_json::to_string(&stored_rulings(&node.quarantine))?;
        if node.table.put(ROW_KEY, &text, expect).await? == Write::Done {
            return Ok(());
        }
    }
}

fn stored_rulings(quarantine: &Quarantine) -> Stored {
    let now = Instant::now();
    let mut rulings = lock(&quarantine.known).rulings();
    rulings.sort_by_key(|ruling| std::cmp::Reverse(ruling.since));
    rulings.truncate(STORED_MAX);
    Stored {
        written_ms: millis(since_epoch()),
        rulings: rulings
            .iter()
            .map(|ruling| message::Ruling::from_local(ruling, now))
            .collect(),
    }
}

fn log_failure(node: &Node, failure: &Failure) {
    node.note_platform_failure("table");
    slog::warn!(
        node.log, "the rulings on requests that end servers are not read or kept yet";
        "cause" => %failure,
    );
}
