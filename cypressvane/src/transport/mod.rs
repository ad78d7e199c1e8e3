//! Network I/O, in one module for each kind of counterpart.
//!
//! | module | counterpart |
//! | --- | --- |
//! | `callers` | callers of completions and plain services |
//! | `gateway` | callers on routes |
//! | `backend` | backend servers of requests on routes |
//! | `network` | connections to backend servers |
//! | `peers` | the other hosts |
//! | `platform` | the platform's table service, host list and configuration source |
//! | `operators` | operators and their tools |
//!
//! The path of a request: a listener of `callers` or `gateway` admits it (`admission`, `accounts`), it waits in the
//! `scheduler` for a grant by its pool's home, and is sent on; `trace` counts and logs it.
//! `quarantine` refuses requests under which backend servers end.
//! `evacuation` keeps requests from the backend servers of evacuated data centres.
//! `rollout` selects the version of a service for each request, and tries new versions.
//! `departure` bounds all requests when this host leaves.
//! `memory` is the account of what is held for others.
//! `host` starts the listeners and tasks around one `node`, which they share. `http` has what all listeners and
//! clients need.

mod accounts;
mod active;
mod admission;
mod backend;
mod callers;
mod departure;
mod evacuation;
mod gateway;
pub mod host;
pub mod http;
pub(crate) mod memory;
mod metrics;
mod network;
mod node;
mod operators;
mod peers;
mod platform;
mod quarantine;
mod rollout;
pub mod runtime;
mod scheduler;
mod streams;
mod trace;
