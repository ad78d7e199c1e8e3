//! What is said: refusals, the request's life cycle, request bodies, messages between hosts, dumps.

pub mod dump;
pub mod events;
pub mod exchange;
pub(crate) mod message;
pub mod prompt;
pub mod refusal;
pub(crate) mod request;
pub(crate) mod ruling;
