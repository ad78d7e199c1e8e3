//! Counts what is open, for as long as it is.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::state::clock::Instant;

use smol::Timer;

/// How often something that stops looks whether all is closed.
const STOP_POLL: Duration = Duration::from_millis(10);

/// How many are open.
#[derive(Clone, Debug, Default)]
pub(crate) struct Count(Arc<AtomicUsize>);

/// One that is open; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Guard(Count);

impl Count {
    /// Counts one until the guard is dropped.
    pub(crate) fn enter(&self) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }

    /// The number that are open.
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Waits until none is open; tells whether that came within `limit`.
    pub(crate) async fn closed(&self, limit: Duration) -> bool {
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
