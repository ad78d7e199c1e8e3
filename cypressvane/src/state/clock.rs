//! The one clock of the product: steady, and counting the time for which the machine was suspended.
//!
//! A lease, a limit or a caller's deadline runs on while a machine stands still. The system's usual steady clock
//! does not count that time, so a host that wakes would believe what ran out long ago.

use std::time::Duration;

pub use boot_time::Instant;

/// How much time has passed since the last look, and how much of it the machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lap {
    pub(crate) passed: Duration,
    pub(crate) suspended: Duration,
}

/// Measures laps on both clocks.
#[derive(Debug)]
pub(crate) struct Watch {
    counting: Instant,
    #[allow(clippy::disallowed_types, reason = "the other clock to compare with")]
    steady: std::time::Instant,
}

impl Watch {
    #[allow(clippy::disallowed_types, reason = "the other clock to compare with")]
    pub(crate) fn start() -> Self {
        Self {
            counting: Instant::now(),
            steady: std::time::Instant::now(),
        }
    }

    /// The time since the last lap.
    pub(crate) fn lap(&mut self) -> Lap {
        let now = Self::start();
        let passed = now.counting.saturating_duration_since(self.counting);
        let awake = now.steady.saturating_duration_since(self.steady);
        *self = now;
        Lap {
            passed,
            suspended: passed.saturating_sub(awake),
        }
    }
}
