//! Why a backend server's answer does not count.

use bytes::Bytes;
use http::response;

use crate::coordination::pool::End;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::NotRun;

/// Why a server's answer does not count.
pub(super) struct Failure {
    /// What it says of the server.
    pub(super) end: End,
    pub(super) reason: Reason,
    /// The proof that the request did not run, where there is one.
    pub(super) not_run: Option<NotRun>,
    /// The failure that the server itself answered, passed on if nothing better comes.
    pub(super) answer: Option<Box<(response::Parts, Bytes)>>,
    /// The connection broke or ended before the answer was whole.
    pub(super) broke_off: bool,
    /// Nothing listens any more where the server did.
    pub(super) server_ended: bool,
}

impl Failure {
    /// The answer broke off, or is none.
    pub(super) fn broken(cause: impl std::fmt::Display) -> Self {
        let message = format!("the backend server's answer broke off: {cause}");
        Self {
            broke_off: true,
            ..Self::of(End::Broken, Reason::new(Code::BackendFailed, message))
        }
    }

    /// Nothing came in time.
    pub(super) fn silent() -> Self {
        let message = "the backend server sent nothing in time";
        Self::of(End::Broken, Reason::new(Code::BackendSilent, message))
    }

    pub(super) fn of(end: End, reason: Reason) -> Self {
        Self {
            end,
            reason,
            not_run: None,
            answer: None,
            broke_off: false,
            server_ended: false,
        }
    }
}
