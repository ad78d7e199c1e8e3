//! Reads a body into memory for which room was taken before.

use std::error::Error as StdError;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;

use super::{Eviction, Full, Memory, Room};
use crate::coordination::memory::{Kind, SMALL_BYTES};
use crate::protocol::refusal::{Code, Reason};

/// Size of a connection's read buffer, in bytes.
pub(super) const READ_BYTES: usize = 32 << 10;
/// Largest announced body that arrives with its head, as a rule, so that its connection needs no large read buffer.
const BUFFERED_BYTES: usize = 8 << 10;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum IntakeError {
    /// There is no room for it.
    #[error(transparent)]
    Full(#[from] Full),
    /// It is longer than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLong(usize),
    /// It broke off.
    #[error(transparent)]
    Broken(Box<dyn StdError + Send + Sync>),
}

impl From<IntakeError> for Reason {
    fn from(error: IntakeError) -> Self {
        match error {
            IntakeError::Full(full) => full.into(),
            IntakeError::TooLong(_) => Self::new(Code::BodyTooLarge, error.to_string()),
            IntakeError::Broken(_) => Self::new(Code::BadRequest, error.to_string()),
        }
    }
}

/// A body that is being read. Its bytes lie in one buffer, however many chunks they come in. The buffer's capacity, and
/// what the connection needs to read, count as held.
#[derive(Debug)]
pub(crate) struct Intake {
    room: Room,
    buffer: Vec<u8>,
    /// Part of the room that is for the connection's read buffer.
    read_bytes: usize,
    announced: Option<usize>,
    bytes_max: usize,
}

/// The owner of the bytes of a body that was read.
struct Held {
    bytes: Vec<u8>,
    _room: Room,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Intake {
    /// Opens a body of a request, of which its head announces the length unless it comes in chunks.
    ///
    /// # Errors
    /// When it is known to be longer than `bytes_max`.
    pub(crate) fn of_request(
        memory: &Memory,
        announced: Option<u64>,
        bytes_max: usize,
    ) -> Result<Self, IntakeError> {
        // A crowd of bodies that do not say how large they are would fill the room that is kept for small ones.
        let is_small = |length: u64| length.saturating_add(READ_BYTES as u64) <= SMALL_BYTES;
        let kind = if announced.is_some_and(is_small) {
            Kind::SmallBody
        } else {
            Kind::Body
        };
        Self::open(memory, kind, announced, bytes_max)
    }

    /// Opens a body of an answer.
    ///
    /// # Errors
    /// When it is known to be longer than `bytes_max`.
    pub(crate) fn of_answer(
        memory: &Memory,
        announced: Option<u64>,
        bytes_max: usize,
    ) -> Result<Self, IntakeError> {
        Self::open(memory, Kind::Answer, announced, bytes_max)
    }

    fn open(
        memory: &Memory,
        kind: Kind,
        announced: Option<u64>,
        bytes_max: usize,
    ) -> Result<Self, IntakeError> {
        let bytes_max = bytes_max.min(memory.body_max());
        let announced = match announced.map(usize::try_from) {
            Some(Ok(length)) if length <= bytes_max => Some(length),
            None => None,
            Some(_) => return Err(IntakeError::TooLong(bytes_max)),
        };
        let is_buffered = announced.is_some_and(|length| length <= BUFFERED_BYTES);
        Ok(Self {
            room: memory.room(kind),
            buffer: Vec::new(),
            read_bytes: if is_buffered { 0 } else { READ_BYTES },
            announced,
            bytes_max,
        })
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// When it is too long or breaks off, or when there is no room for it.
    pub(crate) async fn collect<B>(mut self, mut body: B) -> Result<Self, IntakeError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn StdError + Send + Sync>>,
    {
        self.begin().await?;
        loop {
            let frame = self.read(body.frame()).await?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| IntakeError::Broken(error.into()))?;
            if let Ok(data) = frame.into_data() {
                self.push(&data).await?;
            }
        }
        Ok(self)
    }

    /// Takes room for the read buffer, and for all of an announced body: bodies that took it bit by bit could fill the
    /// memory without one of them being whole.
    ///
    /// # Errors
    /// When there is none.
    pub(crate) async fn begin(&mut self) -> Result<(), Full> {
        let announced = self.announced.unwrap_or(0);
        let bytes = self.read_bytes + announced;
        self.room.grow(bytes as u64).await?;
        self.buffer.reserve_exact(announced);
        Ok(())
    }

    /// Takes room for `bytes` more. A body of unknown length takes as much again as it has.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Full> {
        let before = self.buffer.capacity();
        let needed = self.buffer.len() + bytes;
        if needed <= before {
            return Ok(());
        }
        let capacity = needed.max(self.bytes_max.min(2 * before));
        // Both buffers exist while the bytes are moved.
        self.room.grow(capacity as u64).await?;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.room.shrink(before as u64);
        Ok(())
    }

    /// Waits for a read of the body.
    ///
    /// # Errors
    /// When the room must be given up meanwhile.
    pub(crate) async fn read<T>(&mut self, read: impl Future<Output = T>) -> Result<T, Full> {
        self.room.while_arriving(read).await
    }

    /// Adds bytes that were read; no more are read before there is room for them.
    ///
    /// # Errors
    /// When the body is too long, or when there is no room for it.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<(), IntakeError> {
        let length = self.buffer.len() + data.len();
        if length > self.bytes_max {
            return Err(IntakeError::TooLong(self.bytes_max));
        }
        self.reserve(data.len()).await?;
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Number of bytes that were read.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the body, and gives its room back.
    pub(crate) fn into_vec(self) -> Vec<u8> {
        self.buffer
    }

    /// Returns the body of a request. Its room is given back once the last reference to its bytes is dropped.
    pub(crate) fn finish(mut self) -> Bytes {
        self.room.settle();
        self.trim();
        self.into_bytes()
    }

    /// Returns the body of an answer, whose room is given back like a request's. A large one may have to be given up while
    /// it is written; whoever writes it must then close the connection.
    pub(crate) fn finish_answer(mut self) -> (Bytes, Option<Eviction>) {
        self.trim();
        let is_large = self.buffer.len() as u64 > SMALL_BYTES;
        let eviction = is_large.then(|| self.room.watch());
        (self.into_bytes(), eviction)
    }

    /// Gives back what the body does not fill.
    fn trim(&mut self) {
        self.buffer.shrink_to_fit();
        let needed = self.buffer.capacity() as u64;
        self.room.shrink(self.room.bytes.saturating_sub(needed));
    }

    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(Held {
            bytes: self.buffer,
            _room: self.room,
        })
    }
}
