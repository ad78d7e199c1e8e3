//! The section `[accounts]`: how exactly the limits of client accounts are kept.

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// The span over which an account's limit is looked at, and by how much it may be missed.
///
/// Without a window an account has its rate and burst as they stand.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Accounts {
    /// Any span of this length counts, in milliseconds; 0 for none.
    pub window_ms: f64,
    /// Part of the limit by which it may be missed.
    pub overage: f64,
    /// Tokens, or requests where a limit counts these, by which it may be missed besides.
    pub slack: f64,
}

impl Accounts {
    pub(super) fn check(&self) -> Result<(), Error> {
        within("accounts.overage", self.overage, 0.0, 1.0)?;
        within("accounts.slack", self.slack, 0.0, 1e15)?;
        within("accounts.window_ms", self.window_ms, 0.0, 3_600_000.0)
    }
}
