//! A fleet configuration split into parts, so that a change transfers only the parts that it affects.
//!
//! Accounts are distributed over a fixed number of shards by the digest of their name; everything else is one part. A
//! part is stored once under its digest, a manifest lists the digests, and the record of a version refers to the
//! manifest. With 33,000 accounts of about 150 bytes and 5,600 changes a day, transferring the whole document for each
//! change would cost each host 320 KB/s.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::digest;
use crate::state::fleet::{Account, Fleet};

/// Number of account shards; with 33,000 accounts, a change to one transfers about 32.
const SHARDS: u16 = 1_024;
/// Name of the part that contains everything except the accounts.
const CORE: &str = "core";

/// Key of the row with a recent version number, from which a new host starts its search for the newest version.
pub(crate) const HINT_KEY: &str = "config/hint";

/// Returns the key of a version's record.
pub(crate) fn record_key(version: u64) -> String {
    format!("config/version/{version}")
}

/// Returns the key of the text of a manifest or part.
pub(crate) fn text_key(digest: &str) -> String {
    format!("config/text/{digest}")
}

/// Record of one accepted version; its row is written once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version number; increases by one with each accepted submission.
    pub version: u64,
    /// Digest of the manifest.
    pub manifest: String,
    /// Unique for each submission; lets a writer that received no answer detect whether its write succeeded.
    pub submission: String,
    /// Operator who submitted it.
    pub author: String,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub accepted_at: u64,
    /// Changes from the previous version, so that hosts that have it need not read the manifest; `None` if the writer
    /// did not have the previous version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Changes>,
}

/// Parts that differ between two versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Digest of each added or modified part, by name.
    pub put: BTreeMap<String, String>,
    /// Names of the removed parts.
    pub gone: Vec<String>,
}

/// The digests of a version's parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Digest of each part, by name.
    pub parts: BTreeMap<String, String>,
}

/// A configuration split into parts, ready to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Digests of the parts.
    pub manifest: Manifest,
    /// Text of each part, by digest.
    pub texts: BTreeMap<String, String>,
}

/// A complete version, as one host transfers it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Record of the version.
    pub record: Record,
    /// Digests of the parts.
    pub manifest: Manifest,
    /// Text of each part, by digest.
    pub texts: BTreeMap<String, String>,
}

/// Reason for which a manifest or its parts cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A part does not match its digest.
    #[error("part {0} does not match its digest")]
    Digest(String),
    /// A part is missing.
    #[error("part {0} is missing")]
    Missing(String),
    /// A part or the manifest does not parse.
    #[error("part {name}: {source}")]
    Syntax {
        /// Name of the part.
        name: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

impl Manifest {
    /// Serializes the manifest to JSON.
    #[must_use]
    pub fn text(&self) -> String {
        to_text(self)
    }

    /// Parses a manifest.
    ///
    /// # Errors
    /// Fails if the text is not a valid manifest.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|source| Error::Syntax {
            name: "manifest".to_owned(),
            source,
        })
    }

    /// Returns the digest of the manifest's JSON form.
    #[must_use]
    pub fn digest(&self) -> String {
        digest::sha256_hex(self.text().as_bytes())
    }

    /// Returns the changes from an earlier manifest to this one.
    #[must_use]
    pub fn changes_from(&self, earlier: &Self) -> Changes {
        let is_new =
            |(name, digest): &(&String, &String)| earlier.parts.get(*name) != Some(*digest);
        let put = self.parts.iter().filter(is_new);
        let removed = earlier
            .parts
            .keys()
            .filter(|name| !self.parts.contains_key(*name));
        Changes {
            put: put
                .map(|(name, digest)| (name.clone(), digest.clone()))
                .collect(),
            gone: removed.cloned().collect(),
        }
    }

    /// Returns this manifest with `changes` applied.
    #[must_use]
    pub fn apply(&self, changes: &Changes) -> Self {
        let mut parts = self.parts.clone();
        parts.extend(changes.put.clone());
        for name in &changes.gone {
            parts.remove(name);
        }
        Self { parts }
    }

    /// Assembles the configuration from its parts; `texts` maps digests to texts.
    ///
    /// # Errors
    /// Fails if a part is missing, does not match its digest or does not parse.
    pub fn assemble(&self, texts: &BTreeMap<String, String>) -> Result<Fleet, Error> {
        let mut fleet = Fleet::default();
        let mut accounts: Vec<Account> = Vec::new();
        for (name, digest) in &self.parts {
            let text = texts
                .get(digest)
                .ok_or_else(|| Error::Missing(name.clone()))?;
            if digest::sha256_hex(text.as_bytes()) != *digest {
                return Err(Error::Digest(name.clone()));
            }
            let syntax_error = |source| Error::Syntax {
                name: name.clone(),
                source,
            };
            if name == CORE {
                fleet = serde_json::from_str(text).map_err(syntax_error)?;
            } else {
                let shard: Vec<Account> = serde_json::from_str(text).map_err(syntax_error)?;
                accounts.extend(shard);
            }
        }
        fleet.accounts = accounts;
        Ok(fleet)
    }
}

impl Partition {
    /// Splits a configuration into parts.
    #[must_use]
    pub fn new(fleet: &Fleet) -> Self {
        let mut shards: BTreeMap<u16, Vec<&Account>> = BTreeMap::new();
        for account in &fleet.accounts {
            shards
                .entry(shard(&account.name))
                .or_default()
                .push(account);
        }
        let core = Fleet {
            accounts: Vec::new(),
            ..fleet.clone()
        };
        let mut partition = Self {
            manifest: Manifest::default(),
            texts: BTreeMap::new(),
        };
        partition.add(CORE.to_owned(), to_text(&core));
        for (shard, mut accounts) in shards {
            accounts.sort_by(|one, other| one.name.cmp(&other.name));
            partition.add(format!("accounts-{shard}"), to_text(&accounts));
        }
        partition
    }

    /// Returns all rows of a version, the record last: writing the record accepts the version.
    #[must_use]
    pub fn rows(&self, record: &Record) -> Vec<(String, String)> {
        let texts = self
            .texts
            .iter()
            .map(|(digest, text)| (text_key(digest), text.clone()));
        let manifest = (text_key(&record.manifest), self.manifest.text());
        let record = (record_key(record.version), to_text(record));
        texts.chain([manifest, record]).collect()
    }

    fn add(&mut self, name: String, text: String) {
        let digest = digest::sha256_hex(text.as_bytes());
        self.manifest.parts.insert(name, digest.clone());
        self.texts.insert(digest, text);
    }
}

/// Serializes a value whose type always has a JSON form.
fn to_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values have a JSON form")
}

/// Returns the shard of an account, by the digest of its name.
fn shard(name: &str) -> u16 {
    /// Number of hexadecimal digits in 16 bits.
    const DIGITS: usize = 4;
    let digest = digest::sha256_hex(name.as_bytes());
    let bits = u16::from_str_radix(&digest[..DIGITS], 16).expect("a digest is hexadecimal");
    bits % SHARDS
}
