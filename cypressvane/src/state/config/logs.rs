//! The section `[logs]`: log level, rate and destination.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Minimum level of logged lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings and above.
    Warning,
    /// One line per request, and warnings and above.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Settings of the log, which is written as JSON lines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Logs {
    /// Minimum level of logged lines.
    pub level: Level,
    /// Maximum number of lines per second; excess lines are dropped, and a line reports their number.
    pub lines_per_second: u32,
    /// Whether lines are written to standard error instead of standard output.
    pub to_stderr: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: Level::default(),
            // The planned load of one host is 75 requests per second with at most a few lines each.
            lines_per_second: 500,
            to_stderr: false,
        }
    }
}

impl Logs {
    pub(super) fn check(&self) -> Result<(), Error> {
        check_range(
            "logs.lines_per_second",
            self.lines_per_second,
            10,
            1_000_000,
        )
    }
}
