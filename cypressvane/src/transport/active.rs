//! The configuration in force.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use crate::coordination::policy;
use crate::state::fleet::{Fleet, Index};
use crate::state::manifest::{Bundle, Manifest, Partition, Record};

/// A configuration in force with everything derived from it.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) record: Record,
    pub(crate) manifest: Manifest,
    /// The text of each part by its digest; a part that a later version shares is not read again.
    pub(crate) texts: BTreeMap<String, String>,
    pub(crate) index: Index,
    pub(crate) policies: policy::Programs,
    /// The encoded bundle for other hosts; made when the first one requests it.
    pub(crate) encoded: OnceLock<Vec<u8>>,
}

impl Active {
    /// A version from a configuration source other than the table service.
    pub(crate) fn external(version: u64, fleet: Fleet) -> Result<Self, policy::Error> {
        let policies = policy::Programs::compile(&fleet)?;
        let record = Record {
            version,
            manifest: String::new(),
            submission: String::new(),
            author: "platform".to_owned(),
            accepted_at: 0,
            changes: None,
        };
        Ok(Self {
            record,
            manifest: Manifest::default(),
            texts: BTreeMap::new(),
            index: Index::new(fleet),
            policies,
            encoded: OnceLock::new(),
        })
    }

    /// The version as an encoded `Bundle` for other hosts. The first call on a large version takes long, since it
    /// encodes the version, and cuts one that is not in parts yet.
    pub(crate) fn encoded(&self) -> &[u8] {
        self.encoded.get_or_init(|| {
            let bundle = rmp_serde::to_vec(&self.bundle());
            bundle.expect("plain values have a MessagePack form")
        })
    }

    fn bundle(&self) -> Bundle {
        let (mut record, mut manifest) = (self.record.clone(), self.manifest.clone());
        let mut texts = self.texts.clone();
        if manifest.parts.is_empty() {
            // The version comes from a source other than the table service, which does not cut it into parts.
            let cut = Partition::new(&self.index.fleet);
            record.manifest = cut.manifest.digest();
            (manifest, texts) = (cut.manifest, cut.texts);
        }
        Bundle {
            record,
            manifest,
            texts,
        }
    }
}
