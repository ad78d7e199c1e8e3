//! Refusals and failures as callers see them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use crate::state::reason::{Code, Reason};

/// Whether a backend server may have worked on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it was handed to a backend server.
    No,
    /// It was handed to a backend server whose answer is not known whole.
    Unknown,
    /// It ran to its end.
    Yes,
}

/// A final answer that is not a backend server's. Only a request in the right state builds one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether a backend server may have worked on it.
    pub ran: Ran,
    /// The request.
    pub request_id: String,
}

/// The JSON form of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The only field.
    pub error: Detail,
}

/// What stands in the JSON form of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// The stable code.
    pub code: Code,
    /// For a person.
    pub message: String,
    /// Whether a backend server may have worked on it.
    pub ran: Ran,
    /// The request.
    pub request_id: String,
}

impl Refusal {
    pub(super) fn new(reason: Reason, ran: Ran, request_id: String) -> Self {
        Self {
            reason,
            ran,
            request_id,
        }
    }

    /// The JSON form.
    #[must_use]
    pub fn body(&self) -> Body {
        Body {
            error: Detail {
                code: self.reason.code,
                message: self.reason.message.clone(),
                ran: self.ran,
                request_id: self.request_id.clone(),
            },
        }
    }

    /// Whole seconds for `Retry-After`, at least 1; `None` where asking again is no use.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let asks_again = matches!(self.reason.code.status(), 429 | 503);
        let wait = self.reason.retry_after.unwrap_or(Duration::from_secs(1));
        let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        asks_again.then_some(rounded_up.max(1))
    }
}
