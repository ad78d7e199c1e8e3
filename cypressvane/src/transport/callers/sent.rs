//! What was sent to a backend server, for what its end says of the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::transport::backend;
use crate::transport::http::client::Error;
use crate::transport::node::Node;
use crate::transport::quarantine::Ended;
use crate::transport::runtime::spawn;

/// How long a server that broke an answer off may take to stop listening; nobody waits for it.
const SETTLE: Duration = Duration::from_millis(500);

/// A request that was sent to a backend server.
#[derive(Clone)]
pub(super) struct Sent {
    pub(super) node: Arc<Node>,
    pub(super) request_id: String,
    pub(super) account: Name,
    pub(super) fingerprint: Fingerprint,
    pub(super) path: String,
    pub(super) server: Name,
    pub(super) address: SocketAddr,
    pub(super) at: Instant,
}

impl Sent {
    /// Finds out, beside what the caller is told, whether the server that broke an answer off has ended.
    pub(super) fn examine(&self, error: &Error) {
        if matches!(error, Error::Broken { .. }) {
            let sent = self.clone();
            spawn(async move { sent.examine_server().await }).detach();
        }
    }

    /// Takes in that the server has ended, which speaks against the request, if it has.
    async fn examine_server(&self) {
        if !backend::has_ended(self.address, SETTLE).await {
            return;
        }
        let ended = Ended {
            fingerprint: self.fingerprint,
            request_id: &self.request_id,
            account: Some(&self.account),
            path: &self.path,
            server: &self.server,
            sent: self.at,
        };
        let node = &self.node;
        node.quarantine.ended(&node.metrics, &ended, Instant::now());
    }

    /// Notes that the request was answered whole.
    pub(super) fn answered(&self) {
        let fingerprint = || self.fingerprint;
        self.node.quarantine.answered(fingerprint, Instant::now());
    }
}
