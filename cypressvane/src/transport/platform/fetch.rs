//! Takes the configuration from other hosts that have a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use super::install::{Error, activate, activate_outside};
use crate::protocol::message;
use crate::protocol::message::{CONFIG_PATH, PROTOCOL};
use crate::state::manifest::Bundle;
use crate::transport::http::client;
use crate::transport::node::Node;

/// Time in which this host's own look at the platform brings a version that another host told of, if it brings it:
/// the platform tells all hosts of a change within some milliseconds.
const OWN_LOOK: Duration = Duration::from_millis(500);
/// Most hosts that are asked in a row: the next nudge begins anew, with what is known by then.
const ASKED_MAX: usize = 3;
/// Longest time to read the configuration from another host.
const PEER_TIME: Duration = Duration::from_secs(2);
/// Largest configuration that another host may give, in bytes.
const BUNDLE_BYTES_MAX: u64 = 64 << 20;

/// Takes each version from other hosts that this host's own looks do not bring, for as long as it runs; tells
/// `overtaken` when it did.
///
/// A host that the platform turns away, or whose call is silent, else refuses what every other host serves. Each
/// heartbeat that tells of a newer version is a nudge, so a round that failed is followed by others.
pub(super) async fn keep_up(node: &Node, nudges: &Receiver<()>, overtaken: &Sender<()>) {
    // The node keeps the sender, so the channel does not close while the host runs.
    while nudges.recv().await.is_ok() {
        let told = node.links.newest_version();
        Timer::after(OWN_LOOK).await;
        // Versions that were told of meanwhile have their own time.
        if node.version() < told && newest(node).await {
            // A full channel tells it already.
            let _ = overtaken.try_send(());
        }
    }
}

/// Takes a newer version from another host that told of one; tells whether one gave it.
pub(super) async fn newest(node: &Node) -> bool {
    let before = node.version();
    let ahead = node.links.ahead_of(before);
    for address in ahead.into_iter().take(ASKED_MAX) {
        match from_host(node, address).await {
            Ok(true) => return true,
            // This host's own look has brought it meanwhile.
            Ok(false) if node.version() > before => return false,
            Ok(false) => {}
            Err(error) => {
                slog::warn!(
                    node.log, "another host gave no configuration";
                    "address" => %address, "cause" => %error,
                );
            }
        }
    }
    false
}

async fn from_host(node: &Node, address: SocketAddr) -> Result<bool, Error> {
    let mut request = client::request(Method::Get, address, CONFIG_PATH);
    request.insert_header(
        AUTHORIZATION,
        format!("Bearer {}", node.config.host.peer_key),
    );
    request.insert_header(PROTOCOL, message::VERSION);
    let reply = client::call(address, request, BUNDLE_BYTES_MAX, PEER_TIME).await?;
    if !reply.is_success() {
        return Ok(false);
    }
    let row = |cause: String| Error::Row {
        key: CONFIG_PATH.to_owned(),
        cause,
    };
    let bundle: Bundle =
        rmp_serde::from_slice(&reply.body).map_err(|error| row(error.to_string()))?;
    if bundle.manifest.digest() != bundle.record.manifest {
        return Err(row("its manifest does not match its digest".to_owned()));
    }
    let version = bundle.record.version;
    let active = if node.source.is_some() {
        let fleet = bundle.manifest.join(&bundle.texts)?;
        activate_outside(version, fleet).await?
    } else {
        activate(bundle).await?
    };
    let is_newer = node.install(active);
    if is_newer {
        node.metrics.fetched_configurations.inc();
        slog::info!(
            node.log, "this configuration was taken from another host";
            "version" => version, "address" => %address,
        );
    }
    Ok(is_newer)
}
