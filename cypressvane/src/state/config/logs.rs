//! The section `[logs]`: what this host logs.

use serde::{Deserialize, Serialize};

use super::{Error, within};

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

/// What this host logs, as JSON lines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Logs {
    /// The least severe level that is logged.
    pub level: Level,
    /// Most lines a second; more are left out and counted in a line.
    pub lines_per_second: u32,
    /// Whether they go to standard error rather than standard output.
    pub to_stderr: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: Level::default(),
            // A host's share of the plan is 75 requests a second, of at most a few lines each.
            lines_per_second: 500,
            to_stderr: false,
        }
    }
}

impl Logs {
    pub(super) fn check(&self) -> Result<(), Error> {
        within(
            "logs.lines_per_second",
            self.lines_per_second,
            10,
            1_000_000,
        )
    }
}
