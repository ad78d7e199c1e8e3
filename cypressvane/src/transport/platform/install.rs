//! Checks configuration versions and derives what the request path needs from them.

use std::sync::OnceLock;

use crate::coordination::policy;
use crate::state::fleet::{self, Fleet, Index};
use crate::state::manifest::{self, Bundle};
use crate::state::platform;
use crate::transport::active::Active;
use crate::transport::http::client;

/// Why a version is not installed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The call to the other host failed.
    #[error(transparent)]
    Peer(#[from] client::Error),
    /// A row, or what another host sent, is missing or invalid.
    #[error("row {key}: {cause}")]
    Row {
        /// The key of the row, or the path at the other host.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// The parts do not form a configuration.
    #[error(transparent)]
    Parts(#[from] manifest::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A policy program does not compile.
    #[error(transparent)]
    Policy(#[from] policy::Error),
}

/// Checks a version on a blocking thread: a large one takes longer than tokens may be delayed on a worker thread.
pub(super) async fn activate(bundle: Bundle) -> Result<Active, Error> {
    smol::unblock(move || derive(bundle)).await
}

/// Checks a version and derives what the request path needs from it.
fn derive(bundle: Bundle) -> Result<Active, Error> {
    let fleet = bundle.manifest.assemble(&bundle.texts)?;
    // Submissions were checked in full, and the platform's states follow rules of their own.
    fleet.check_consistency()?;
    let policies = policy::Programs::compile(&fleet)?;
    Ok(Active {
        record: bundle.record,
        manifest: bundle.manifest,
        texts: bundle.texts,
        index: Index::new(fleet),
        policies,
        encoded: OnceLock::new(),
    })
}

/// Checks a version that is not kept in the table service, on a blocking thread too, and derives what the request path
/// needs from it.
pub(super) async fn activate_external(version: u64, fleet: Fleet) -> Result<Active, Error> {
    let active = smol::unblock(move || {
        fleet.check_consistency()?;
        Ok::<_, Error>(Active::external(version, fleet)?)
    });
    active.await
}
