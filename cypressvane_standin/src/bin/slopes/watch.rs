//! Measures the resource usage of hosts over a period.

use std::io;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::usage;
use smol::Timer;

/// Mean resource usage of one host of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostUsage {
    /// Processor time, in percent of one core.
    pub processor_percent: f64,
    /// Resident memory at the end of the period, in MB.
    pub resident_mb: f64,
    /// Bytes of frames sent to other hosts, a second.
    pub peer_bytes: f64,
    /// Messages sent to other hosts, a second.
    pub peer_messages: f64,
    /// Reads of the table, a second.
    pub reads: f64,
    /// Reads of the host list, a second.
    pub lists: f64,
}

/// Totals over all hosts of a fleet at one time.
struct Totals {
    at: Instant,
    processor: Duration,
    resident: u64,
    peer_bytes: f64,
    peer_messages: f64,
    reads: u64,
    lists: u64,
}

async fn totals(fleet: &Fleet) -> io::Result<Totals> {
    let mut totals = Totals {
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
        totals.processor += used.processor;
        totals.resident += used.resident;
        totals.peer_bytes += fleet.metric(index, "cypressvane_peer_bytes_total ").await?;
        totals.peer_messages += fleet
            .metric(index, "cypressvane_peer_messages_total ")
            .await?;
    }
    let stats = fleet.stats().await?;
    totals.reads = stats.reads;
    totals.lists = stats.lists;
    Ok(totals)
}

/// Measures the usage of the hosts of a fleet for `time`.
pub async fn measure(fleet: &Fleet, time: Duration) -> io::Result<HostUsage> {
    let before = totals(fleet).await?;
    Timer::after(time).await;
    let after = totals(fleet).await?;
    let hosts = to_f64(fleet.running().count());
    let seconds = after.at.saturating_duration_since(before.at).as_secs_f64();
    let each = |total: f64| total / hosts / seconds;
    let processor = after
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64();
    Ok(HostUsage {
        processor_percent: each(processor) * 100.0,
        resident_mb: count_to_f64(after.resident) / 1e6 / hosts,
        peer_bytes: each(after.peer_bytes - before.peer_bytes),
        peer_messages: each(after.peer_messages - before.peer_messages),
        reads: each(count_to_f64(after.reads - before.reads)),
        lists: each(count_to_f64(after.lists - before.lists)),
    })
}

/// Converts a count; infinity if it exceeds 32 bits.
pub fn to_f64(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}

/// Converts a large count; precise up to 53 bits.
#[allow(clippy::cast_precision_loss, reason = "a figure for a table")]
pub fn count_to_f64(number: u64) -> f64 {
    number as f64
}
