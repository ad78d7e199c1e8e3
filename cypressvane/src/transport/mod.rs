//! Sockets, by who is spoken to.
//!
//! | module | speaks to |
//! | --- | --- |
//! | `callers` | callers of completions and plain services |
//! | `gateway` | callers on routes |
//! | `backend` | backend servers of requests on routes |
//! | `peers` | the other hosts |
//! | `platform` | the platform's table service and host list |
//! | `operators` | operators and their tools |
//!
//! A request's way: a listener of `callers` or `gateway` admits it (`admission`, `accounts`), it waits
//! at the `desk` for the grant of its pool's home, and is sent on; `trace` counts and logs it.
//! `quarantine` keeps those from the servers under which these end.
//! `rollout` chooses between the versions of a service, and tries new ones.
//! `host` starts all of that around one `node`, which the tasks share. `http` has what all
//! listeners and clients need.

mod accounts;
mod active;
mod admission;
mod backend;
mod callers;
mod desk;
mod gateway;
pub mod host;
pub mod http;
mod metrics;
mod node;
mod operators;
mod peers;
mod platform;
mod quarantine;
mod rollout;
pub mod runtime;
mod trace;
