//! Turns of requests that share a suspected feature, of which one runs at a time on this host.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use crate::state::fingerprint::Fingerprint;
use crate::transport::runtime::lock;

/// The features of which a request runs.
#[derive(Debug, Default)]
pub(super) struct Turns {
    taken: Arc<Mutex<HashSet<Fingerprint>>>,
}

/// The right of a request to run; dropping it lets the next one run.
#[derive(Debug)]
pub(crate) struct Turn {
    taken: Arc<Mutex<HashSet<Fingerprint>>>,
    features: Vec<Fingerprint>,
}

impl Turns {
    /// Takes the turns of all features; `None` if one is taken.
    pub(super) fn take(&self, features: Vec<Fingerprint>) -> Option<Turn> {
        let mut taken = lock(&self.taken);
        if features.iter().any(|feature| taken.contains(feature)) {
            return None;
        }
        taken.extend(&features);
        Some(Turn {
            taken: Arc::clone(&self.taken),
            features,
        })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let mut taken = lock(&self.taken);
        for feature in &self.features {
            taken.remove(feature);
        }
    }
}
