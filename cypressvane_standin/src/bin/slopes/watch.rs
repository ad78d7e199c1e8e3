//! What hosts use over a stretch of time.

use std::io;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::usage;
use smol::Timer;

/// What the hosts of a fleet used, as the mean of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Share of one core, in percent.
    pub processor_percent: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
    /// Bytes of frames to other hosts, a second.
    pub peer_bytes: f64,
    /// Messages to other hosts, a second.
    pub peer_messages: f64,
    /// Reads of the table, a second.
    pub reads: f64,
    /// Reads of the host list, a second.
    pub lists: f64,
}

/// Sums at one moment.
struct Sums {
    at: Instant,
    processor: Duration,
    resident: u64,
    peer_bytes: f64,
    peer_messages: f64,
    reads: u64,
    lists: u64,
}

async fn sums(fleet: &Fleet) -> io::Result<Sums> {
    let mut sums = Sums {
        at: Instant::now(),
        processor: Duration::ZERO,
        resident: 0,
        peer_bytes: 0.0,
        peer_messages: 0.0,
        reads: 0,
        lists: 0,
    };
    for index in fleet.running() {
        let used = usage::of(fleet.host(index).id())?;
        sums.processor += used.processor;
        sums.resident += used.resident;
        sums.peer_bytes += fleet.metric(index, "cypressvane_peer_bytes_total ").await?;
        sums.peer_messages += fleet
            .metric(index, "cypressvane_peer_messages_total ")
            .await?;
    }
    let stats = fleet.stats().await?;
    sums.reads = stats.reads;
    sums.lists = stats.lists;
    Ok(sums)
}

/// Watches the hosts of a fleet for a while.
pub async fn watch(fleet: &Fleet, time: Duration) -> io::Result<Used> {
    let before = sums(fleet).await?;
    Timer::after(time).await;
    let after = sums(fleet).await?;
    let hosts = real(fleet.running().count());
    let seconds = after.at.saturating_duration_since(before.at).as_secs_f64();
    let each = |total: f64| total / hosts / seconds;
    let processor = after
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64();
    Ok(Used {
        processor_percent: each(processor) * 100.0,
        resident_mb: count(after.resident) / 1e6 / hosts,
        peer_bytes: each(after.peer_bytes - before.peer_bytes),
        peer_messages: each(after.peer_messages - before.peer_messages),
        reads: each(count(after.reads - before.reads)),
        lists: each(count(after.lists - before.lists)),
    })
}

/// A number of things as a real number.
pub fn real(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}

/// A large count as a real number.
#[allow(clippy::cast_precision_loss, reason = "a figure for a table")]
pub fn count(number: u64) -> f64 {
    number as f64
}
