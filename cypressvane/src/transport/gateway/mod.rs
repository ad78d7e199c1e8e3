//! Requests on routes, which are selected by host and path and forwarded without changes to method, target or body.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | connections of callers |
//! | `admission` | finds the route and the account, applies limits and the policy |
//! | `exchange` | waits for grants, connects, sends the request |
//! | `flight` | a request under way: at one server, or at two while the first is silent |
//! | `place` | a place on a second server that is sought |
//! | `sending` | a request at one server, and what has come of its answer |
//! | `stream` | a server's stream of events |
//! | `inbound` | a request as its caller sent it, and the terms of its route |
//! | `attempt` | records the outcome of an attempt, checks what must hold before the next |
//! | `failure` | reasons for which an answer is rejected |
//! | `relay` | passes the events of a stream on to its caller |
//! | `respond` | responses |

mod admission;
mod attempt;
pub(crate) mod connection;
mod exchange;
mod failure;
mod flight;
mod inbound;
mod place;
mod relay;
mod respond;
mod sending;
mod stream;

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::{Body as _, Incoming};

use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Request as Inbound, random_id};
use crate::state::clock::Instant;
use crate::transport::node::{NOT_READY_RETRY_AFTER, Node};

use connection::Progress;
use respond::Body;

/// Handles the requests of callers on routes.
pub(crate) struct Gateway {
    node: Arc<Node>,
}

impl Gateway {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Answers one request. The future is dropped when the caller disconnects.
    async fn answer(&self, request: Request<Incoming>, progress: &Progress) -> Response<Body> {
        let arrived = Instant::now();
        match admission::admit(&self.node, request, arrived, progress).await {
            Ok((exchange, request)) => exchange.run(request).await,
            Err(response) => response,
        }
    }

    /// Refuses a request on a connection beyond the limit, without reading its body.
    fn refuse_connection(
        &self,
        request: &Request<Incoming>,
        progress: &Progress,
    ) -> Response<Body> {
        let meta = self.node.dialect.read_request(request.headers());
        let id = meta.id.clone().unwrap_or_else(random_id);
        progress.begin(&id);
        if !request.body().is_end_stream() {
            progress.note_unread_body();
        }
        let message = "too many connections are open";
        let reason =
            Reason::with_retry_after(Code::TooManyConnections, message, NOT_READY_RETRY_AFTER);
        let refusal = Inbound::receive_as(id, Instant::now()).refuse(reason);
        admission::log_refusal(&self.node, &refusal);
        respond::refusal(&self.node.dialect, &refusal, meta.id.as_deref())
    }
}
