//! Requests on routes: found by host and path, and passed on unchanged.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | the connections of callers |
//! | `admission` | who asks, for what, and whether it may wait |
//! | `exchange` | grants, sending, repeating |
//! | `message` | a request as its caller sent it, and what its route promises |
//! | `evidence` | what the end of a sending says, and what must hold before the next |
//! | `failure` | why an answer does not count |
//! | `relay` | the events of a stream, over one server or more |
//! | `respond` | answers |

mod admission;
pub(crate) mod connection;
mod evidence;
mod exchange;
mod failure;
mod message;
mod relay;
mod respond;

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;

use crate::state::clock::Instant;
use crate::transport::node::Node;

use respond::Body;

/// Answers the requests of callers on routes.
pub(crate) struct Gateway {
    node: Arc<Node>,
}

impl Gateway {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Answers one request; dropping the future means that the caller is gone.
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        match admission::admit(&self.node, request, arrived).await {
            Ok((exchange, request)) => exchange.run(request).await,
            Err(response) => response,
        }
    }
}
