//! Keeps the versions of each service in one row of the table service, so that hosts that have all started at once know
//! whether another version was there before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol::Timer;

use super::Streams;
use crate::coordination::backoff::Backoff;
use crate::coordination::origin::Version;
use crate::coordination::view::View;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Error, Expect, Write};
use crate::transport::node::Node;
use crate::transport::runtime::{lock, timeout};

/// Key of the row, and the subject for which one host is elected to write it for all.
const ROW_KEY: &str = "versions";
/// Interval between two checks whether the row is up to date; shorter than the time after which a version that joins
/// others gets requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after the first failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time that a request waits for the row.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The versions of each service.
pub(super) type Services = BTreeMap<Name, BTreeSet<Version>>;

/// The row's value.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Stored {
    services: Services,
}

/// What this host has seen in the host list: the versions that may have begun a stream which can still be taken up. The
/// view of a service tells of its versions, the outer one of the services.
type Seen = View<BTreeMap<Name, View<BTreeSet<Version>>>>;

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

/// What this host knows of the row.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    /// The row as it was when this host first read it, or since it was last out of touch.
    first: Mutex<Option<Arc<Services>>>,
    /// Whether this host may have missed versions since it read the row.
    is_outdated: AtomicBool,
}

impl Ledger {
    /// Reads the versions of a service in the row, and returns them with those that the row held when this host started;
    /// `None` if they cannot be read.
    pub(super) async fn read(&self, node: &Node, service: &Name) -> Option<BTreeSet<Version>> {
        let current = match timeout(READ_TIMEOUT, read_row(node)).await? {
            Ok((stored, _)) => stored.services,
            Err(failure) => {
                log_failure(node, &failure);
                return None;
            }
        };
        let mut versions = current.get(service).cloned().unwrap_or_default();
        self.note_first(current);
        versions.extend(self.stored(service).into_iter().flatten());
        Some(versions)
    }

    /// The row as it was when this host first read it; `None` before that.
    pub(super) fn first(&self) -> Option<Arc<Services>> {
        lock(&self.first).clone()
    }

    /// Whether this host has read the row.
    pub(super) fn is_read(&self) -> bool {
        lock(&self.first).is_some()
    }

    /// The versions of a service that hosts stored before this one started, or since it was last out of touch; `None` before
    /// the row has been read.
    pub(super) fn stored(&self, service: &Name) -> Option<BTreeSet<Version>> {
        if self.is_outdated() {
            return None;
        }
        let first = self.first()?;
        Some(first.get(service).cloned().unwrap_or_default())
    }

    /// Keeps the row that this host read first; later ones may lack versions that were there before its start. What it has
    /// missed while it was out of touch is only in a later one.
    fn note_first(&self, services: Services) {
        let mut first = lock(&self.first);
        if first.is_none() || self.is_outdated.swap(false, Ordering::Relaxed) {
            *first = Some(Arc::new(services));
        }
    }

    /// Notes that this host may have missed versions since it read the row.
    pub(super) fn outdate(&self) {
        self.is_outdated.store(true, Ordering::Relaxed);
    }

    /// Whether the row has to be read again.
    pub(super) fn is_outdated(&self) -> bool {
        self.is_outdated.load(Ordering::Relaxed)
    }
}

/// Writes the row when the services' versions change or the platform may have lost it, if this host is elected, for as
/// long as it runs.
pub(super) async fn run(node: &Node) {
    let mut written: Option<(Seen, Option<Instant>)> = None;
    let mut backoff = Backoff::new(RETRY_DELAY);
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if !node.links.has_host_list() || node.links.position_for(ROW_KEY, 1) > 0 {
            written = None;
            continue;
        }
        let current = (
            node.streams.seen(Instant::now()),
            node.platform_recovered_at(),
        );
        if written.as_ref() == Some(&current) {
            continue;
        }
        match write(node, &current.0).await {
            Ok(()) => {
                written = Some(current);
                backoff = Backoff::new(RETRY_DELAY);
            }
            Err(failure) => {
                log_failure(node, &failure);
                Timer::after(backoff.next_delay(false)).await;
            }
        }
    }
}

/// Reads the row, until that has succeeded: the platform may be away when it is needed.
pub(super) async fn read_first(node: &Node) {
    let mut backoff = Backoff::new(CHECK_INTERVAL);
    while !node.streams.ledger.is_read() {
        match read_row(node).await {
            Ok((stored, _)) => node.streams.ledger.note_first(stored.services),
            Err(failure) => {
                log_failure(node, &failure);
                Timer::after(backoff.next_delay(false)).await;
            }
        }
    }
}

/// Reads the row once more.
pub(super) async fn read_again(node: &Node) {
    match read_row(node).await {
        Ok((stored, _)) => node.streams.ledger.note_first(stored.services),
        Err(failure) => log_failure(node, &failure),
    }
}

/// Reads the row, with its revision.
async fn read_row(node: &Node) -> Result<(Stored, Option<u64>), Failure> {
    let Some(row) = node.table.get(ROW_KEY).await? else {
        return Ok((Stored::default(), None));
    };
    Ok((serde_json::from_str(&row.value)?, Some(row.revision)))
}

/// Writes the versions that this host has seen, with those of the row that it cannot know to be gone.
async fn write(node: &Node, seen: &Seen) -> Result<(), Failure> {
    loop {
        let (stored, revision) = match read_row(node).await {
            Ok((stored, revision)) => {
                node.streams.ledger.note_first(stored.services.clone());
                (stored, revision)
            }
            // By now the list has shown all versions that the row can have held.
            Err(Failure::Row(error)) if seen.is_whole() => {
                log_failure(node, &Failure::Row(error));
                let row = node.table.get(ROW_KEY).await?;
                (Stored::default(), row.map(|row| row.revision))
            }
            Err(failure) => return Err(failure),
        };
        let services = successor(seen, &stored.services);
        if services == stored.services && revision.is_some() {
            return Ok(());
        }
        let text = serde_json::to_string(&Stored { services })?;
        let expect = revision.map_or(Expect::Absent, Expect::Revision);
        if node.table.put(ROW_KEY, &text, expect).await? == Write::Done {
            return Ok(());
        }
    }
}

/// The row that follows on `stored`: no version is dropped that this host cannot know to be gone.
fn successor(seen: &Seen, stored: &Services) -> Services {
    let none = BTreeSet::new();
    let mut services: Services = seen
        .seen()
        .iter()
        .map(|(service, view)| {
            let versions = view.merged_into(stored.get(service).unwrap_or(&none));
            (service.clone(), versions)
        })
        .collect();
    if !seen.is_whole() {
        for (service, versions) in stored {
            services
                .entry(service.clone())
                .or_insert_with(|| versions.clone());
        }
    }
    services.retain(|_, versions| !versions.is_empty());
    services
}

fn log_failure(node: &Node, failure: &Failure) {
    node.note_platform_failure("versions");
    slog::warn!(node.log, "the services' versions are not read or kept yet"; "cause" => %failure);
}

impl Streams {
    /// The versions that this host has seen in the host list.
    fn seen(&self, now: Instant) -> Seen {
        let retention = self.retention();
        let histories = lock(&self.histories);
        let services = histories
            .iter()
            .map(|(service, history)| (service.clone(), history.view(retention, now)));
        lock(&self.watch).view(services.collect(), retention, now)
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
