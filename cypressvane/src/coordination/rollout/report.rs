//! Messages between hosts and the coordinator of a roll-out, and the summary for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Tally;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// A host's report on a service that has an open order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that the host has sent since it learned of the order.
    pub requests: u64,
    /// Requests that the host was allowed for the canaries, has not sent and will not send.
    pub returned: u64,
    /// Answers of the old version since the last report, by route; the times are samples.
    pub old: BTreeMap<Name, Tally>,
    /// Answers of the new version since the last report, by route.
    pub new: BTreeMap<Name, Tally>,
}

/// The coordinator's instruction to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Instruction {
    /// Send at most this many requests to the new version until the next report.
    Canary(u64),
    /// Send all requests to the new version.
    All,
    /// Send no requests to the new version.
    Nothing,
    /// The roll-out has ended in this stage.
    Ended(Stage),
}

/// A summary of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// `canary`, `all`, `completed` or `rolled_back`.
    pub phase: &'static str,
    /// Why it was decided so, or what evidence is missing.
    pub why: String,
    /// Requests of the service that hosts have reported.
    pub requests: u64,
    /// Requests that hosts were allowed for the canaries, less those that they returned unsent.
    pub dealt: u64,
    /// Whole answers of the new version.
    pub answers: u64,
    /// Failures of the new version.
    pub failures: u64,
}
