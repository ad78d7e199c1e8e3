//! A request scheduler for heterogeneous model engines and plain HTTP services.
//!
//! The library is organized in layers; each layer uses only the layers below it:
//!
//! | layer | responsibility |
//! | --- | --- |
//! | `transport` | network I/O with callers, backend servers, peers, the platform and operators |
//! | `protocol` | message formats: errors, headers, request bodies, peer messages, state dumps |
//! | `coordination` | scheduling decisions without I/O |
//! | `state` | shared data types: names, settings, fleet configuration, platform interface |
//!
//! This root module re-exports the whole public API.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod coordination;
mod protocol;
#[cfg(test)]
#[path = "../tests/seeded/mod.rs"]
mod seeded;
mod state;
mod transport;

pub use crate::coordination::{backoff, budget, limit, policy, pool, retention, shard};
/// Roll-outs: the operators' orders, the stored progress and the decision logic.
pub mod rollout {
    pub use crate::coordination::rollout::{Bounds, Instruction, Report, Rollout, Summary, Tally};
    pub use crate::state::rollout::{Order, Progress, Stage};
}
pub use crate::protocol::{dump, events, headers, prompt, refusal};
pub use crate::state::{
    clock, config, digest, fingerprint, fleet, manifest, name, order, platform,
};
pub use crate::transport::http::{client, server};
/// The account of the memory that a process holds for others.
pub mod memory {
    pub use crate::transport::memory::Memory;
}
pub use crate::transport::{host, runtime};
