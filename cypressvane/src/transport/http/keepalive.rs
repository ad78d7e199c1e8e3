//! Detects connections whose other end is unreachable although no reset arrived.

use std::io;
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Idle time after which a connection is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Breaks a connection whose other end leaves sent data unacknowledged for `limit` (`TCP_USER_TIMEOUT`).
///
/// # Errors
/// When the system rejects the option.
pub(crate) fn set_user_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// Sets the user timeout and enables keepalive probes, for a connection on which nothing may be sent for long.
///
/// Where a user timeout is set, Linux ends unanswered probes by it, at the first probe that is due after it, and
/// whatever their number. A timeout between two probes would thus end them late, so it is cut to the time of the
/// earlier one. The number of probes is set as well, for systems that go by it. The shortest silence of an idle
/// connection that is detected is two seconds; data that is not acknowledged breaks it after `limit`.
///
/// # Errors
/// When the system rejects an option.
pub(crate) fn enable(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    set_user_timeout(stream, at_a_probe(limit))?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, probe_count(limit))?;
    Ok(())
}

/// Cuts a limit to the time of the last probe within it; a limit before the first probe stays.
fn at_a_probe(limit: Duration) -> Duration {
    if limit < PROBE_INTERVAL {
        return limit;
    }
    Duration::from_secs(limit.as_secs())
}

/// Returns the number of unanswered probes that, after the idle time, fit into the limit; at least one.
fn probe_count(limit: Duration) -> u32 {
    let seconds = limit.saturating_sub(PROBE_INTERVAL).as_secs() / PROBE_INTERVAL.as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX).max(1)
}

#[cfg(test)]
#[path = "keepalive_tests.rs"]
mod tests;
