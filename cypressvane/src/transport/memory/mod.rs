//! The account of the memory that a host holds for others: bodies of requests on all listeners, whole answers, and
//! connections.
//!
//! Room is taken before bytes are read, and given back when the last reference to them is dropped. Who finds no room
//! waits for a bounded time. Meanwhile the holder that has held most for longest gives up its room: a body that is still
//! arriving, whose request is refused, or an answer that its caller is slow to read, whose connection is closed. That may
//! be the one that waits. A request that waits for a server or runs keeps its room. Connections have a part of their own, in
//! which the one that has been idle for longest makes room for a new one.

mod intake;
mod piecewise;
mod seat;

use std::collections::BTreeMap;
use std::future::{self, Future};
use std::io;
use std::os::fd::AsFd;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use event_listener::Event;
use futures_lite::FutureExt as _;
use futures_lite::future::poll_once;
use rustix::net::sockopt;

use crate::coordination::memory::{self, Holding, Kind, Plan};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::units::millis;
use crate::transport::runtime::{lock, timeout};

use intake::READ_BYTES;
pub(crate) use intake::{Intake, IntakeError};
pub(crate) use piecewise::Piecewise;
pub(crate) use seat::{Reception, Seat, Usage};

/// Size of the system's buffers of a connection, in bytes: one for what is received and not read yet, one for what is
/// written and not acknowledged yet.
const SOCKET_BYTES: usize = 64 << 10;
/// Memory that the system may take for the received bytes of a connection that is not read: it doubles the size of the
/// buffer for its own records, and fills them with small segments.
const UNREAD_BYTES: u64 = 2 * SOCKET_BYTES as u64;
/// Longest wait for room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait for room after which another holder gives up its own, and time in which it should have done so.
const PATIENCE: Duration = Duration::from_millis(200);
/// Retry-after of a request for which there is no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The memory that a host holds for others; clones share one account.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    plan: Plan,
    /// Bodies and answers.
    content: Account,
    connections: Account,
    /// Bytes that the system may receive for those that wait for room.
    unread: AtomicU64,
    refusals: AtomicU64,
    evictions: AtomicU64,
}

/// The holders of one part of the memory.
#[derive(Debug, Default)]
struct Account {
    /// Bytes of all rooms.
    held: AtomicU64,
    evictable: Mutex<Evictable>,
    /// Notified when room is given back.
    freed: Event,
}

/// The rooms that may have to be given up: those of bodies that are still arriving, of answers that are being written,
/// and of connections.
#[derive(Debug, Default)]
struct Evictable {
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
    /// Number of rooms that must be given up and are still held.
    yielding: usize,
    /// When the last one was selected.
    last_eviction: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    bytes: u64,
    since: Arc<Since>,
    /// Gets a message when the room must be given up.
    evict: Sender<()>,
}

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this host has no memory left for the body")]
pub(crate) struct Full;

impl From<Full> for Reason {
    fn from(full: Full) -> Self {
        Self::with_retry_after(Code::MemoryFull, full.to_string(), ROOM_RETRY_AFTER)
    }
}

impl Memory {
    /// Opens the account of a process that may take `memory_mb` MiB.
    pub(crate) fn open(memory_mb: u64) -> Self {
        Self::with_plan(Plan::of(memory_mb))
    }

    /// Opens an account without limits.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::with_plan(Plan::unlimited())
    }

    fn with_plan(plan: Plan) -> Self {
        Self(Arc::new(Shared {
            plan,
            content: Account::default(),
            connections: Account::default(),
            unread: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            evictions: AtomicU64::new(0),
        }))
    }

    /// Bytes held now for bodies and answers.
    pub(crate) fn held(&self) -> u64 {
        self.0.content.held.load(Ordering::Relaxed)
    }

    fn account(&self, kind: Kind) -> &Account {
        match kind {
            Kind::Connection => &self.0.connections,
            Kind::Body | Kind::SmallBody | Kind::Answer => &self.0.content,
        }
    }

    /// Number of times that there was no room, and number of rooms that had to be given up.
    pub(crate) fn refusals_and_evictions(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.0.refusals), load(&self.0.evictions))
    }

    /// Opens a room, as yet of no bytes.
    pub(crate) fn room(&self, kind: Kind) -> Room {
        Room {
            memory: self.clone(),
            kind,
            bytes: 0,
            place: None,
        }
    }

    /// The largest body for which there is room if nothing else is held, in bytes.
    fn body_max(&self) -> usize {
        let most = self.0.plan.most(Kind::Body, 0);
        usize::try_from(most).map_or(usize::MAX, |most| most.saturating_sub(READ_BYTES))
    }

    /// Makes the heaviest holder of a part give up its room, unless another one was told to a short time ago and still has
    /// its own. Returns whether there is such a holder.
    fn evict_heaviest(&self, kind: Kind, now: Instant) -> bool {
        let mut evictable = lock(&self.account(kind).evictable);
        let is_recent = |at| now.saturating_duration_since(at) < PATIENCE;
        if evictable.yielding > 0 && evictable.last_eviction.is_some_and(is_recent) {
            return true;
        }
        let holdings = evictable.entries.iter().filter_map(|(id, entry)| {
            let since = entry.since.get()?;
            let bytes = entry.bytes;
            Some((*id, Holding { bytes, since }))
        });
        let heaviest = memory::heaviest(holdings, now);
        let Some(entry) = heaviest.and_then(|id| evictable.entries.remove(&id)) else {
            return false;
        };
        evictable.yielding += 1;
        evictable.last_eviction = Some(now);
        // The channel has room for the only message.
        let _ = entry.evict.try_send(());
        self.0.evictions.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Counts what the system may receive for a connection that is not read; `None` if that is too much.
    fn enter_unread(&self) -> Option<Unread> {
        let is_taken = take(&self.0.unread, UNREAD_BYTES, self.0.plan.unread_max());
        is_taken.then(|| Unread(self.clone()))
    }
}

/// Bounds what the system holds for a connection, or for those that a listener accepts: its buffers would grow to several
/// MiB.
///
/// # Errors
/// When the system refuses the sizes.
pub(crate) fn bound_buffers(socket: impl AsFd) -> io::Result<()> {
    sockopt::set_socket_recv_buffer_size(&socket, SOCKET_BYTES)?;
    sockopt::set_socket_send_buffer_size(&socket, SOCKET_BYTES)?;
    Ok(())
}

/// Adds `bytes` to an account that may have `most`; returns whether it did.
fn take(account: &AtomicU64, bytes: u64, most: u64) -> bool {
    let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= most);
    account
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
        .is_ok()
}

/// Room in a system's buffer that is not read for now; given back on drop.
#[derive(Debug)]
pub(crate) struct Unread(Memory);

impl Drop for Unread {
    fn drop(&mut self) {
        self.0.0.unread.fetch_sub(UNREAD_BYTES, Ordering::Relaxed);
    }
}

/// Memory that is held for one body, answer or connection; given back on drop.
#[derive(Debug)]
pub(crate) struct Room {
    memory: Memory,
    kind: Kind,
    bytes: u64,
    /// Its place among those that may have to be given up.
    place: Option<Place>,
}

#[derive(Debug)]
struct Place {
    id: u64,
    since: Arc<Since>,
    eviction: Eviction,
}

/// Since when a holder could give up its room. A connection changes it with each request, so it is atomic.
#[derive(Debug)]
struct Since {
    entered: Instant,
    /// Milliseconds after `entered`; `KEPT` while the room is kept.
    after_ms: AtomicU64,
}

impl Since {
    const KEPT: u64 = u64::MAX;

    fn now() -> Self {
        Self {
            entered: Instant::now(),
            after_ms: AtomicU64::new(0),
        }
    }

    fn keep(&self) {
        self.after_ms.store(Self::KEPT, Ordering::Relaxed);
    }

    fn restart(&self) {
        let after = Instant::now().saturating_duration_since(self.entered);
        self.after_ms.store(millis(after), Ordering::Relaxed);
    }

    fn get(&self) -> Option<Instant> {
        let after_ms = self.after_ms.load(Ordering::Relaxed);
        (after_ms != Self::KEPT).then(|| self.entered + Duration::from_millis(after_ms))
    }
}

/// Tells who holds a room that it must be given up.
#[derive(Clone, Debug)]
pub(crate) struct Eviction(Receiver<()>);

impl Eviction {
    /// Waits until the room must be given up; forever if it was given back before.
    pub(crate) async fn wait(&self) {
        if self.0.recv().await.is_err() {
            future::pending::<()>().await;
        }
    }

    fn is_due(&self) -> bool {
        !self.0.is_empty()
    }
}

impl Room {
    /// Takes further `bytes`, for which it may have to wait.
    ///
    /// # Errors
    /// When there is no room, or too many wait for it.
    pub(crate) async fn grow(&mut self, bytes: u64) -> Result<(), Full> {
        if self.try_grow(bytes) {
            return Ok(());
        }
        let grown = self.wait_to_grow(bytes).await;
        if grown.is_err() {
            self.memory.0.refusals.fetch_add(1, Ordering::Relaxed);
        }
        grown
    }

    /// Gives `bytes` back.
    pub(crate) fn shrink(&mut self, bytes: u64) {
        self.bytes -= bytes;
        self.account().held.fetch_sub(bytes, Ordering::Relaxed);
        self.update_place();
        self.account().freed.notify(usize::MAX);
    }

    /// Records that the body is complete: its room is no longer given up.
    pub(crate) fn settle(&mut self) {
        self.leave_place();
    }

    /// Waits for `read`. If it is not ready at once, the room of a request's body may have to be given up meanwhile.
    ///
    /// # Errors
    /// When the room must be given up.
    pub(crate) async fn while_arriving<T>(
        &mut self,
        read: impl Future<Output = T>,
    ) -> Result<T, Full> {
        if !self.kind.may_be_evicted() {
            return Ok(read.await);
        }
        let mut read = pin!(read);
        if let Some(value) = poll_once(read.as_mut()).await {
            return Ok(value);
        }
        let (_, eviction) = self.enter_place();
        let evicted = async {
            eviction.wait().await;
            Err(Full)
        };
        async { Ok(read.await) }.or(evicted).await
    }

    /// Lets the room be given up from now on.
    pub(crate) fn watch(&mut self) -> Eviction {
        self.enter_place().1
    }

    fn account(&self) -> &Account {
        self.memory.account(self.kind)
    }

    fn try_grow(&mut self, bytes: u64) -> bool {
        let sum = self.bytes.saturating_add(bytes);
        let most = self.memory.0.plan.most(self.kind, sum);
        let is_taken = take(&self.account().held, bytes, most);
        if is_taken {
            self.bytes += bytes;
            self.update_place();
        }
        is_taken
    }

    async fn wait_to_grow(&mut self, bytes: u64) -> Result<(), Full> {
        let memory = self.memory.clone();
        let unread = memory.enter_unread();
        // The server sends an answer anyway, and its request has run: it waits beyond the bound too.
        if unread.is_none() && self.kind != Kind::Answer {
            return Err(Full);
        }
        let eviction = self.kind.may_be_evicted().then(|| self.enter_place().1);
        let start = Instant::now();
        let end = start + ROOM_TIMEOUT;
        let mut evict_at = start + PATIENCE;
        loop {
            let freed = memory.account(self.kind).freed.listen();
            if eviction.as_ref().is_some_and(Eviction::is_due) {
                return Err(Full);
            }
            if self.try_grow(bytes) {
                return Ok(());
            }
            let now = Instant::now();
            if now >= end {
                return Err(Full);
            }
            if now >= evict_at {
                memory.evict_heaviest(self.kind, now);
                evict_at = now + PATIENCE;
            }
            let next = evict_at.min(end);
            // Room that is given back may be too little, or taken by another.
            timeout(next.saturating_duration_since(now), freed).await;
        }
    }

    /// Adds the room to those that may have to be given up.
    fn enter_place(&mut self) -> (Arc<Since>, Eviction) {
        if let Some(place) = &self.place {
            return (Arc::clone(&place.since), place.eviction.clone());
        }
        let (evict, evicted) = async_channel::bounded(1);
        let eviction = Eviction(evicted);
        let since = Arc::new(Since::now());
        let entry = Entry {
            bytes: self.bytes,
            since: Arc::clone(&since),
            evict,
        };
        let mut evictable = lock(&self.account().evictable);
        let id = evictable.next_id;
        evictable.next_id += 1;
        evictable.entries.insert(id, entry);
        drop(evictable);
        self.place = Some(Place {
            id,
            since: Arc::clone(&since),
            eviction: eviction.clone(),
        });
        (since, eviction)
    }

    fn update_place(&self) {
        let Some(place) = &self.place else { return };
        let mut evictable = lock(&self.account().evictable);
        if let Some(entry) = evictable.entries.get_mut(&place.id) {
            entry.bytes = self.bytes;
        }
    }

    fn leave_place(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let mut evictable = lock(&self.account().evictable);
        if evictable.entries.remove(&place.id).is_none() {
            evictable.yielding -= 1;
        }
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.account().held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.leave_place();
        self.account().freed.notify(usize::MAX);
    }
}

#[cfg(test)]
#[path = "../memory_tests.rs"]
mod tests;
