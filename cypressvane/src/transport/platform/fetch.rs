//! Fetches the configuration from other hosts that have a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use super::install::{Error, activate, activate_external};
use crate::protocol::message;
use crate::protocol::message::{CONFIG_PATH, PROTOCOL};
use crate::state::manifest::Bundle;
use crate::transport::http::client;
use crate::transport::node::Node;

/// Time that this host's own poll of the platform is given to deliver a version that another host has announced: the
/// platform notifies all hosts of a change within some milliseconds.
const OWN_POLL_GRACE: Duration = Duration::from_millis(500);
/// Most hosts asked in a row. The next wakeup starts over with the hosts that have a newer version by then.
const HOSTS_ASKED_MAX: usize = 3;
/// Timeout for reading the configuration from another host.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest configuration accepted from another host, in bytes.
const BUNDLE_BYTES_MAX: u64 = 64 << 20;

/// Fetches from other hosts the versions that this host's own polls do not deliver, for as long as it runs; signals
/// `fetched` after each.
///
/// Otherwise a host that the platform rejects, or whose call gets no answer, would refuse what every other host serves.
/// Each heartbeat that announces a newer version is a wakeup, so a failed round is followed by others.
pub(super) async fn follow_peers(node: &Node, wakeups: &Receiver<()>, fetched: &Sender<()>) {
    // The node keeps the sender, so the channel does not close while the host runs.
    while wakeups.recv().await.is_ok() {
        let announced = node.links.newest_version();
        // In a large region most hosts do not poll the platform themselves.
        if !node.links.relays() {
            Timer::after(OWN_POLL_GRACE).await;
        }
        // A version announced meanwhile gets a grace period of its own.
        if node.version() < announced && newest(node).await {
            // A full channel already holds the signal.
            let _ = fetched.try_send(());
        }
    }
}

/// Fetches a newer version from a host that has announced one; returns whether one was installed.
pub(super) async fn newest(node: &Node) -> bool {
    let before = node.version();
    let ahead = node.links.ahead_of(before);
    for address in ahead.into_iter().take(HOSTS_ASKED_MAX) {
        match fetch_from(node, address).await {
            Ok(true) => return true,
            // This host's own poll has delivered a newer version meanwhile.
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

async fn fetch_from(node: &Node, address: SocketAddr) -> Result<bool, Error> {
    let mut request = client::request(Method::Get, address, CONFIG_PATH);
    request.insert_header(
        AUTHORIZATION,
        format!("Bearer {}", node.config.host.peer_key),
    );
    request.insert_header(PROTOCOL, message::VERSION);
    let reply = client::call(address, request, BUNDLE_BYTES_MAX, PEER_TIMEOUT).await?;
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
    let active = if node.config_store.is_some() {
        let fleet = bundle.manifest.assemble(&bundle.texts)?;
        activate_external(version, fleet).await?
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
