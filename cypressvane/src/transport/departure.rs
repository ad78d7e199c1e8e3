//! The time at which this process ends, for all requests in it.

use std::future;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use smol::Timer;

use crate::coordination::departure::{self, Durations};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Retry-after of a request that this host can no longer serve: the others take over what it was the home of.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// When this process ends, once that is known.
pub(crate) struct Departure {
    plan: OnceLock<departure::Departure>,
    /// Closed when this host begins to leave.
    begun: (Sender<()>, Receiver<()>),
    durations: Mutex<Durations>,
}

impl Departure {
    pub(crate) fn new() -> Self {
        Self {
            plan: OnceLock::new(),
            begun: async_channel::bounded(1),
            durations: Mutex::default(),
        }
    }

    /// Begins to leave, so that the process ends within `stays_for`; only the first call counts.
    pub(crate) fn begin(&self, stays_for: Duration) {
        let plan = departure::Departure::begin(stays_for, Instant::now());
        let _ = self.plan.set(plan);
        self.begun.0.close();
    }

    /// Records the time from sending a request to the end of its answer. `kind` is its route or its service.
    pub(crate) fn note_answer(&self, kind: &Name, took: Duration) {
        lock(&self.durations).note(kind, took);
    }

    /// Checks whether a request may still be sent.
    ///
    /// # Errors
    /// When its answer may not end before the process does.
    pub(crate) fn check(&self, kind: &Name, answer_deadline: Instant) -> Result<(), Reason> {
        match self.wait_left(kind, answer_deadline) {
            Some(left) if left.is_zero() => Err(leaving()),
            _ => Ok(()),
        }
    }

    /// Waits until a request may no longer be sent. It does not end if this host stays, or if the request's own deadline
    /// comes first.
    pub(crate) async fn too_late(&self, kind: &Name, answer_deadline: Instant) -> Reason {
        self.begun().await;
        match self.wait_left(kind, answer_deadline) {
            Some(left) => Timer::after(left).await,
            None => future::pending().await,
        };
        leaving()
    }

    /// Waits until every request must have its final answer. It does not end if this host stays.
    pub(crate) async fn end(&self) {
        self.begun().await;
        let left = self
            .answer_by()
            .map(|at| at.saturating_duration_since(Instant::now()));
        Timer::after(left.unwrap_or_default()).await;
    }

    /// When every request must have its final answer; `None` if this host stays.
    pub(crate) fn answer_by(&self) -> Option<Instant> {
        self.plan.get().map(|plan| plan.answer_by)
    }

    /// Waits for `work`, but no longer than until its request must have its final answer; `None` then.
    pub(crate) async fn before_end<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        // Boxed, since the future is kept beside the timer for as long as the request runs.
        let work = Box::pin(work);
        let done = async { Some(work.await) };
        let ended = async {
            self.end().await;
            None
        };
        done.or(ended).await
    }

    /// Waits until this host begins to leave.
    async fn begun(&self) {
        // The channel carries no messages, so this returns when it is closed.
        let _ = self.begun.1.recv().await;
    }

    fn wait_left(&self, kind: &Name, answer_deadline: Instant) -> Option<Duration> {
        let plan = self.plan.get()?;
        let longest = lock(&self.durations).longest(kind);
        plan.wait_left(answer_deadline, longest, Instant::now())
    }
}

/// The reason for failing a request that a server still runs when this process ends.
pub(crate) fn unfinished() -> Reason {
    let message = "this host has left before the backend server had answered";
    Reason::new(Code::BackendSilent, message)
}

/// The reason for refusing a request that this host could not answer before its process ends.
fn leaving() -> Reason {
    let message = "this host is leaving, and the answer may not end before";
    Reason::with_retry_after(Code::NotReady, message, RETRY_AFTER)
}
