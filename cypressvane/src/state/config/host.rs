//! The section `[host]`: who and where this host is.

use serde::{Deserialize, Serialize};

use super::{Error, within};
use crate::state::digest::Key;
use crate::state::name::Name;

/// Shortest key that hosts may share, in bytes.
const PEER_KEY_BYTES_MIN: usize = 16;

/// Who and where this host is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
    /// The key that all hosts share, which proves them to each other.
    pub peer_key: String,
    /// SHA-256 of a key that may submit the first configuration; of no use once there is one that
    /// names operators. Where the configuration is kept elsewhere, the operators' key of this host.
    #[serde(default)]
    pub bootstrap_key_sha256: Option<String>,
    /// Worker threads; 0 takes one for each core.
    ///
    /// One thread carries more tokens than two share: see `docs/MEASUREMENTS.md`.
    #[serde(default = "Host::default_threads")]
    pub threads: usize,
}

impl Host {
    fn default_threads() -> usize {
        1
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        if self.name.is_empty() {
            return Err(Error {
                key: "host.name",
                found: "an empty name".to_owned(),
                allowed: "1 or more characters".to_owned(),
            });
        }
        if self.peer_key.len() < PEER_KEY_BYTES_MIN {
            return Err(Error {
                key: "host.peer_key",
                found: format!("{} bytes", self.peer_key.len()),
                allowed: format!("{PEER_KEY_BYTES_MIN} bytes or more"),
            });
        }
        let bootstrap = self.bootstrap_key_sha256.as_deref();
        if let Some(text) = bootstrap.filter(|text| Key::parse(text).is_none()) {
            return Err(Error {
                key: "host.bootstrap_key_sha256",
                found: format!("{} characters", text.len()),
                allowed: "64 hexadecimal digits".to_owned(),
            });
        }
        within("host.threads", self.threads as u64, 0, 256)
    }
}
