//! The rooms of connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::{Eviction, Full, Memory, PATIENCE, Room, Since, Unread};
use crate::coordination::memory::{CONNECTION_BYTES, Kind};
use crate::state::clock::Instant;
use crate::transport::runtime::timeout;

/// The room of an open connection; given back on drop. From its opening to its first whole request, and from each answer to
/// the next one, the connection may have to make room for another.
#[derive(Debug)]
pub(crate) struct Seat {
    usage: Usage,
    eviction: Eviction,
    _room: Room,
}

/// Whether a connection has a request.
#[derive(Clone, Debug)]
pub(crate) struct Usage(Arc<Since>);

/// What becomes of a new connection.
#[derive(Debug)]
pub(crate) enum Reception {
    /// It is served.
    Seated(Seat),
    /// All others have requests, so its own is refused; few are at a time.
    Refused(Unread),
}

impl Usage {
    /// The record of a connection that has no room of its own.
    pub(crate) fn detached() -> Self {
        Self(Arc::new(Since::now()))
    }

    /// Records that a whole request has arrived: the connection is kept until its answer was written.
    pub(crate) fn note_request(&self) {
        self.0.keep();
    }

    /// Records that the last answer was written.
    pub(crate) fn note_answered(&self) {
        self.0.restart();
    }
}

impl Memory {
    /// Receives a new connection, for which the one that has been idle for longest makes room.
    ///
    /// # Errors
    /// When there is no room even to refuse it.
    pub(crate) async fn receive(&self) -> Result<Reception, Full> {
        match self.seat().await {
            Ok(seat) => Ok(Reception::Seated(seat)),
            Err(full) => self.enter_unread().map(Reception::Refused).ok_or(full),
        }
    }

    /// Takes the room of a connection.
    ///
    /// # Errors
    /// When there is none, and no idle connection gives up its own.
    pub(super) async fn seat(&self) -> Result<Seat, Full> {
        let mut room = self.room(Kind::Connection);
        let end = Instant::now() + PATIENCE;
        loop {
            let freed = self.account(Kind::Connection).freed.listen();
            if room.try_grow(CONNECTION_BYTES) {
                break;
            }
            let now = Instant::now();
            if now >= end || !self.evict_heaviest(Kind::Connection, now) {
                self.0.refusals.fetch_add(1, Ordering::Relaxed);
                return Err(Full);
            }
            timeout(end.saturating_duration_since(now), freed).await;
        }
        let (since, eviction) = room.enter_place();
        Ok(Seat {
            usage: Usage(since),
            eviction,
            _room: room,
        })
    }
}

impl Seat {
    /// Returns the record of the connection's requests.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Waits until the connection must be closed to make room for another.
    pub(crate) async fn evicted(&self) {
        self.eviction.wait().await;
    }
}
