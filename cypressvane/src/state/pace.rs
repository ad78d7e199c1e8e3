//! How long work takes on a backend server, in percent of the usual time.

use std::ops::RangeInclusive;

/// Pace of a server whose work takes the usual time.
pub(crate) const USUAL_PACE: u32 = 100;
/// Paces that are believed; a figure outside this range is an error of the server.
pub(crate) const PACE_RANGE: RangeInclusive<u32> = 1..=10_000;
