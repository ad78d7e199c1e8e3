//! Processor time, memory and written bytes of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Clock ticks a second of the times in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: u32 = 100;
/// Bytes in a kibibyte, the unit of `/proc/<id>/status`.
const KIB: u64 = 1024;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and system mode since the start of the process.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Peak resident memory since the start of the process, in bytes.
    pub peak: u64,
}

/// Reads the resource usage of the process `id`.
///
/// # Errors
/// When the process is gone or its `/proc` files are unreadable.
pub fn of(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let unreadable = || io::Error::new(io::ErrorKind::InvalidData, "an unreadable /proc file");
    // The program name in parentheses may contain spaces, so the fields are counted from its end.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| -> Option<u32> { fields.get(index)?.parse().ok() };
    let used = ticks(11).zip(ticks(12)).map(|(user, system)| user + system);
    let processor = Duration::from_secs(1) * used.ok_or_else(unreadable)? / TICKS_PER_SECOND;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let bytes = |name: &str| -> Option<u64> {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib * KIB)
    };
    let resident = bytes("VmRSS:").ok_or_else(unreadable)?;
    let peak = bytes("VmHWM:").ok_or_else(unreadable)?;
    Ok(Usage {
        processor,
        resident,
        peak,
    })
}

/// Bytes that a process has written since its start.
///
/// Counts all writes: those to sockets, and those of the log if it goes to a file.
///
/// # Errors
/// When the process is gone or its `/proc` files are unreadable.
pub fn written_bytes(id: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/io"))?;
    let unreadable = || io::Error::new(io::ErrorKind::InvalidData, "an unreadable /proc file");
    let line = text.lines().find_map(|line| line.strip_prefix("wchar:"));
    line.and_then(|line| line.trim().parse().ok())
        .ok_or_else(unreadable)
}
