//! Counts open connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::state::clock::Instant;

use smol::Timer;

/// Interval at which a stopping listener checks whether all connections are closed.
const STOP_POLL: Duration = Duration::from_millis(10);

/// The number of open connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenCount(Arc<AtomicUsize>);

/// One open connection; dropping the guard removes it from the count.
#[derive(Debug)]
pub(crate) struct Guard(OpenCount);

impl OpenCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn enter(&self) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }

    /// Returns the current number.
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Waits until the count is zero; returns whether that happened within `limit`.
    pub(crate) async fn wait_until_zero(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.get() > 0 && Instant::now() < end {
            Timer::after(STOP_POLL).await;
        }
        self.get() == 0
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
