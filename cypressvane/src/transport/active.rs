//! The configuration in force.

use std::collections::BTreeMap;

use crate::coordination::policy;
use crate::state::fleet::{Fleet, Index};
use crate::state::manifest::{Bundle, Manifest, Record};

/// A configuration in force with all that is derived from it.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) record: Record,
    pub(crate) manifest: Manifest,
    /// Each part's text by its digest; what a later version shares is not read again.
    pub(crate) texts: BTreeMap<String, String>,
    pub(crate) index: Index,
    pub(crate) policies: policy::Set,
}

impl Active {
    /// A version that another place than the table service keeps.
    pub(crate) fn outside(version: u64, fleet: Fleet) -> Result<Self, policy::Error> {
        let policies = policy::Set::compile(&fleet)?;
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
        })
    }

    /// The version as another host takes it.
    pub(crate) fn bundle(&self) -> Bundle {
        Bundle {
            record: self.record.clone(),
            manifest: self.manifest.clone(),
            texts: self.texts.clone(),
        }
    }
}
