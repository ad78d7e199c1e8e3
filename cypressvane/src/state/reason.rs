//! Why a request is refused or fails, and when its caller is to come back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The stable code of a refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is not understood.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No such path.
    NotFound,
    /// No such model or service.
    UnknownModel,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The caller sent too slowly.
    SlowRequest,
    /// The body is over the limit.
    BodyTooLarge,
    /// The head is over the limit.
    HeadTooLarge,
    /// The account is over its limits.
    AccountLimit,
    /// The policy program refused it.
    RefusedByPolicy,
    /// The queue is full, or the request made room for a higher tier.
    Overloaded,
    /// It could not be answered within its deadline.
    DeadlineUnreachable,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// No backend server of the service takes work.
    NoServer,
    /// This host has no configuration yet.
    NotReady,
    /// A platform service that the request needs gives no answer.
    PlatformUnavailable,
    /// A platform service's answer was lost, and the change may have taken effect.
    OutcomeUnknown,
    /// Too many connections are open.
    TooManyConnections,
    /// A request with this idempotency key was taken before.
    Duplicate,
    /// A conditional change lost against another.
    Conflict,
    /// The submitted document does not check.
    Rejected,
    /// The backend server's answer broke off.
    BackendFailed,
    /// The backend server sent nothing for too long, or the deadline passed while it worked.
    BackendSilent,
    /// The backend server answered another request.
    AnswerMismatch,
    /// Backend servers ended under the request, so it is sent to no other.
    EndsServers,
}

impl Code {
    /// The HTTP status that goes with the code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound | Self::UnknownModel => 404,
            Self::MethodNotAllowed => 405,
            Self::SlowRequest => 408,
            Self::Duplicate | Self::Conflict => 409,
            Self::BodyTooLarge => 413,
            Self::Rejected => 422,
            Self::AccountLimit | Self::RefusedByPolicy => 429,
            Self::HeadTooLarge => 431,
            Self::BackendFailed | Self::AnswerMismatch | Self::EndsServers => 502,
            Self::Overloaded
            | Self::DeadlineUnreachable
            | Self::NoServer
            | Self::NotReady
            | Self::PlatformUnavailable
            | Self::TooManyConnections => 503,
            Self::DeadlinePassed | Self::BackendSilent | Self::OutcomeUnknown => 504,
        }
    }

    /// The code as it stands in answers, logs and metrics.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::SlowRequest => "slow_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::AccountLimit => "account_limit",
            Self::RefusedByPolicy => "refused_by_policy",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoServer => "no_server",
            Self::NotReady => "not_ready",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TooManyConnections => "too_many_connections",
            Self::Duplicate => "duplicate",
            Self::Conflict => "conflict",
            Self::Rejected => "rejected",
            Self::BackendFailed => "backend_failed",
            Self::BackendSilent => "backend_silent",
            Self::AnswerMismatch => "answer_mismatch",
            Self::EndsServers => "ends_servers",
        }
    }
}

/// Why a request is refused, before it is known whether it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The stable code.
    pub code: Code,
    /// For a person.
    pub message: String,
    /// When asking again makes sense.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// A reason without a time to come back.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The deadline passed before a backend server was found.
    pub(crate) fn deadline_passed() -> Self {
        let message = "the deadline passed while the request waited";
        Self::new(Code::DeadlinePassed, message)
    }

    /// A reason with a time to come back.
    pub fn later(code: Code, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(code, message)
        }
    }
}
