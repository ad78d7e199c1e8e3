//! Keeps the rulings in one row of the table service, for the case that all hosts are killed.

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

/// The key of the row, and the subject for which one host keeps it for all.
pub(super) const ROW: &str = "quarantine";
/// Who is said to have told what stood in the row.
const TABLE: &str = "the table service";
/// Most rulings in the row, the newest: at most 500 bytes each, of the 64 KB that a row may have.
const STORED_MAX: usize = 96;
/// Hosts that read the row when they start; the others are told with the first heartbeats. A call for each start of
/// 295 hosts would be a twelfth of what a start costs.
const READERS: usize = 8;
/// Least time between two writes, and from the first call without an answer to the next.
const REST: Duration = Duration::from_secs(1);

/// The row's value.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    /// When it was written, in milliseconds since the Unix epoch; the rulings' ages count from there.
    written_ms: u64,
    rulings: Vec<message::Ruling>,
}

/// Why the row could not be read or written.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The table service gave no answer.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The row is not one of these.
    #[error("the row does not parse: {0}")]
    Row(#[from] serde_json::Error),
}

/// Reads the row, where this host is one of those that do, and then writes it each time there is news.
pub(crate) async fn run(node: Arc<Node>) {
    // The channel carries nothing. It is closed when the host list was read.
    let _ = node.quarantine.listed.1.recv().await;
    if node.links.place_among_known(ROW) < READERS {
        read_first(&node).await;
    }
    begin(&node);
    // The node keeps the sender, so the channel does not close while the host runs.
    while node.quarantine.unkept.1.recv().await.is_ok() {
        let mut backoff = Backoff::new(REST);
        while let Err(failure) = write(&node).await {
            note(&node, &failure);
            Timer::after(backoff.failed(false)).await;
        }
        Timer::after(REST).await;
    }
}

/// Reads the row until it was read once; requests begin after the first try.
async fn read_first(node: &Node) {
    let mut backoff = Backoff::new(REST);
    while let Err(failure) = read(node).await {
        note(node, &failure);
        begin(node);
        if matches!(failure, Failure::Row(_)) {
            break;
        }
        Timer::after(backoff.failed(false)).await;
    }
}

/// Lets requests begin: what the row holds is known, or is not to be had now.
fn begin(node: &Node) {
    node.quarantine.loaded.store(true, Ordering::Relaxed);
    node.note_begun();
}

/// Takes in what the row holds; gives its revision.
async fn read(node: &Node) -> Result<Option<u64>, Failure> {
    let Some(row) = node.table.get(ROW).await? else {
        return Ok(None);
    };
    let stored: Stored = serde_json::from_str(&row.value)?;
    let passed = millis(since_epoch()).saturating_sub(stored.written_ms);
    let aged = stored.rulings.into_iter().map(|ruling| ruling.aged(passed));
    node.quarantine.hear(TABLE, aged.collect(), Instant::now());
    Ok(Some(row.revision))
}

/// Writes the rulings into the row, together with what other hosts have written there.
async fn write(node: &Node) -> Result<(), Failure> {
    loop {
        let expect = match read(node).await {
            Ok(revision) => revision.map_or(Expect::Absent, Expect::Revision),
            // Nobody is served by a row that cannot be read.
            Err(Failure::Row(error)) => {
                note(node, &Failure::Row(error));
                let row = node.table.get(ROW).await?;
                row.map_or(Expect::Absent, |row| Expect::Revision(row.revision))
            }
            Err(failure) => return Err(failure),
        };
        let text = serde_json::to_string(&stored(&node.quarantine))?;
        if node.table.put(ROW, &text, expect).await? == Write::Done {
            return Ok(());
        }
    }
}

fn stored(quarantine: &Quarantine) -> Stored {
    let now = Instant::now();
    let mut rulings = lock(&quarantine.known).rulings();
    rulings.sort_by_key(|ruling| std::cmp::Reverse(ruling.since));
    rulings.truncate(STORED_MAX);
    Stored {
        written_ms: millis(since_epoch()),
        rulings: rulings
            .iter()
            .map(|ruling| message::Ruling::told(ruling, now))
            .collect(),
    }
}

fn note(node: &Node, failure: &Failure) {
    node.note_platform_failure("table");
    slog::warn!(
        node.log, "the rulings on requests that end servers are not read or kept yet";
        "cause" => %failure,
    );
}
