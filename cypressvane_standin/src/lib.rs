//! Test doubles for the systems around cypressvane, and the harness of its tests and measurements.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod answer;
pub mod audit;
mod cache;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod logs;
pub mod plain;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod usage;
