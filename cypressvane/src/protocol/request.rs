//! The life cycle of a request, as a typestate.
//!
//! `Received` → `Waiting` → `Dispatched`. The boundary is the first byte handed to a backend
//! connection: only a request before it can be refused as "not run". Behind it, the way back to
//! `Waiting` needs a server's statement that it did not run; a request that may run more than once
//! can become `Repeating`, which is never refused as "not run".

use crate::protocol::exchange::Reply;
use crate::protocol::refusal::{Code, Ran, Reason, Refusal};
use crate::state::clock::Instant;

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
    /// Whether an earlier server may have run it.
    before: bool,
}

/// It was handed to a backend server, may run once more, and waits for another.
#[derive(Debug)]
pub(crate) struct Repeating;

/// A state in which no backend server has seen the request.
pub(crate) trait Unsent {}

impl Unsent for Received {}
impl Unsent for Waiting {}

/// Proof that a backend server did not run the request and will not.
#[derive(Debug)]
pub(crate) struct NotRun(());

impl NotRun {
    /// The proof in an answer's head, if it is there.
    pub(crate) fn stated_in(reply: &Reply) -> Option<Self> {
        reply.not_run.then_some(Self(()))
    }
}

/// A request that waits for a backend server, for the first time or again.
#[derive(Debug)]
pub(crate) enum Turn {
    /// It has not run.
    First(Request<Waiting>),
    /// It may have run.
    Again(Request<Repeating>),
}

impl Turn {
    /// Crosses the boundary: from here on the request may have run.
    pub(crate) fn dispatch(self, at: Instant) -> Request<Dispatched> {
        match self {
            Self::First(request) => request.dispatch(at),
            Self::Again(request) => Request {
                id: request.id,
                arrived: request.arrived,
                state: Dispatched { at, before: true },
            },
        }
    }

    /// Ends the request without another sending.
    pub(crate) fn refuse(self, reason: Reason) -> Refusal {
        match self {
            // The caller sent it before, under another id.
            Self::First(request) if reason.code == Code::EndsServers => request.duplicate(reason),
            Self::First(request) => request.refuse(reason),
            Self::Again(request) => Refusal::new(reason, Ran::Unknown, request.id),
        }
    }
}

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

    /// Takes in a new request under the id that its caller gave it.
    pub(crate) fn receive_as(id: String, arrived: Instant) -> Self {
        Self {
            id,
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
            state: Dispatched { at, before: false },
        }
    }
}

impl<S: Unsent> Request<S> {
    /// Ends the request unsent.
    pub(crate) fn refuse(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::No, self.id)
    }

    /// Ends the request unsent because the same one was sent before, under another id, and may have run.
    pub(crate) fn duplicate(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::Unknown, self.id)
    }
}

impl Request<Dispatched> {
    /// Goes back behind the boundary, since the server has stated that it did not run it.
    pub(crate) fn returned(self, _proof: NotRun) -> Turn {
        if self.state.before {
            return self.repeat();
        }
        Turn::First(Request {
            id: self.id,
            arrived: self.arrived,
            state: Waiting,
        })
    }

    /// Ends the request, which the server has stated that it did not run.
    pub(crate) fn refuse_unrun(&self, _proof: NotRun, reason: Reason) -> Refusal {
        let ran = if self.state.before {
            Ran::Unknown
        } else {
            Ran::No
        };
        Refusal::new(reason, ran, self.id.clone())
    }

    /// Waits for another server; only for requests that may run more than once.
    pub(crate) fn repeat(self) -> Turn {
        Turn::Again(Request {
            id: self.id,
            arrived: self.arrived,
            state: Repeating,
        })
    }

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
