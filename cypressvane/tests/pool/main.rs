//! The home's queue, by a clock that the tests move.

mod common;
#[path = "../drawn/mod.rs"]
mod drawn;
mod early;
mod limited_load;
mod limits;
mod load;
mod lone;
mod lost;
mod queue;
mod restarts;
