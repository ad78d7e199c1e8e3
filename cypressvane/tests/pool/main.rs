//! The home's queue, by a clock that the tests move.

mod common;
mod early;
mod load;
mod lone;
mod lost;
mod queue;
