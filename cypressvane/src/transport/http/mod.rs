//! HTTP towards callers, operators, other hosts, the platform and backend servers, on `async-h1`.
//!
//! `listener` and `keepalive` also serve the connections of `gateway` and `backend`, which use `hyper`.

pub(crate) mod answer;
pub mod client;
pub(crate) mod connect;
mod framing;
pub(crate) mod head;
pub(crate) mod hop_by_hop;
pub(crate) mod keepalive;
pub(crate) mod listener;
pub(crate) mod metered;
pub(crate) mod open_count;
pub mod server;
mod socket;
