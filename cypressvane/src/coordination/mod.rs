//! Decisions, as plain values in and values out: no sockets, and time is an argument.

mod bucket;
pub mod budget;
pub(crate) mod demand;
pub(crate) mod home;
pub mod lapse;
pub mod limit;
pub(crate) mod offer;
pub(crate) mod patience;
pub mod policy;
pub mod pool;
pub(crate) mod queue;
pub(crate) mod server;
pub(crate) mod servers;
