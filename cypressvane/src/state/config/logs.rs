//! The section `[logs]`: what this host logs.

use serde::{Deserialize, Serialize};

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only errors.
    Error,
    /// Warnings and above.
    Warning,
    /// One line for each request, and above.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// What this host logs, as JSON lines on standard error.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Logs {
    /// The least severe level that is logged.
    pub level: Level,
}
