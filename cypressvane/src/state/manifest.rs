//! A fleet configuration cut into parts, so that a change moves only the parts it touches.
//!
//! Accounts are spread over a fixed number of shards by the digest of their name; everything else
//! is one part. A part is stored once under its digest, a manifest lists the digests, and the record
//! of a version names the manifest. Sources: 33,000 accounts of about 150 bytes and 5,600 changes a day
//! would cost each host 320 KB/s if every change moved the whole document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::digest;
use crate::state::fleet::{Account, Fleet};

/// Number of account shards; of 33,000 accounts a change then moves about 32.
const SHARDS: u16 = 1_024;
/// Name of the part that holds everything but the accounts.
const CORE: &str = "core";

/// The key of the row that holds a recent version, where a new host begins to look.
pub(crate) const HINT_KEY: &str = "config/hint";

/// The key of a version's record.
pub(crate) fn record_key(version: u64) -> String {
    format!("config/version/{version}")
}

/// The key of a manifest's or part's text.
pub(crate) fn text_key(digest: &str) -> String {
    format!("config/text/{digest}")
}

/// The row of one accepted version; it is written once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Grows by one with each accepted submission.
    pub version: u64,
    /// Digest of the manifest.
    pub manifest: String,
    /// Unique for each submission; tells a writer that lost its answer whether it won.
    pub submission: String,
    /// The operator.
    pub author: String,
    /// When it was accepted, in seconds since the Unix epoch.
    pub accepted_at: u64,
    /// The parts that differ from the version before, so that who has that one need not read the
    /// manifest; `None` where the writer did not have it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Changes>,
}

/// The parts that differ from one version to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Digest by name of each part that is new or altered.
    pub put: BTreeMap<String, String>,
    /// Names of the parts that are gone.
    pub gone: Vec<String>,
}

/// The digests of the parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Digest by part name.
    pub parts: BTreeMap<String, String>,
}

/// A configuration cut into parts, ready to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The digests.
    pub manifest: Manifest,
    /// Each part's text by its digest.
    pub texts: BTreeMap<String, String>,
}

/// A whole version, as one host gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The version.
    pub record: Record,
    /// The digests.
    pub manifest: Manifest,
    /// Each part's text by its digest.
    pub texts: BTreeMap<String, String>,
}

/// Why parts cannot be put together.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A part is not what its digest says.
    #[error("part {0} does not match its digest")]
    Digest(String),
    /// A part is missing.
    #[error("part {0} is missing")]
    Missing(String),
    /// A part does not parse.
    #[error("part {name}: {source}")]
    Syntax {
        /// The part.
        name: String,
        /// What the parser said.
        source: serde_json::Error,
    },
}

impl Manifest {
    /// The manifest as text.
    #[must_use]
    pub fn text(&self) -> String {
        to_text(self)
    }

    /// Reads a manifest.
    ///
    /// # Errors
    /// Fails when the text is no manifest.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|source| Error::Syntax {
            name: "manifest".to_owned(),
            source,
        })
    }

    /// The digest of the manifest.
    #[must_use]
    pub fn digest(&self) -> String {
        digest::hex(self.text().as_bytes())
    }

    /// What differs from an earlier manifest.
    #[must_use]
    pub fn changes_from(&self, earlier: &Self) -> Changes {
        let is_new =
            |(name, digest): &(&String, &String)| earlier.parts.get(*name) != Some(*digest);
        let put = self.parts.iter().filter(is_new);
        let gone = earlier
            .parts
            .keys()
            .filter(|name| !self.parts.contains_key(*name));
        Changes {
            put: put
                .map(|(name, digest)| (name.clone(), digest.clone()))
                .collect(),
            gone: gone.cloned().collect(),
        }
    }

    /// The manifest that `changes` make of this one.
    #[must_use]
    pub fn with(&self, changes: &Changes) -> Self {
        let mut parts = self.parts.clone();
        parts.extend(changes.put.clone());
        for name in &changes.gone {
            parts.remove(name);
        }
        Self { parts }
    }

    /// Puts the parts together; `texts` holds each by its digest.
    ///
    /// # Errors
    /// Fails when a part is missing, altered or does not parse.
    pub fn join(&self, texts: &BTreeMap<String, String>) -> Result<Fleet, Error> {
        let mut fleet = Fleet::default();
        let mut accounts: Vec<Account> = Vec::new();
        for (name, digest) in &self.parts {
            let text = texts
                .get(digest)
                .ok_or_else(|| Error::Missing(name.clone()))?;
            if digest::hex(text.as_bytes()) != *digest {
                return Err(Error::Digest(name.clone()));
            }
            let syntax = |source| Error::Syntax {
                name: name.clone(),
                source,
            };
            if name == CORE {
                fleet = serde_json::from_str(text).map_err(syntax)?;
            } else {
                let shard: Vec<Account> = serde_json::from_str(text).map_err(syntax)?;
                accounts.extend(shard);
            }
        }
        fleet.accounts = accounts;
        Ok(fleet)
    }
}

impl Cut {
    /// Cuts a configuration into parts.
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
        let mut cut = Self {
            manifest: Manifest::default(),
            texts: BTreeMap::new(),
        };
        cut.add(CORE.to_owned(), to_text(&core));
        for (shard, mut accounts) in shards {
            accounts.sort_by(|one, other| one.name.cmp(&other.name));
            cut.add(format!("accounts-{shard}"), to_text(&accounts));
        }
        cut
    }

    /// All rows of a version, the record last: once it stands, the version is accepted.
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
        let digest = digest::hex(text.as_bytes());
        self.manifest.parts.insert(name, digest.clone());
        self.texts.insert(digest, text);
    }
}

/// Writes a value whose types always have a JSON form.
fn to_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values have a JSON form")
}

fn shard(name: &str) -> u16 {
    /// Hexadecimal digits that give 16 bits.
    const DIGITS: usize = 4;
    let digest = digest::hex(name.as_bytes());
    let bits = u16::from_str_radix(&digest[..DIGITS], 16).expect("a digest is hexadecimal");
    bits % SHARDS
}
