//! Gets the whole host list from another host when this one starts, where the list is too long for each host to read it
//! from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use crate::protocol::message::{self, LIST_PATH, PROTOCOL};
use crate::state::platform::Entry;
use crate::transport::http::client;
use crate::transport::node::Node;

/// Interval between two requests for the list.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the start in which a host asks others; it has read the list itself by then.
const ASK_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request. A list of some thousand entries takes a slow link one second with two hosts that get it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list that is accepted, in bytes.
const LIST_BYTES_MAX: u64 = 64 << 20;

/// Asks other hosts for the list until it is read.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.links.has_host_list() && node.started.elapsed() < ASK_TIMEOUT {
        if let Some(address) = choose_host(&node, node.host_list.hosts_to_ask()) {
            ask(&node, address).await;
        }
        Timer::after(ASK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Chooses a host to ask, one of the same data centre if there is one.
fn choose_host(node: &Node, mut hosts: Vec<Entry>) -> Option<SocketAddr> {
    let host = &node.config.host;
    hosts.retain(|entry| entry.name != host.name);
    fastrand::shuffle(&mut hosts);
    let near = hosts
        .iter()
        .find(|entry| entry.data_centre == host.data_centre);
    near.or(hosts.first()).map(|entry| entry.address)
}

async fn ask(node: &Node, address: SocketAddr) {
    let mut request = client::request(Method::Get, address, LIST_PATH);
    let key = &node.config.host.peer_key;
    request.insert_header(AUTHORIZATION, format!("Bearer {key}"));
    request.insert_header(PROTOCOL, message::VERSION);
    // Many hosts that are asked start too, and have no list yet.
    let Ok(reply) = client::call(address, request, LIST_BYTES_MAX, CALL_TIMEOUT).await else {
        return;
    };
    if !reply.is_success() {
        return;
    }
    match node.host_list.load_from_peer(&reply.body) {
        Ok(()) => slog::info!(
            node.log, "the host list was taken from another host";
            "address" => %address, "bytes" => reply.body.len(),
        ),
        Err(error) => slog::warn!(
            node.log, "the host list of another host cannot be read";
            "address" => %address, "cause" => %error,
        ),
    }
}
