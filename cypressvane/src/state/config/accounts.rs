//! The section `[accounts]`: tolerances for enforcing the limits of client accounts.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// The window over which an account's limit is evaluated, and the tolerated deviation from it.
///
/// Without a window, the account's rate and burst apply without a tolerance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Accounts {
    /// Length of the sliding window in milliseconds; 0 for no window.
    pub window_ms: f64,
    /// Tolerated deviation, as a fraction of the limit.
    pub overage: f64,
    /// Additional tolerated deviation in tokens, or in requests for a limit on requests.
    pub slack: f64,
}

impl Accounts {
    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("accounts.overage", self.overage, 0.0, 1.0)?;
        check_range("accounts.slack", self.slack, 0.0, 1e15)?;
        check_range("accounts.window_ms", self.window_ms, 0.0, 3_600_000.0)
    }
}
