//! Decisions, as plain values in and values out: no sockets, and time is an argument.

pub(crate) mod admission;
mod bucket;
pub mod budget;
pub(crate) mod demand;
mod estimate;
mod forecast;
mod health;
pub(crate) mod home;
pub mod lapse;
pub mod limit;
pub(crate) mod offer;
mod pauses;
pub mod policy;
pub mod pool;
pub(crate) mod queue;
mod returns;
pub(crate) mod server;
pub(crate) mod servers;
mod speed;
