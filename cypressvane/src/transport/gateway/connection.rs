//! Connections of callers on routes.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use futures_lite::FutureExt as _;
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Gateway;
use crate::transport::http::keepalive::set_user_timeout;
use crate::transport::http::listener::{ConnectionHandler, State};

/// Size of a connection's read buffer in bytes; twice the largest head that the users' sites allow.
const READ_BYTES: usize = 32 * 1024;
/// Time after which data that a caller has not acknowledged breaks the connection: the shortest time after which
/// a caller abandons a silent stream.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the connections of callers on routes.
pub(crate) struct RouteServer {
    pub(crate) gateway: Gateway,
    /// How long a connection may be idle.
    pub(crate) idle_timeout: Duration,
    /// Largest number of connections open at once.
    pub(crate) max_connections: usize,
}

impl ConnectionHandler for RouteServer {
    async fn serve(&self, stream: TcpStream, state: &State) {
        if state.open() > self.max_connections {
            // The connection closes before a byte is read, so the caller knows that nothing ran.
            return;
        }
        self.serve_requests(stream, state).await;
    }
}

impl RouteServer {
    async fn serve_requests(&self, stream: TcpStream, state: &State) {
        // Errors are ignored: without these options, events and the loss of a caller are only delayed.
        let _ = stream.set_nodelay(true);
        let _ = set_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
        let service = service_fn(|request| async {
            let mut response = self.gateway.answer(request).await;
            if state.is_closing() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.idle_timeout)
            .max_buf_size(READ_BYTES)
            .serve_connection(FuturesIo::new(stream), service);
        let mut connection = pin!(connection);
        let stopped = async {
            state.stopped().await;
            false
        };
        let ended = async {
            // The caller sees the end of the connection itself, so the error is not reported.
            let _ = connection.as_mut().await;
            true
        };
        if ended.or(stopped).await {
            return;
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
