//! A place on a second server that is sought while the first one is silent.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use super::exchange::{HOME_MARGIN, Ready, connect, is_other_version, log_no_connection};
use crate::state::clock::Instant;
use crate::transport::node::Node;
use crate::transport::rollout::Choice;
use crate::transport::runtime::timeout;
use crate::transport::scheduler::{Decision, RequestSpec};

/// A place on a second server that is sought.
pub(super) struct Place {
    /// The place; `None` if there is none in time.
    pub(super) ready: Pin<Box<dyn Future<Output = Option<Ready>> + Send>>,
    /// The versions selected for it.
    pub(super) choice: Choice,
}

impl Place {
    /// Seeks a place as soon as it is waited for.
    pub(super) fn seek(
        node: Arc<Node>,
        spec: RequestSpec,
        choice: Choice,
        request_id: String,
    ) -> Self {
        Self {
            ready: Box::pin(seek(node, spec, request_id)),
            choice,
        }
    }
}

async fn seek(node: Arc<Node>, spec: RequestSpec, request_id: String) -> Option<Ready> {
    let mut held = node.scheduler.hold(&spec);
    loop {
        let left = spec
            .first_token_deadline
            .saturating_duration_since(Instant::now());
        let Decision::Grant(grant) = timeout(left + HOME_MARGIN, held.decision()).await? else {
            return None;
        };
        if Instant::now() >= spec.first_token_deadline || is_other_version(&node, &spec, &grant) {
            return None;
        }
        let connected = match held.bar(&spec.service, &grant) {
            Some(bar) => {
                held.return_barred(bar, &request_id);
                continue;
            }
            // Only a request that may be repeated gets a second server.
            None => connect(&node, &spec.service, &grant, true).await,
        };
        match (connected, held.bar(&spec.service, &grant)) {
            (Ok(connected), None) => return Some(Ready::of(held, grant, connected)),
            (Ok(_), Some(bar)) => held.return_barred(bar, &request_id),
            (Err(error), _) => {
                log_no_connection(&node, &request_id, &grant, &error);
                held.offer_again(error.end(), None);
            }
        }
    }
}
