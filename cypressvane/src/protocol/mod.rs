//! Message formats: refusals, headers, request bodies, messages between hosts and state dumps; and the request's
//! life cycle.

pub mod dump;
pub mod events;
pub mod headers;
pub(crate) mod message;
mod notice;
pub mod prompt;
pub(crate) mod reach;
pub mod refusal;
pub(crate) mod request;
pub(crate) mod ruling;
