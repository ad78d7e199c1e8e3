//! Tells whether two requests of callers are the same one, sent again.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes that are kept of the digest: still too many to find another request with the same ones.
const BYTES: usize = 16;

/// What makes a request the same, whichever attempt it is, whenever it comes and at whichever host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity<'a> {
    /// The client account; `None` on a public route. Part of it, so that no account can have another's
    /// request taken for its own.
    pub account: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host that the caller named, without its port.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A digest of what makes a request the same.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request; a body of a megabyte takes about a millisecond.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut hasher = Sha256::new();
        // No account is told from one without a name.
        hasher.update([u8::from(identity.account.is_some())]);
        let fields = [
            identity.account.unwrap_or_default().as_bytes(),
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.target.as_bytes(),
            identity.body,
        ];
        for field in fields {
            // With its length ahead, no field can run into the next.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest[..BYTES]);
        Self(bytes)
    }

    /// Its first bytes as a number.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_be_bytes(bytes)
    }

    /// Reads it from hexadecimal; `None` unless it is 32 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

#[cfg(test)]
#[path = "fingerprint_tests.rs"]
mod tests;
