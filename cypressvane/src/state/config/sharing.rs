//! The section `[sharing]`: how the capacity of pools is shared.

use serde::{Deserialize, Serialize};

/// How the capacity of pools is shared.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Sharing {
    /// Whether client accounts share each pool fairly, by their weights.
    pub accounts: bool,
}
