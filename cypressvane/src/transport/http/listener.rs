//! A listener: accepts connections, counts them, and ends them in good order.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use super::open::Count;
use crate::transport::runtime::spawn;

/// How long the listener rests when the system gives it no connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// What serves the connections of a listener.
pub(crate) trait Service: Send + Sync + 'static {
    /// Serves the requests of a connection until it ends.
    fn serve(&self, stream: TcpStream, state: &State) -> impl Future<Output = ()> + Send;
}

/// What the connections of a listener share.
#[derive(Debug)]
pub(crate) struct State {
    open: Count,
    closing: AtomicBool,
    /// Closed when idle connections are to end.
    stopped: Receiver<()>,
}

impl State {
    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether each connection is to close after its next answer.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Waits until idle connections are to end.
    pub(crate) async fn stopped(&self) {
        // The channel carries nothing; it is closed to stop.
        let _ = self.stopped.recv().await;
    }
}

/// A running listener; dropping it ends it with all its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    stop: Sender<()>,
    accepting: Option<Task<()>>,
}

/// Binds a listener whose connections `service` serves.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) fn bind<S: Service>(address: SocketAddr, service: S) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let state = Arc::new(State {
        open: Count::default(),
        closing: AtomicBool::new(false),
        stopped,
    });
    let accepting = accept(listener, Arc::clone(&state), Arc::new(service));
    Ok(Handle {
        address,
        state,
        stop,
        accepting: Some(spawn(accepting)),
    })
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state.open()
    }

    /// Closes each connection after its next answer, and still accepts new ones.
    pub fn close_after_answers(&self) {
        self.state.closing.store(true, Ordering::Relaxed);
    }

    /// Accepts no more connections and waits for the open ones; tells whether all ended in time.
    pub async fn stop(mut self, limit: Duration) -> bool {
        self.close_after_answers();
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.stop.close();
        self.state.open.closed(limit).await
    }
}

async fn accept<S: Service>(listener: TcpListener, state: Arc<State>, service: Arc<S>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        let open = state.open.enter();
        let (state, service) = (Arc::clone(&state), Arc::clone(&service));
        spawn(async move {
            let _open = open;
            service.serve(stream, &state).await;
        })
        .detach();
    }
}
