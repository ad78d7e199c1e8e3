//! The guarantees of the system, each tested under the failures that could break it; one file per guarantee.

#[path = "../common/mod.rs"]
mod common;

mod configuration;
mod dispatch;
mod idempotency;
mod leaving_server;
mod ledgers;
mod not_run;
mod own_answer;
mod shedding;
mod shutdown;
