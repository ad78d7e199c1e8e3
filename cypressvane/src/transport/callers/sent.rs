//! Attributes the end of a backend server to the request that was sent to it.

use std::sync::Arc;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::transport::http::client::Error;
use crate::transport::network::{Breakage, Target};
use crate::transport::node::Node;
use crate::transport::quarantine::Ended;
use crate::transport::runtime::spawn;

/// How long a server that broke an answer off may take to stop listening. The check runs in the background, so no
/// caller waits for it.
const EXIT_WAIT: Duration = Duration::from_millis(500);

/// A request that was sent to a backend server.
#[derive(Clone)]
pub(super) struct SentRequest {
    pub(super) node: Arc<Node>,
    pub(super) request_id: String,
    pub(super) account: Name,
    pub(super) fingerprint: Fingerprint,
    pub(super) path: String,
    pub(super) target: Target,
    pub(super) at: Instant,
}

impl SentRequest {
    /// Checks in the background whether the server that broke an answer off has ended.
    pub(super) fn check_server_ended(&self, error: &Error) {
        if matches!(error, Error::Broken { .. }) {
            let sent = self.clone();
            spawn(async move { sent.record_if_ended().await }).detach();
        }
    }

    /// Records against the request that the server ended, if it did.
    async fn record_if_ended(&self) {
        let breakage = self.node.network.examine(&self.target, EXIT_WAIT).await;
        if breakage != Breakage::ServerEnded {
            return;
        }
        let ended = Ended {
            fingerprint: self.fingerprint,
            request_id: &self.request_id,
            account: Some(&self.account),
            path: &self.path,
            server: &self.target.server,
            sent: self.at,
        };
        let node = &self.node;
        node.quarantine
            .record_end(&node.metrics, &ended, Instant::now());
    }

    /// Records that the request was answered completely, which clears it of suspicion.
    pub(super) fn record_success(&self) {
        let fingerprint = || self.fingerprint;
        self.node
            .quarantine
            .record_answer(fingerprint, Instant::now());
    }
}
