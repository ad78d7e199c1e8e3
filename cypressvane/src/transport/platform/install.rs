//! Checks versions of the configuration and makes ready what the path of a request needs of them.

use std::sync::OnceLock;

use crate::coordination::policy;
use crate::state::fleet::{self, Fleet, Index};
use crate::state::manifest::{self, Bundle};
use crate::state::platform;
use crate::transport::active::Active;
use crate::transport::http::client;

/// Why a version is not put in force.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The table service gave no answer.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The other host gave no answer.
    #[error(transparent)]
    Peer(#[from] client::Error),
    /// A row is not what it should be.
    #[error("row {key}: {cause}")]
    Row {
        /// The row.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// The parts do not make a configuration.
    #[error(transparent)]
    Parts(#[from] manifest::Error),
    /// The configuration does not check.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A policy program does not compile.
    #[error(transparent)]
    Policy(#[from] policy::Error),
}

/// Checks a version off the worker threads: a large one takes longer than tokens may be held back.
pub(super) async fn activate(bundle: Bundle) -> Result<Active, Error> {
    smol::unblock(move || derive(bundle)).await
}

/// Checks a version and derives what the request path needs.
fn derive(bundle: Bundle) -> Result<Active, Error> {
    let fleet = bundle.manifest.join(&bundle.texts)?;
    fleet.check()?;
    let policies = policy::Set::compile(&fleet)?;
    Ok(Active {
        record: bundle.record,
        manifest: bundle.manifest,
        texts: bundle.texts,
        index: Index::new(fleet),
        policies,
        packed: OnceLock::new(),
    })
}

/// The same for a version that another place than the table service keeps.
pub(super) async fn activate_outside(version: u64, fleet: Fleet) -> Result<Active, Error> {
    let active = smol::unblock(move || {
        fleet.check()?;
        Ok::<_, Error>(Active::outside(version, fleet)?)
    });
    active.await
}
