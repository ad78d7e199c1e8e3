//! What hosts and the coordinator of a roll-out tell each other, and operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Tally;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// What a host tells of a service while an order on it stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that it has sent since it knows of the order.
    pub requests: u64,
    /// Requests that it was allowed for the canaries and has not sent, nor will.
    pub returned: u64,
    /// Answers of the old version since the last report, by route; times are samples.
    pub old: BTreeMap<Name, Tally>,
    /// Answers of the new version.
    pub new: BTreeMap<Name, Tally>,
}

/// What a host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// To send so many requests to the new version, and no others.
    Canary(u64),
    /// To send all requests there.
    All,
    /// To send none there.
    Nothing,
    /// The roll-out has ended so.
    Ended(Stage),
}

/// A roll-out in short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shown {
    /// `canary`, `all`, `completed` or `rolled_back`.
    pub phase: &'static str,
    /// Why it was decided so, or what is missing.
    pub why: String,
    /// Requests of the service that hosts have told of.
    pub requests: u64,
    /// Requests that hosts were allowed for the canaries.
    pub dealt: u64,
    /// Whole answers of the new version.
    pub answers: u64,
    /// Failures of the new version.
    pub failures: u64,
}
