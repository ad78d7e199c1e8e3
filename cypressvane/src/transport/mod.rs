//! Sockets: callers, backend servers, peers, platform and operators.

mod admission;
mod answer;
mod backend;
mod callers;
mod claim;
pub mod client;
mod desk;
mod dispatch;
mod follow;
mod gateway;
pub mod host;
mod links;
mod metrics;
mod node;
mod open;
mod operators;
mod orders;
mod peers;
mod platform;
mod relay;
mod roster;
mod route;
pub mod runtime;
pub mod server;
mod socket;
mod submit;
mod trace;
