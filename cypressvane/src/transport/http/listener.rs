//! A listener: accepts and counts connections, and shuts them down gracefully.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use super::open_count::OpenCount;
use crate::transport::memory::{Memory, Reception, Seat, bound_buffers};
use crate::transport::runtime::spawn;

/// Backoff after a failed `accept`.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves the connections of a listener.
pub(crate) trait ConnectionHandler: Send + Sync + 'static {
    /// Serves the requests of one connection until it ends, and records in `seat` whether it has one. Without a seat, its
    /// request is refused.
    fn serve(
        &self,
        stream: TcpStream,
        state: &State,
        seat: Option<&Seat>,
    ) -> impl Future<Output = ()> + Send;
}

/// State that all connections of a listener share.
#[derive(Debug)]
pub(crate) struct State {
    open: OpenCount,
    closing: AtomicBool,
    /// Carries no messages; closed to make idle connections end.
    stopped: Receiver<()>,
}

impl State {
    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether each connection must close after its next answer.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Waits until idle connections must end.
    pub(crate) async fn stopped(&self) {
        // The channel carries no messages, so this returns when it is closed.
        let _ = self.stopped.recv().await;
    }
}

/// A running listener; dropping the handle stops accepting connections and ends the idle ones.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    stop: Sender<()>,
    accepting: Option<Task<()>>,
}

/// Binds a listener whose connections take room in `memory` and are served by `handler`.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) fn bind<S: ConnectionHandler>(
    address: SocketAddr,
    memory: Memory,
    handler: S,
) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)?;
    // Connections inherit the sizes.
    bound_buffers(&listener)?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let state = Arc::new(State {
        open: OpenCount::default(),
        closing: AtomicBool::new(false),
        stopped,
    });
    let accepting = accept(listener, memory, Arc::clone(&state), Arc::new(handler));
    Ok(Handle {
        address,
        state,
        stop,
        accepting: Some(spawn(accepting)),
    })
}

impl Handle {
    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state.open()
    }

    /// Makes each connection close after its next answer; new connections are still accepted.
    pub fn close_after_answers(&self) {
        self.state.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and waits for the open ones; returns whether all ended within `limit`.
    pub async fn stop(mut self, limit: Duration) -> bool {
        self.close_after_answers();
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.stop.close();
        self.state.open.wait_until_zero(limit).await
    }
}

async fn accept<S: ConnectionHandler>(
    listener: TcpListener,
    memory: Memory,
    state: Arc<State>,
    handler: Arc<S>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(reception) = memory.receive().await else {
            continue;
        };
        let open = state.open.enter();
        let (state, handler) = (Arc::clone(&state), Arc::clone(&handler));
        spawn(async move {
            let _open = open;
            match reception {
                Reception::Seated(seat) => {
                    let served = handler.serve(stream, &state, Some(&seat));
                    seat.evicted().or(served).await;
                }
                Reception::Refused(_unread) => handler.serve(stream, &state, None).await,
            }
        })
        .detach();
    }
}
