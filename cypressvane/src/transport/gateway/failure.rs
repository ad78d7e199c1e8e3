//! Reasons for which a backend server's answer is rejected.

use bytes::Bytes;
use http::response;

use crate::coordination::pool::End;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::NotRun;

/// A failed attempt: why the server's answer is rejected, and what that says of the server.
pub(super) struct Failure {
    /// How the grant ended; the home judges the server by it.
    pub(super) end: End,
    pub(super) reason: Reason,
    /// Proof that the request did not run, if the server gave it.
    pub(super) not_run: Option<NotRun>,
    /// The server's own error response, passed to the caller if no retry is allowed; `None` if it would tell an untruth.
    pub(super) error_response: Option<Box<(response::Parts, Bytes)>>,
    /// The connection broke or ended before the answer was whole.
    pub(super) is_truncated: bool,
    /// Nothing listens on the server's address any more.
    pub(super) server_ended: bool,
    /// This host no longer reaches the server, and another one does.
    pub(super) path_failed: bool,
}

impl Failure {
    /// The answer broke off, or is malformed.
    pub(super) fn broken(cause: impl std::fmt::Display) -> Self {
        let message = format!("the backend server's answer broke off: {cause}");
        Self {
            is_truncated: true,
            ..Self::of(End::Broken, Reason::new(Code::BackendFailed, message))
        }
    }

    /// This host has no memory for the answer. Another server's answer would have none either.
    pub(super) fn without_memory() -> Self {
        let message = "this host has no memory left for the answer";
        Self::of(End::Unused, Reason::new(Code::MemoryFull, message))
    }

    /// Whether the failure is this host's own, and says nothing of the server or its version.
    pub(super) fn is_own(&self) -> bool {
        self.reason.code == Code::MemoryFull
    }

    /// The server sent nothing in time.
    pub(super) fn silent() -> Self {
        let message = "the backend server sent nothing in time";
        Self::of(End::Broken, Reason::new(Code::BackendSilent, message))
    }

    pub(super) fn of(end: End, reason: Reason) -> Self {
        Self {
            end,
            reason,
            not_run: None,
            error_response: None,
            is_truncated: false,
            server_ended: false,
            path_failed: false,
        }
    }

    /// Attributes the failure to the path, so that it is not held against the server.
    pub(super) fn blame_path(&mut self) {
        self.path_failed = true;
        self.end = End::Severed;
    }
}
