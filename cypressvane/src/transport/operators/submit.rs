//! Accepts configurations: a configuration is accepted once the row of its version is written.

use std::time::Duration;

use smol::Timer;

use crate::coordination::policy;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::random_id;
use crate::state::fleet::Fleet;
use crate::state::manifest::{HINT_KEY, Partition, Record};
use crate::state::platform::{Error, Expect, Write};
use crate::state::units::since_epoch;
use crate::transport::node::Node;
use crate::transport::platform::follow;

/// Attempts to read back the outcome of a write whose reply was lost.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Delay after the first attempt; doubled after each.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);
/// Attempts to update the hint while other hosts write it.
const HINT_ATTEMPTS: u32 = 3;

/// Accepts the configuration in `text` as the successor of version `base`, or of the version in force.
///
/// # Errors
/// `Rejected` if the configuration is invalid, `Conflict` if another submission won, `PlatformUnavailable` if the table
/// service does not answer and nothing was accepted, and `OutcomeUnknown` if the reply was lost and the submission may
/// have been accepted.
pub(crate) async fn submit(
    node: &Node,
    author: &str,
    text: &str,
    base: Option<u64>,
) -> Result<Record, Reason> {
    let fleet = Fleet::parse(text).map_err(|error| rejected(&error))?;
    policy::Programs::compile(&fleet).map_err(|error| rejected(&error))?;
    // A host with an old version would lose every race, so it catches up first.
    follow::advance(node)
        .await
        .map_err(|error| unavailable("nothing was written", &error))?;
    let base = base.unwrap_or_else(|| node.version());
    let cut = Partition::new(&fleet);
    let before = node.active().filter(|active| active.record.version == base);
    let changes = before.map(|active| cut.manifest.changes_from(&active.manifest));
    let record = Record {
        version: base + 1,
        manifest: cut.manifest.digest(),
        submission: random_id(),
        author: author.to_owned(),
        accepted_at: since_epoch().as_secs(),
        changes,
    };
    let mut rows = cut.rows(&record);
    let record_row = rows.pop();
    for (key, text) in rows {
        store_text(node, &key, &text).await?;
    }
    if let Some((key, text)) = record_row {
        write_record(node, &record, &key, &text).await?;
    }
    write_hint(node, record.version).await;
    // The configuration is accepted already; if this fails, the next poll catches up.
    let _ = follow::advance(node).await;
    Ok(record)
}

/// Stores a text under its digest, unless it is stored already.
async fn store_text(node: &Node, key: &str, text: &str) -> Result<(), Reason> {
    let written = node.table.put(key, text, Expect::Absent).await;
    written
        .map(|_| ())
        .map_err(|error| unavailable("nothing was accepted", &error))
}

/// Writes the row of the version, which decides between concurrent submissions.
async fn write_record(node: &Node, record: &Record, key: &str, text: &str) -> Result<(), Reason> {
    match node.table.put(key, text, Expect::Absent).await {
        Ok(Write::Done) => Ok(()),
        Ok(Write::Conflict) | Err(Error::Lost(_)) => read_back(node, record).await,
        Err(error) => Err(unavailable("nothing was accepted", &error)),
    }
}

/// Reads back whether this submission, another one or none wrote the row.
async fn read_back(node: &Node, record: &Record) -> Result<(), Reason> {
    let mut delay = READ_BACK_DELAY;
    for _ in 0..READ_BACK_ATTEMPTS {
        match follow::record(node, record.version).await {
            Ok(Some(winner)) if winner.submission == record.submission => return Ok(()),
            Ok(Some(winner)) => return Err(conflict(&winner)),
            // There is no row yet, or no answer: the write may still take effect.
            Ok(None) | Err(_) => Timer::after(delay).await,
        };
        delay *= 2;
    }
    let message = format!(
        "the table service's answer was lost; submission {} may be accepted as version {}",
        record.submission, record.version
    );
    Err(Reason::new(Code::OutcomeUnknown, message))
}

/// Advances the hint, so that a new host need not read every version.
async fn write_hint(node: &Node, version: u64) {
    for _ in 0..HINT_ATTEMPTS {
        let Ok(row) = node.table.get(HINT_KEY).await else {
            return;
        };
        let current = row.as_ref().and_then(|row| row.value.parse::<u64>().ok());
        if current.is_some_and(|current| current >= version) {
            return;
        }
        let expect = row.map_or(Expect::Absent, |row| Expect::Revision(row.revision));
        // A stale hint only costs a new host some reads.
        if let Ok(Write::Done) = node.table.put(HINT_KEY, &version.to_string(), expect).await {
            return;
        }
    }
}

fn rejected(error: &dyn std::error::Error) -> Reason {
    Reason::new(Code::Rejected, error.to_string())
}

fn conflict(winner: &Record) -> Reason {
    let message = format!(
        "version {} was accepted from {} as submission {}",
        winner.version, winner.author, winner.submission
    );
    Reason::new(Code::Conflict, message)
}

fn unavailable(effect: &str, error: &dyn std::error::Error) -> Reason {
    let message = format!("{effect}: {error}");
    Reason::new(Code::PlatformUnavailable, message)
}
