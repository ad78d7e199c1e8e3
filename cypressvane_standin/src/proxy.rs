//! A TCP proxy that injects faults into the connections between two processes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cypressvane::runtime;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use rustix::net::sockopt::set_socket_linger;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use crate::logs::Log;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a frozen direction checks whether it may resume.
const FREEZE_POLL: Duration = Duration::from_millis(5);

/// How the proxy treats the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transfer {
    /// Forwards them unchanged.
    #[default]
    Pass,
    /// Holds them until the fault changes.
    Freeze,
    /// Delays each chunk that is read by this time.
    Delay(Duration),
    /// Resets the connection when the next bytes arrive.
    Reset,
    /// Closes the connection once it has forwarded this many bytes in this direction, counted from its start.
    CutAfter(u64),
}

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Closes new connections immediately.
    pub refuse: bool,
    /// Treatment of the bytes from the client to the target.
    pub to_target: Transfer,
    /// Treatment of the bytes from the target to the client.
    pub to_client: Transfer,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    fault: Mutex<Fault>,
    /// The client whose connections are reset.
    cut_off: Mutex<Option<IpAddr>>,
    connections: AtomicU64,
    /// Number of open connections.
    open: AtomicU64,
    /// Highest number of a silenced connection; connections are numbered from 1 as they are accepted.
    silenced_up_to: AtomicU64,
    bytes_to_target: AtomicU64,
    bytes_to_client: AtomicU64,
    log: Log,
}

/// A running proxy; dropping it stops accepting connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    _accepting: Task<()>,
}

/// Starts a proxy that forwards to `target`.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: SocketAddr, target: SocketAddr) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let shared = Arc::new(Shared {
        target: Mutex::new(target),
        fault: Mutex::new(Fault::default()),
        cut_off: Mutex::default(),
        connections: AtomicU64::new(0),
        open: AtomicU64::new(0),
        silenced_up_to: AtomicU64::new(0),
        bytes_to_target: AtomicU64::new(0),
        bytes_to_client: AtomicU64::new(0),
        log: Log::open(&format!("proxy-{}", address.port()))?,
    });
    shared.log.add(&format!("forwards to {target}"));
    let accepting = runtime::spawn(accept(listener, Arc::clone(&shared)));
    Ok(Handle {
        address,
        shared,
        _accepting: accepting,
    })
}

impl Handle {
    /// The address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.log.add(&format!("forwards to {target}"));
        *lock(&self.shared.target) = target;
    }

    /// Sets the fault for new and for open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.log.add(&format!("{fault:?}"));
        *lock(&self.shared.fault) = fault;
    }

    /// Resets the open connections of the client with this address, and new ones once they are made; `None` ends that.
    pub fn cut_off(&self, client: Option<IpAddr>) {
        self.shared.log.add(&format!("cuts off {client:?}"));
        *lock(&self.shared.cut_off) = client;
    }

    /// Stops forwarding on the open connections for good, without a reset; new connections work.
    pub fn silence_open_connections(&self) {
        let made = self.connections();
        self.shared.log.add(&format!("silences {made} connections"));
        self.shared.silenced_up_to.store(made, Ordering::Relaxed);
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Bytes forwarded to the target and to the clients so far.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        let to_target = self.shared.bytes_to_target.load(Ordering::Relaxed);
        (
            to_target,
            self.shared.bytes_to_client.load(Ordering::Relaxed),
        )
    }
}

impl Shared {
    fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    /// Whether the connections of a client are reset.
    fn is_cut_off(&self, client: IpAddr) -> bool {
        *lock(&self.cut_off) == Some(client)
    }

    /// Waits until the connections of a client are reset.
    async fn wait_until_cut_off(&self, client: IpAddr) {
        while !self.is_cut_off(client) {
            Timer::after(FREEZE_POLL).await;
        }
    }

    /// Whether a connection was silenced.
    fn is_silent(&self, connection: u64) -> bool {
        connection <= self.silenced_up_to.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, from)) = listener.accept().await {
        let connection = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
        shared
            .log
            .add(&format!("connection {connection} from {from}"));
        if shared.fault().refuse {
            continue;
        }
        let shared = Arc::clone(&shared);
        runtime::spawn(async move {
            // A failed connection is closed, which is what the client would see without a proxy.
            shared.open.fetch_add(1, Ordering::Relaxed);
            let reset = async {
                shared.wait_until_cut_off(from.ip()).await;
                reset_on_close(&stream)
            };
            let _ = reset.or(relay(stream.clone(), connection, &shared)).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn relay(client: TcpStream, connection: u64, shared: &Shared) -> io::Result<()> {
    let target = *lock(&shared.target);
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let to_target = copy(
        client.clone(),
        server.clone(),
        connection,
        shared,
        |fault| fault.to_target,
        &shared.bytes_to_target,
    );
    let to_client = copy(
        server,
        client,
        connection,
        shared,
        |fault| fault.to_client,
        &shared.bytes_to_client,
    );
    to_target.or(to_client).await
}

/// Makes the close of a connection send a reset instead of a FIN.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Copies the bytes of one direction until end of file, a cut or an error.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: u64,
    shared: &Shared,
    transfer: fn(Fault) -> Transfer,
    total: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut copied = 0;
    loop {
        let mut count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        while transfer(shared.fault()) == Transfer::Freeze || shared.is_silent(connection) {
            Timer::after(FREEZE_POLL).await;
        }
        let limit = match transfer(shared.fault()) {
            Transfer::CutAfter(limit) => Some(limit),
            Transfer::Pass | Transfer::Freeze => None,
            Transfer::Delay(time) => {
                Timer::after(time).await;
                None
            }
            Transfer::Reset => {
                reset_on_close(&from)?;
                reset_on_close(&to)?;
                return Ok(());
            }
        };
        if let Some(limit) = limit {
            let left = limit.saturating_sub(copied);
            count = count.min(usize::try_from(left).unwrap_or(usize::MAX));
        }
        to.write_all(&buffer[..count]).await?;
        copied += count as u64;
        total.fetch_add(count as u64, Ordering::Relaxed);
        if limit.is_some_and(|limit| copied >= limit) {
            return Ok(());
        }
    }
}
