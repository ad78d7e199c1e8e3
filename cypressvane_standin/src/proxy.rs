//! A proxy between two processes that injects faults on order.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cypressvane::runtime;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use rustix::net::sockopt::set_socket_linger;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

/// Bytes moved at once.
const MOVE_BYTES: usize = 16 * 1024;
/// How often a frozen direction looks whether it may go on.
const FREEZE_POLL: Duration = Duration::from_millis(5);

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    #[default]
    Pass,
    /// They are held until this changes.
    Freeze,
    /// Each piece is held for this long.
    Delay(Duration),
    /// The connection is reset with the next bytes.
    Reset,
    /// The connection is cut after this many more bytes of a connection.
    CutAfter(u64),
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// New connections are closed at once.
    pub refuse: bool,
    /// From the one who connects to the target.
    pub forth: Way,
    /// From the target back.
    pub back: Way,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    fault: Mutex<Fault>,
    connections: AtomicU64,
    /// Connections that are open now.
    open: AtomicU64,
    /// Connections up to this one, in the order in which they were made, carry nothing any more.
    silenced: AtomicU64,
    bytes_forth: AtomicU64,
    bytes_back: AtomicU64,
}

/// A running proxy; dropping it cuts all its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    _accepting: Task<()>,
}

/// Starts a proxy before `target`.
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
        connections: AtomicU64::new(0),
        open: AtomicU64::new(0),
        silenced: AtomicU64::new(0),
        bytes_forth: AtomicU64::new(0),
        bytes_back: AtomicU64::new(0),
    });
    let accepting = runtime::spawn(accept(listener, Arc::clone(&shared)));
    Ok(Handle {
        address,
        shared,
        _accepting: accepting,
    })
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Orders what happens from now on, to open connections too.
    pub fn set(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Lets the connections that are open fall silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        let made = self.connections();
        self.shared.silenced.store(made, Ordering::Relaxed);
    }

    /// Number of connections made so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Number of connections that are open now.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Bytes passed to the target and back so far.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        let forth = self.shared.bytes_forth.load(Ordering::Relaxed);
        (forth, self.shared.bytes_back.load(Ordering::Relaxed))
    }
}

impl Shared {
    fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    /// Whether a connection carries nothing any more.
    fn is_silent(&self, connection: u64) -> bool {
        connection <= self.silenced.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let connection = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if shared.fault().refuse {
            continue;
        }
        let shared = Arc::clone(&shared);
        runtime::spawn(async move {
            // A connection that cannot be made or breaks simply ends, as it would without a proxy.
            shared.open.fetch_add(1, Ordering::Relaxed);
            let _ = join(stream, connection, &shared).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn join(near: TcpStream, connection: u64, shared: &Shared) -> io::Result<()> {
    let target = *lock(&shared.target);
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let forth = pass(
        near.clone(),
        far.clone(),
        connection,
        shared,
        |fault| fault.forth,
        &shared.bytes_forth,
    );
    let back = pass(
        far,
        near,
        connection,
        shared,
        |fault| fault.back,
        &shared.bytes_back,
    );
    forth.or(back).await
}

/// Lets a connection end with a reset instead of an orderly close.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Moves bytes one way until the end, a cut or an error.
async fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: u64,
    shared: &Shared,
    way: fn(Fault) -> Way,
    total: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; MOVE_BYTES];
    let mut passed = 0;
    loop {
        let mut count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        while way(shared.fault()) == Way::Freeze || shared.is_silent(connection) {
            Timer::after(FREEZE_POLL).await;
        }
        let limit = match way(shared.fault()) {
            Way::CutAfter(limit) => Some(limit),
            Way::Pass | Way::Freeze => None,
            Way::Delay(time) => {
                Timer::after(time).await;
                None
            }
            Way::Reset => {
                reset_on_close(&from)?;
                reset_on_close(&to)?;
                return Ok(());
            }
        };
        if let Some(limit) = limit {
            let left = limit.saturating_sub(passed);
            count = count.min(usize::try_from(left).unwrap_or(usize::MAX));
        }
        to.write_all(&buffer[..count]).await?;
        passed += count as u64;
        total.fetch_add(count as u64, Ordering::Relaxed);
        if limit.is_some_and(|limit| passed >= limit) {
            return Ok(());
        }
    }
}
