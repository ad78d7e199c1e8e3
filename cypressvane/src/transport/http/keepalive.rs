//! Notices that the other end of a connection is cut off, though nothing says so.

use std::io;
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Idle time after which a connection is probed, and time between two probes.
const PROBE: Duration = Duration::from_secs(1);

/// Breaks a connection whose other end has acknowledged nothing for `limit`.
///
/// # Errors
/// When the system does not take the option.
pub(crate) fn give_up_after(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// The same for a connection on which nothing may be sent for long: it is probed.
///
/// The number of probes is set too: not every system ends them by the limit, which bounds data that is
/// not acknowledged, and by default nine go unanswered first. The shortest silence that is noticed is two
/// seconds.
///
/// # Errors
/// When the system does not take an option.
pub(crate) fn probe(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    give_up_after(stream, limit)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE)?;
    sockopt::set_tcp_keepintvl(stream, PROBE)?;
    sockopt::set_tcp_keepcnt(stream, probes(limit))?;
    Ok(())
}

/// Unanswered probes that, after the idle time, fill the limit.
fn probes(limit: Duration) -> u32 {
    let seconds = limit.saturating_sub(PROBE).as_secs() / PROBE.as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX).max(1)
}

#[cfg(test)]
#[path = "keepalive_tests.rs"]
mod tests;
