//! Data types shared by all layers: names, settings, fleet configuration, platform interface, refusal reasons.

pub mod clock;
pub mod config;
pub mod digest;
pub mod fingerprint;
pub mod fleet;
pub mod manifest;
pub mod name;
pub mod order;
pub(crate) mod pace;
pub mod platform;
pub(crate) mod reason;
pub mod rollout;
pub(crate) mod units;
