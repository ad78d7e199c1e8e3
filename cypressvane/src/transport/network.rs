//! Connections to backend servers.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use smol::net::TcpStream;

use crate::transport::http::connect::connect_from;
use crate::transport::http::keepalive;
use crate::transport::runtime::timeout;

/// Time after which unacknowledged bytes break the connection; as long as a caller waits for a short call.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The ways on which this host reaches backend servers.
#[derive(Debug)]
pub(crate) struct Network {
    /// Local address of the connections.
    source: Option<IpAddr>,
}

impl Network {
    pub(crate) fn new(source: Option<IpAddr>) -> Self {
        Self { source }
    }

    /// Opens a connection to a backend server.
    ///
    /// # Errors
    /// Fails if there is no connection within `limit`; nothing has been sent then.
    pub(crate) async fn connect(
        &self,
        server: SocketAddr,
        limit: Duration,
    ) -> io::Result<TcpStream> {
        let stream = timeout(limit, connect_from(self.source, server))
            .await
            .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        // While a long answer is pending, nothing may be sent for long, so a dead connection would go unnoticed.
        keepalive::enable(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        Ok(stream)
    }
}
