//! Connections to backend servers for hosts that do not reach them.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Response as HttpResponse};
use http_types::Response;
use hyper::body::Incoming;

use super::Peers;
use crate::protocol::reach::{Outcome, Reach};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::backend;
use crate::transport::http::answer;
use crate::transport::http::server::{Endpoint as _, IncomingRequest, Upgrade};
use crate::transport::network::{Target, carry, stays_open};
use crate::transport::node::Node;
use crate::transport::runtime::spawn;

/// How long a server that broke a carried answer off may take to stop listening.
const EXIT_WAIT: Duration = Duration::from_millis(30);

impl Peers {
    /// Connects to a backend server for another host, and carries one request there.
    pub(super) async fn serve_reach(&self, mut call: IncomingRequest) -> Response {
        let body = match call.body().await {
            Ok(body) => body,
            Err(reason) => return self.reject(reason),
        };
        let reach: Reach = match rmp_serde::from_slice(&body) {
            Ok(reach) => reach,
            Err(error) => return self.reject(Reason::new(Code::BadRequest, error.to_string())),
        };
        match self.reach(reach).await {
            Ok(upgrade) => {
                let mut response = answer::text(Outcome::Connected.status(), "");
                response.ext_mut().insert(upgrade);
                response
            }
            Err(outcome) => answer::text(outcome.status(), ""),
        }
    }

    /// Connects to the server; the error states why there is no connection.
    async fn reach(&self, reach: Reach) -> Result<Upgrade, Outcome> {
        let node = Arc::clone(&self.node);
        let (limit, settle) = (reach.limit(), reach.settle());
        let target = Target {
            pool: reach.pool,
            server: reach.server,
            incarnation: reach.incarnation,
        };
        let place = node.network.carried.enter().ok_or(Outcome::Unknown)?;
        if node.is_draining() || node.network.is_path_failed(target.address()) {
            return Err(Outcome::Unknown);
        }
        if node.scheduler.is_barred(&target) {
            return Err(Outcome::Barred);
        }
        let connected = node.network.connect_directly(target.address(), limit);
        let stream = connected.await.map_err(|error| match error.kind() {
            _ if node.network.is_in_doubt() => Outcome::Unknown,
            ErrorKind::ConnectionRefused => Outcome::Refused,
            _ => Outcome::Unreached,
        })?;
        let connected_at = Instant::now();
        if !stays_open(&stream, settle).await {
            return Err(Outcome::Unknown);
        }
        let connection = backend::handshake(stream).await;
        let connection = connection.map_err(|_| Outcome::Unknown)?;
        Ok(Upgrade::new(move |stream| async move {
            let _place = place;
            let observe =
                |request: &HeaderMap, response: Option<&HttpResponse<Incoming>>| match response {
                    Some(response) => {
                        node.network.note_reached(target.address(), connected_at);
                        note_carried(&node, &target, request, response);
                    }
                    None => spawn(check_path(Arc::clone(&node), target.clone())).detach(),
                };
            carry(stream, connection, observe).await;
        }))
    }
}

/// Keeps what the server states of itself in an answer that was carried.
fn note_carried(
    node: &Node,
    target: &Target,
    request: &HeaderMap,
    response: &HttpResponse<Incoming>,
) {
    let id = node.dialect.read_request(request).id;
    let reply = node
        .dialect
        .read_answer(response.status(), response.headers());
    if reply.is_from_intended_server(id.as_deref()) {
        node.scheduler
            .note_carried(target, &reply.notice, Instant::now());
    }
}

/// Finds out whether the path to a server that broke a carried answer off has failed.
async fn check_path(node: Arc<Node>, target: Target) {
    // The other host judges the failure; this one only has to know of its own path.
    let _ = node.network.examine(&target, EXIT_WAIT).await;
}
