//! Request fingerprints, which identify repeated sendings of the same request.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Length of the truncated digest in bytes; 128 bits are still enough to make finding a collision infeasible.
const DIGEST_BYTES: usize = 16;

/// The properties that identify a request, independent of the attempt, its time and the receiving host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity<'a> {
    /// The client account; `None` on a public route. It is part of the identity so that an account's request cannot
    /// be mistaken for that of another account.
    pub account: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The host from the request, without the port.
    pub host: &'a str,
    /// The path with the query.
    pub target: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// Truncated SHA-256 digest of a request's identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; DIGEST_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request; this takes about 1 ms per megabyte of body.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut hasher = Sha256::new();
        // Distinguishes a missing account from one with an empty name.
        hasher.update([u8::from(identity.account.is_some())]);
        let fields = [
            identity.account.unwrap_or_default().as_bytes(),
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.target.as_bytes(),
            identity.body,
        ];
        for field in fields {
            // The length prefix keeps bytes at a field boundary from shifting into the neighboring field.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        Self::truncate(hasher)
    }

    /// Computes the fingerprint of a part that prompts may share.
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        /// Differs from the first byte of a request, which says whether the request has an account.
        const PART: u8 = 2;
        let mut hasher = Sha256::new();
        hasher.update([PART]);
        hasher.update(id.as_bytes());
        Self::truncate(hasher)
    }

    fn truncate(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Returns the first eight bytes as a big-endian number.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_be_bytes(bytes)
    }

    /// Parses a fingerprint; `None` unless `text` is 32 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; DIGEST_BYTES];
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
