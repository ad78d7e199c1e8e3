//! The section `[servers]`: what is believed of the statements of backend servers.

use serde::{Deserialize, Serialize};

/// The section `[servers]` of the settings.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Servers {
    /// Whether the pace that a server states with its load is used to forecast its running times, as far as earlier
    /// figures were right.
    pub stated_pace: bool,
    /// Whether a server that states idle slots while all are granted gets further requests, since some of the granted
    /// ones are under way.
    pub stated_load: bool,
}
