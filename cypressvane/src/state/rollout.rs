//! Roll-outs: what operators order, and how far one has come.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// An operators' order to move a service's traffic to the backend servers of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version that is to get its traffic.
    pub to: Name,
    /// Tells it from earlier orders of the service, and grows.
    pub number: u64,
    /// When it was first seen, by the platform's clock in milliseconds.
    pub seen_ms: u64,
    /// How long it may take.
    pub duration: Duration,
}

/// How a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Not decided yet.
    InProgress,
    /// The service's traffic goes to the new version; the servers of the old one stop.
    Completed,
    /// The service's traffic stays with the old version.
    RolledBack,
}

impl Stage {
    /// Its word in logs.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// What of a roll-out must outlast every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The order's number.
    pub number: u64,
    /// The version that is to get the traffic.
    pub to: Name,
    /// How it stands.
    pub stage: Stage,
    /// Why it was decided so; empty before.
    pub why: String,
    /// When it is due, by the platform's clock in milliseconds.
    pub due_ms: u64,
    /// Requests that may have been allotted to the new version until now: those of them that a coordinator which
    /// is gone did not hand out are lost, so that none is handed out twice.
    pub allotted: u64,
    /// Whole answers of the new version by route, so that the evidence outlasts the coordinator.
    pub answers: BTreeMap<Name, u64>,
}
