//! SHA-256 digests of keys and documents.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// SHA-256 digest of a bearer key; `matches` compares in constant time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key([u8; DIGEST_BYTES]);

impl Key {
    /// Hashes a key in the form in which the client presents it.
    #[must_use]
    pub fn of(presented: &str) -> Self {
        Self(Sha256::digest(presented.as_bytes()).into())
    }

    /// Parses a digest; `None` unless `text` is 64 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns whether two digests are equal, in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}
