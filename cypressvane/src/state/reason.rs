//! Reasons for which a request is refused or fails, with an optional retry time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The stable, machine-readable code of a refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The path does not exist.
    NotFound,
    /// The model or service does not exist.
    UnknownModel,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The caller sent the request too slowly.
    SlowRequest,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The account exceeds its limits.
    AccountLimit,
    /// The policy program refused the request.
    RefusedByPolicy,
    /// The queue is full, or the request was evicted in favor of a higher tier.
    Overloaded,
    /// The request is not expected to be answered within its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No backend server of the service accepts requests.
    NoServer,
    /// This host has no configuration yet.
    NotReady,
    /// A platform service that the request depends on does not answer.
    PlatformUnavailable,
    /// The answer of a platform service was lost; the change may have taken effect.
    OutcomeUnknown,
    /// This host has no memory left for the body.
    MemoryFull,
    /// Too many connections are open.
    TooManyConnections,
    /// A request with this idempotency key was already accepted.
    Duplicate,
    /// A conditional update failed because of a concurrent one.
    Conflict,
    /// The submitted document fails validation.
    Rejected,
    /// The backend server's answer was interrupted.
    BackendFailed,
    /// The backend server sent no data for too long, or the deadline passed while the request was running.
    BackendSilent,
    /// The backend server answered a different request.
    AnswerMismatch,
    /// Several backend servers ended while running the request, so it is quarantined.
    EndsServers,
}

impl Code {
    /// Returns the HTTP status for the code.
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
            | Self::MemoryFull
            | Self::TooManyConnections => 503,
            Self::DeadlinePassed | Self::BackendSilent | Self::OutcomeUnknown => 504,
        }
    }

    /// Returns the code as it appears in answers, logs and metrics.
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
            Self::MemoryFull => "memory_full",
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

/// Reason of a refusal or failure, without the information whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The stable code.
    pub code: Code,
    /// Human-readable description.
    pub message: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Creates a reason without a retry delay.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates the reason for a request whose deadline passed while it waited.
    pub(crate) fn deadline_passed() -> Self {
        let message = "the deadline passed while the request waited";
        Self::new(Code::DeadlinePassed, message)
    }

    /// Creates a reason with a retry delay.
    pub fn with_retry_after(code: Code, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(code, message)
        }
    }
}
