//! The section `[admission]`: how refused callers are asked to return.

use serde::{Deserialize, Serialize};

/// What callers that are refused early may rely on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Admission {
    /// Whether the retry time of a refused request is a reservation: the request is served if it returns then.
    pub reservations: bool,
}
