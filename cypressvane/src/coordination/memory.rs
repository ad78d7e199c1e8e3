//! How a host divides its memory, and who gives up room when there is too little.

use crate::state::clock::Instant;

/// Bytes in a MiB.
const MIB: u64 = 1 << 20;
/// Memory of the process itself: its program, its tables of hosts, servers and accounts.
const BASE_BYTES: u64 = 24 * MIB;
/// Least memory beside that of the process itself.
const DIVISIBLE_BYTES_MIN: u64 = 16 * MIB;
/// Part of the divisible memory, as a divisor, for bodies and answers.
const CONTENT_SHARE: u64 = 2;
/// Part of the divisible memory, as a divisor, for what the system receives while its reader waits for room.
const UNREAD_SHARE: u64 = 8;
/// Memory of a connection, in bytes: its state, its read buffer, and a head that is not read to its end.
pub(crate) const CONNECTION_BYTES: u64 = 48 << 10;
/// Part of the room for bodies and answers, as a divisor, that only small ones get.
const SMALL_SHARE: u64 = 4;
/// Largest holding that counts as small, in bytes.
pub(crate) const SMALL_BYTES: u64 = 64 << 10;

/// How the memory of a host is divided, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    /// Most that bodies and answers take together.
    content: u64,
    /// Most that is unread in the system's buffers while readers wait for room.
    unread: u64,
    /// Most that connections take; what the other parts leave.
    connections: u64,
}

impl Plan {
    /// Divides the memory that the platform allows the process, in MiB.
    pub(crate) fn of(memory_mb: u64) -> Self {
        let divisible = memory_mb.saturating_mul(MIB).saturating_sub(BASE_BYTES);
        let divisible = divisible.max(DIVISIBLE_BYTES_MIN);
        let (content, unread) = (divisible / CONTENT_SHARE, divisible / UNREAD_SHARE);
        Self {
            content,
            unread,
            connections: divisible - content - unread,
        }
    }

    /// Sets no limits.
    pub(crate) fn unlimited() -> Self {
        Self {
            content: u64::MAX,
            unread: u64::MAX,
            connections: u64::MAX,
        }
    }

    /// Most bytes that the holdings of a part may have together once one of this kind has `bytes`.
    pub(crate) fn most(self, kind: Kind, bytes: u64) -> u64 {
        match kind {
            Kind::Connection => self.connections,
            Kind::SmallBody | Kind::Answer if bytes <= SMALL_BYTES => self.content,
            Kind::SmallBody | Kind::Answer | Kind::Body => {
                self.content - self.content / SMALL_SHARE
            }
        }
    }

    /// Most bytes that may be unread while readers wait for room.
    pub(crate) fn unread_max(self) -> u64 {
        self.unread
    }
}

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A request's body of any size; it uses none of the room that is kept for small holdings.
    Body,
    /// A request's body that says that it is small.
    SmallBody,
    /// A whole answer, which is small as long as it takes no more than `SMALL_BYTES`.
    Answer,
    /// A connection.
    Connection,
}

impl Kind {
    /// Whether it may have to give up its room while it arrives. The work of an answer is done already.
    pub(crate) fn may_be_evicted(self) -> bool {
        self != Self::Answer
    }
}

/// What somebody holds who may have to give it up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holding {
    pub(crate) bytes: u64,
    /// When its holder last came into a state in which it may have to.
    pub(crate) since: Instant,
}

/// Selects the holding that gives up its room: the one with the most bytes, times the time for which it has held them;
/// `None` if all are empty.
pub(crate) fn heaviest<K>(
    holdings: impl IntoIterator<Item = (K, Holding)>,
    now: Instant,
) -> Option<K> {
    let weight = |holding: Holding| {
        let held_for = now.saturating_duration_since(holding.since);
        u128::from(holding.bytes) * held_for.as_millis()
    };
    let weighed = holdings
        .into_iter()
        .filter(|(_, holding)| holding.bytes > 0)
        .map(|(key, holding)| (weight(holding), key));
    let heaviest = weighed.max_by_key(|(weight, _)| *weight);
    heaviest.map(|(_, key)| key)
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
