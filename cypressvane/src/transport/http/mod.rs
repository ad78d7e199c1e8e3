//! HTTP towards callers, operators, hosts and backend servers, by `async-h1`.

pub(crate) mod answer;
pub mod client;
mod framing;
pub(crate) mod head;
pub(crate) mod keepalive;
pub(crate) mod listener;
mod open;
pub mod server;
mod socket;
