//! Attributes a failed answer to the request, to the backend server that got it, or to the path between.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::pool::End;
use crate::coordination::quarantine::Features;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::http::client::Error;
use crate::transport::network::{Breakage, Target};
use crate::transport::node::Node;
use crate::transport::quarantine::{Ended, Turn};
use crate::transport::runtime::spawn;
use crate::transport::scheduler::HeldRequest;

/// How long a server that broke an answer off may take to stop listening. The check runs in the background, so no
/// caller waits for it.
const EXIT_WAIT: Duration = Duration::from_millis(500);
/// The same while the server's slot is still held.
const FIRST_EXIT_WAIT: Duration = Duration::from_millis(30);

/// A request that was sent to a backend server.
#[derive(Clone)]
pub(super) struct SentRequest {
    pub(super) node: Arc<Node>,
    pub(super) request_id: String,
    pub(super) account: Name,
    pub(super) features: Features,
    /// The request's turn, if it shares a suspected feature with others.
    pub(super) _turn: Option<Arc<Turn>>,
    pub(super) path: String,
    pub(super) target: Target,
    /// Whether the connection to the server was direct, not through another host.
    pub(super) is_direct: bool,
    pub(super) at: Instant,
}

impl SentRequest {
    /// Ends a grant without a whole answer, as soon as it is known in the background whose failure that is.
    pub(super) fn end_failed(&self, held: HeldRequest, error: &Error) {
        let (sent, is_broken) = (self.clone(), matches!(error, Error::Broken { .. }));
        spawn(async move {
            if is_broken {
                sent.end_broken(held).await;
            } else {
                held.finish(sent.end_after(sent.cause_of_silence()));
            }
        })
        .detach();
    }

    /// Finds out why the answer broke off. If the server ended, that is recorded against the request.
    async fn end_broken(&self, held: HeldRequest) {
        let network = &self.node.network;
        let mut breakage = network.examine(&self.target, FIRST_EXIT_WAIT).await;
        held.finish(self.end_after(breakage));
        if breakage == Breakage::Unknown {
            breakage = network.examine(&self.target, EXIT_WAIT).await;
        }
        if breakage == Breakage::ServerEnded {
            self.record_server_ended();
        }
    }

    /// Why a server sent nothing in time, as far as is known.
    fn cause_of_silence(&self) -> Breakage {
        let network = &self.node.network;
        if network.is_path_failed(self.target.address()) {
            Breakage::PathFailed
        } else {
            Breakage::Unknown
        }
    }

    /// How the grant ends. On the way through another host, this host's own path does not matter.
    fn end_after(&self, breakage: Breakage) -> End {
        match breakage {
            Breakage::PathFailed if self.is_direct => End::Severed,
            _ => End::Broken,
        }
    }

    fn record_server_ended(&self) {
        let ended = Ended {
            features: &self.features,
            request_id: &self.request_id,
            account: Some(&self.account),
            path: &self.path,
            target: &self.target,
            sent: self.at,
        };
        let node = &self.node;
        let servers = node.scheduler.server_count(&self.target.pool);
        node.quarantine
            .record_end(&node.metrics, &ended, servers, Instant::now());
    }

    /// Records that the request was answered completely, which clears it of suspicion.
    pub(super) fn record_success(&self) {
        let features = || Features::clone(&self.features);
        self.node.quarantine.record_answer(features, Instant::now());
    }
}
