//! The monotonic clock used throughout; it includes time during which the machine was suspended.
//!
//! Leases, limits and caller deadlines keep running while a machine is suspended. `std::time::Instant` does not
//! count that time, so a resumed host would still treat values as valid that expired long ago.

use std::time::Duration;

pub use boot_time::Instant;

/// Time elapsed since the previous measurement, and the part of it during which the machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lap {
    pub(crate) passed: Duration,
    pub(crate) suspended: Duration,
}

/// Measures consecutive intervals on both clocks to detect suspension.
#[derive(Debug)]
pub(crate) struct Stopwatch {
    with_suspension: Instant,
    #[allow(
        clippy::disallowed_types,
        reason = "compared with the clock that includes suspension"
    )]
    without_suspension: std::time::Instant,
}

impl Stopwatch {
    #[allow(
        clippy::disallowed_types,
        reason = "compared with the clock that includes suspension"
    )]
    pub(crate) fn start() -> Self {
        Self {
            with_suspension: Instant::now(),
            without_suspension: std::time::Instant::now(),
        }
    }

    /// Returns the interval since the previous call, or since `start`, and begins a new one.
    pub(crate) fn lap(&mut self) -> Lap {
        let now = Self::start();
        let passed = now
            .with_suspension
            .saturating_duration_since(self.with_suspension);
        let awake = now
            .without_suspension
            .saturating_duration_since(self.without_suspension);
        *self = now;
        Lap {
            passed,
            suspended: passed.saturating_sub(awake),
        }
    }
}
