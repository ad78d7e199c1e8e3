//! What backend servers state of themselves in their answers: a rate limit, that they are leaving, or that they want
//! no requests for a while.
//!
//! A notice applies to the incarnation of the server that gave it, and to no later one.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use crate::coordination::server::pacing::ReportedLimit;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// A backend server's process, from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Its address.
    pub address: SocketAddr,
    /// When it was started, in milliseconds of its own clock; `None` if it does not report this.
    pub started_ms: Option<u64>,
}

impl Incarnation {
    /// Compares the starts of two incarnations of one server; `None` if their order is unknown.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match self.started_ms.zip(other.started_ms) {
            Some((own, others)) => Some(own.cmp(&others)),
            None if self.address == other.address => Some(Ordering::Equal),
            None => None,
        }
    }
}

/// When a statement was received, and by which host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// When the host received it.
    pub at: Instant,
    /// The host that received it.
    pub by: Name,
}

/// A time in which a server wants no requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rest {
    /// When it ends.
    pub until: Instant,
    /// How it became known.
    pub receipt: Receipt,
}

/// A server that ends when it has to turn away too many requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Brittle {
    /// Requests that it can turn away in a second.
    pub tolerance: u32,
    /// When the statement is over, unless it is repeated.
    pub until: Instant,
    /// How it became known.
    pub receipt: Receipt,
}

impl Brittle {
    /// Returns the statement that is over last.
    pub(crate) fn latest(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        one.into_iter()
            .chain(other)
            .max_by_key(|brittle| brittle.until)
    }
}

/// Statements of one incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The incarnation that made them.
    pub incarnation: Incarnation,
    /// Its rate limit, if it states one.
    pub limit: Option<ReportedLimit>,
    /// When it was first known to be leaving; `None` if it is not.
    pub leaving: Option<Receipt>,
    /// The rest that it wants, if any.
    pub rest: Option<Rest>,
    /// How many requests it can turn away, if it states that.
    pub brittle: Option<Brittle>,
}

impl Notice {
    /// Creates a notice without statements.
    #[must_use]
    pub fn empty(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            limit: None,
            leaving: None,
            rest: None,
            brittle: None,
        }
    }

    /// Whether the notice has no statement that matters at `now`.
    #[must_use]
    pub fn is_empty(&self, now: Instant) -> bool {
        let is_brittle = self.brittle.as_ref().is_some_and(|it| it.until > now);
        self.limit.is_none() && !is_brittle && !self.bars_requests(now)
    }

    /// Whether the server wants no requests at `now`.
    #[must_use]
    pub fn bars_requests(&self, now: Instant) -> bool {
        self.leaving.is_some() || self.rest.as_ref().is_some_and(|rest| rest.until > now)
    }

    /// Adds the statements of another notice of the same server. An earlier incarnation adds nothing; any other
    /// incarnation replaces the notice.
    pub(crate) fn merge(&mut self, other: Self) {
        match other.incarnation.compare(&self.incarnation) {
            Some(Ordering::Less) => {}
            Some(Ordering::Equal) => {
                self.limit = other.limit.or(self.limit.take());
                self.leaving = self.leaving.take().or(other.leaving);
                self.rest = longest(self.rest.take(), other.rest);
                self.brittle = Brittle::latest(self.brittle.take(), other.brittle);
            }
            Some(Ordering::Greater) | None => *self = other,
        }
    }
}

/// Returns the rest that ends last.
pub(crate) fn longest(one: Option<Rest>, other: Option<Rest>) -> Option<Rest> {
    one.into_iter().chain(other).max_by_key(|rest| rest.until)
}
