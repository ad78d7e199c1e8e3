//! The section `[host]`: identity and location of this host.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::{Error, check_range};
use crate::state::digest::Key;
use crate::state::name::Name;

/// Minimum length of the shared peer key, in bytes.
const PEER_KEY_BYTES_MIN: usize = 16;

/// Identity and location of this host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Region of the host.
    pub region: Name,
    /// Key shared by all hosts, with which they authenticate to each other.
    pub peer_key: String,
    /// SHA-256 of a key that may submit the first configuration; ignored once a configuration with operators is in
    /// force. If the configuration is stored outside the table service, the operators' key of this host.
    #[serde(default)]
    pub bootstrap_key_sha256: Option<String>,
    /// Local address of the connections to backend servers; the system selects one if absent.
    #[serde(default)]
    pub source_address: Option<IpAddr>,
    /// Worker threads; 0 for one per core.
    ///
    /// One thread handles more tokens than two threads that share the load: see `docs/MEASUREMENTS.md`.
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
        check_range("host.threads", self.threads as u64, 0, 256)
    }
}
