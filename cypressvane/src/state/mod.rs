//! What a host knows: names, settings, fleet configuration and the platform's contract.

pub mod config;
pub mod digest;
pub mod fleet;
pub mod manifest;
pub mod name;
pub mod order;
pub mod platform;
pub(crate) mod units;
