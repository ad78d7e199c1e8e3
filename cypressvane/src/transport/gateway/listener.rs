//! The listener for callers on routes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Gateway;
use crate::transport::keepalive::give_up_after;
use crate::transport::open::Count;
use crate::transport::runtime::spawn;

/// How long the listener rests when the system gives it no connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Bytes read ahead of a request; twice the largest head that the users' sites allow.
const READ_BYTES: usize = 32 * 1024;
/// Time after which bytes that a caller does not acknowledge break the connection: the shortest
/// time after which a caller gives a silent stream up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);

/// What the connections of the listener share.
struct Shared {
    gateway: Gateway,
    idle: Duration,
    most: usize,
    open: Count,
    closing: AtomicBool,
    /// Closed when idle connections are to end.
    stopped: Receiver<()>,
}

/// A running listener; dropping it ends it with all its connections.
pub(crate) struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    accepting: Option<Task<()>>,
}

/// Binds the listener; connections idle for `idle` are closed, and at most `most` are open.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) fn bind(
    address: SocketAddr,
    gateway: Gateway,
    idle: Duration,
    most: usize,
) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let shared = Arc::new(Shared {
        gateway,
        idle,
        most,
        open: Count::default(),
        closing: AtomicBool::new(false),
        stopped,
    });
    let accepting = Some(spawn(accept(listener, Arc::clone(&shared))));
    Ok(Handle {
        address,
        shared,
        stop,
        accepting,
    })
}

impl Handle {
    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes each connection after its next answer, and still accepts new ones.
    pub(crate) fn close_after_answers(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Accepts no more connections and waits for the open ones; tells whether all ended in time.
    pub(crate) async fn stop(mut self, limit: Duration) -> bool {
        self.close_after_answers();
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.stop.close();
        self.shared.open.closed(limit).await
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        if shared.open.get() >= shared.most {
            // Closed before a byte was read, so the caller knows that nothing ran.
            continue;
        }
        let open = shared.open.enter();
        let shared = Arc::clone(&shared);
        spawn(async move {
            let _open = open;
            serve(stream, &shared).await;
        })
        .detach();
    }
}

/// Serves the requests of a connection until it ends.
async fn serve(stream: TcpStream, shared: &Arc<Shared>) {
    // Without these, events only come later and a lost caller is noticed later.
    let _ = stream.set_nodelay(true);
    let _ = give_up_after(&stream, UNACKNOWLEDGED);
    let service = service_fn(|request| async {
        let mut response = shared.gateway.answer(request).await;
        if shared.closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok::<_, Infallible>(response)
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.idle)
        .max_buf_size(READ_BYTES)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        // The channel carries nothing; it is closed to stop.
        let _ = shared.stopped.recv().await;
        false
    };
    let ended = async {
        // Whatever ended it, the caller knows from its side.
        let _ = connection.as_mut().await;
        true
    };
    if ended.or(stopped).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
