//! The life cycle of a request, as a typestate.
//!
//! `Received` → `Waiting` → `Dispatched`. The boundary is the first byte handed to a backend
//! connection: only a request before it can be refused as "not run", and a request behind it has
//! no way back to `Waiting`, so nothing is dispatched twice.

use std::time::Instant;

use crate::protocol::refusal::{Ran, Reason, Refusal};

/// Bytes of randomness in a request id.
const ID_BYTES: usize = 12;

/// Its head has been read.
#[derive(Debug)]
pub(crate) struct Received;

/// It has been checked and waits for a backend server.
#[derive(Debug)]
pub(crate) struct Waiting;

/// It has been handed to a backend server.
#[derive(Debug)]
pub(crate) struct Dispatched {
    /// When it was handed over.
    pub(crate) at: Instant,
}

/// A state in which no backend server has seen the request.
pub(crate) trait Unsent {}

impl Unsent for Received {}
impl Unsent for Waiting {}

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Request<S> {
    /// Unique; stands in every answer, log line and call to a backend server.
    pub(crate) id: String,
    /// When its head had been read.
    pub(crate) arrived: Instant,
    /// What is known only in this state.
    pub(crate) state: S,
}

impl Request<Received> {
    /// Takes in a new request under a fresh id.
    pub(crate) fn receive(arrived: Instant) -> Self {
        Self {
            id: fresh_id(),
            arrived,
            state: Received,
        }
    }

    /// Lets a checked request wait.
    pub(crate) fn wait(self) -> Request<Waiting> {
        Request {
            id: self.id,
            arrived: self.arrived,
            state: Waiting,
        }
    }
}

impl Request<Waiting> {
    /// Crosses the boundary: from here on the request may have run.
    pub(crate) fn dispatch(self, at: Instant) -> Request<Dispatched> {
        Request {
            id: self.id,
            arrived: self.arrived,
            state: Dispatched { at },
        }
    }
}

impl<S: Unsent> Request<S> {
    /// Ends the request unsent.
    pub(crate) fn refuse(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::No, self.id)
    }
}

impl Request<Waiting> {
    /// Ends the request because one with its idempotency key was taken before and may have run.
    pub(crate) fn duplicate(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::Unknown, self.id)
    }
}

impl Request<Dispatched> {
    /// Ends the request without a whole answer.
    pub(crate) fn fail(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::Unknown, self.id.clone())
    }
}

/// Draws a fresh id: 24 hexadecimal digits.
///
/// # Panics
/// When the system has no randomness, without which no id is unique.
pub(crate) fn fresh_id() -> String {
    let mut bytes = [0; ID_BYTES];
    getrandom::fill(&mut bytes).expect("the system gives randomness");
    hex::encode(bytes)
}
