//! The life cycle of a request, as a typestate.
//!
//! `Received` → `Waiting` → `Dispatched`. The transition to `Dispatched` is the first byte handed to a backend
//! connection: before it, a request can be refused as "not run". After it, refusing it as "not run" or returning it to
//! `Waiting` requires the server's statement that it did not run the request. A request that may run more than once can
//! instead become `Retrying`, which is never refused as "not run".

use crate::protocol::headers::AnswerMeta;
use crate::protocol::refusal::{Code, Ran, Reason, Refusal};
use crate::state::clock::Instant;

/// Number of random bytes in a request id.
const ID_BYTES: usize = 12;

/// State: the request's head has been read.
#[derive(Debug)]
pub(crate) struct Received;

/// State: the request has been validated and waits for a backend server.
#[derive(Debug)]
pub(crate) struct Waiting;

/// State: the request has been sent to a backend server.
#[derive(Debug)]
pub(crate) struct Dispatched {
    /// Time at which the request was sent.
    pub(crate) at: Instant,
    /// Whether an earlier server may have run the request.
    may_have_run: bool,
}

/// State: the request was sent to a backend server, may run again and waits for another server.
#[derive(Debug)]
pub(crate) struct Retrying;

/// A state in which no backend server has run the request.
pub(crate) trait Unsent {}

impl Unsent for Received {}
impl Unsent for Waiting {}

/// Proof that a backend server did not run the request and will not.
#[derive(Debug)]
pub(crate) struct NotRun(());

impl NotRun {
    /// Returns the proof if the answer states that the request did not run.
    pub(crate) fn stated_in(answer: &AnswerMeta) -> Option<Self> {
        answer.not_run.then_some(Self(()))
    }
}

/// A request that waits for a backend server, for its first run or for a retry.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// The request has not run.
    First(Request<Waiting>),
    /// The request may have run.
    Retry(Request<Retrying>),
}

impl PendingRequest {
    /// Marks the request as sent; from this point on it may have run.
    pub(crate) fn dispatch(self, at: Instant) -> Request<Dispatched> {
        match self {
            Self::First(request) => request.dispatch(at),
            Self::Retry(request) => Request {
                id: request.id,
                arrived: request.arrived,
                state: Dispatched {
                    at,
                    may_have_run: true,
                },
            },
        }
    }

    /// Refuses the request instead of sending it to a server.
    pub(crate) fn refuse(self, reason: Reason) -> Refusal {
        match self {
            // The caller has sent the same request before under another id, and it may have run.
            Self::First(request) if reason.code == Code::EndsServers => request.duplicate(reason),
            Self::First(request) => request.refuse(reason),
            Self::Retry(request) => Refusal::new(reason, Ran::Unknown, request.id),
        }
    }
}

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Request<S> {
    /// Unique id, included in every answer, log line and call to a backend server.
    pub(crate) id: String,
    /// Time at which the request's head had been read.
    pub(crate) arrived: Instant,
    /// Data specific to the state.
    pub(crate) state: S,
}

impl Request<Received> {
    /// Creates a request with a new id.
    pub(crate) fn receive(arrived: Instant) -> Self {
        Self {
            id: random_id(),
            arrived,
            state: Received,
        }
    }

    /// Creates a request with the id given by its caller.
    pub(crate) fn receive_as(id: String, arrived: Instant) -> Self {
        Self {
            id,
            arrived,
            state: Received,
        }
    }

    /// Marks the request as validated and waiting for a server.
    pub(crate) fn wait(self) -> Request<Waiting> {
        Request {
            id: self.id,
            arrived: self.arrived,
            state: Waiting,
        }
    }
}

impl Request<Waiting> {
    /// Marks the request as sent; from this point on it may have run.
    pub(crate) fn dispatch(self, at: Instant) -> Request<Dispatched> {
        Request {
            id: self.id,
            arrived: self.arrived,
            state: Dispatched {
                at,
                may_have_run: false,
            },
        }
    }
}

impl<S: Unsent> Request<S> {
    /// Refuses the request, which has not run.
    pub(crate) fn refuse(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::No, self.id)
    }

    /// Refuses the request because the same one was sent before under another id and may have run.
    pub(crate) fn duplicate(self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::Unknown, self.id)
    }
}

impl Request<Dispatched> {
    /// Returns the request to waiting after the server stated that it did not run it.
    pub(crate) fn return_to_waiting(self, _proof: NotRun) -> PendingRequest {
        if self.state.may_have_run {
            return self.retry();
        }
        PendingRequest::First(Request {
            id: self.id,
            arrived: self.arrived,
            state: Waiting,
        })
    }

    /// Refuses the request after the server stated that it did not run it.
    pub(crate) fn refuse_not_run(&self, _proof: NotRun, reason: Reason) -> Refusal {
        let ran = if self.state.may_have_run {
            Ran::Unknown
        } else {
            Ran::No
        };
        Refusal::new(reason, ran, self.id.clone())
    }

    /// Returns the request to waiting for another server; only for requests that may run more than once.
    pub(crate) fn retry(self) -> PendingRequest {
        PendingRequest::Retry(Request {
            id: self.id,
            arrived: self.arrived,
            state: Retrying,
        })
    }

    /// Records that the request is sent to a second server while the first may run it.
    pub(crate) fn repeat(&mut self) {
        self.state.may_have_run = true;
    }

    /// Fails the request, for which no complete answer was received.
    pub(crate) fn fail(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, Ran::Unknown, self.id.clone())
    }
}

/// Generates a random id of 24 hexadecimal digits.
///
/// # Panics
/// Panics if the system's random number generator fails, since ids would not be unique.
pub(crate) fn random_id() -> String {
    let mut bytes = [0; ID_BYTES];
    getrandom::fill(&mut bytes).expect("the system provides random numbers");
    hex::encode(bytes)
}
