//! A request scheduler for unlike engines.
//!
//! The library is arranged in layers, each using only those below it:
//!
//! | layer | job |
//! | --- | --- |
//! | `transport` | sockets: callers, backend servers, peers, platform, operators |
//! | `protocol` | what is said: errors, request bodies, peer messages, dumps |
//! | `coordination` | decisions, as plain values in and values out |
//! | `state` | names, settings, fleet configuration, the platform's contract |
//!
//! This root module lists everything that is public.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod coordination;
#[cfg(test)]
#[path = "../tests/drawn/mod.rs"]
mod drawn;
mod protocol;
mod state;
mod transport;

pub use crate::coordination::{backoff, budget, lapse, limit, policy, pool, shard};
/// Roll-outs: what operators order and what is kept of one, and how they are decided.
pub mod rollout {
    pub use crate::coordination::rollout::{Bounds, Report, Rollout, Shown, Tally, Word};
    pub use crate::state::rollout::{Order, Progress, Stage};
}
pub use crate::protocol::{dump, events, exchange, prompt, refusal};
pub use crate::state::{
    clock, config, digest, fingerprint, fleet, manifest, name, order, platform,
};
pub use crate::transport::http::{client, server};
pub use crate::transport::{host, runtime};
