//! A TCP stream under the HTTP library that bounds heads and notices what the library does not.
//!
//! `async-h1` reads a head line of any length into memory and drops bytes that it read past a
//! request, and its parser takes a line feed alone for the end of a line. This wrapper hands out a head
//! exactly up to its end, fails one that is too long or has such a line, keeps the rest for the next
//! request, and counts what was read of a body.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

/// Longest head, in bytes; just under the library's own bound, so that this one is met first.
const HEAD_BYTES_MAX: usize = 8 * 1024 - 1;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Bytes read from the stream at once while a head is expected.
const HEAD_READ_BYTES: usize = 4 * 1024;
/// How often a stream with unread bytes is looked at again for its end.
const HANGUP_RETRY: Duration = Duration::from_millis(100);

/// What of a message is being read.
#[derive(Debug)]
enum Phase {
    Head { delivered: usize, tail: Vec<u8> },
    Body,
}

#[derive(Debug)]
struct Reading {
    phase: Phase,
    /// Read from the stream, not yet handed out.
    spare: Vec<u8>,
}

#[derive(Debug)]
struct Shared {
    reading: Mutex<Reading>,
    oversize: AtomicBool,
    body_bytes: AtomicU64,
}

/// A cloneable stream; all clones are the same connection.
#[derive(Clone, Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    shared: Arc<Shared>,
}

impl Socket {
    /// Wraps a stream that is about to carry a head.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let phase = Phase::Head {
            delivered: 0,
            tail: Vec::new(),
        };
        let reading = Mutex::new(Reading {
            phase,
            spare: Vec::new(),
        });
        let shared = Shared {
            reading,
            oversize: AtomicBool::new(false),
            body_bytes: AtomicU64::new(0),
        };
        Self {
            stream,
            shared: Arc::new(shared),
        }
    }

    /// Expects the head of the next message.
    pub(crate) fn begin_head(&self) {
        let mut reading = self.reading();
        reading.phase = Phase::Head {
            delivered: 0,
            tail: Vec::new(),
        };
        self.shared.body_bytes.store(0, Ordering::Relaxed);
    }

    /// Whether the head was longer than allowed.
    pub(crate) fn oversize(&self) -> bool {
        self.shared.oversize.load(Ordering::Relaxed)
    }

    /// Bytes handed out since the end of the head.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.shared.body_bytes.load(Ordering::Relaxed)
    }

    /// Waits for the first byte of a message; `false` when the other side closed instead.
    pub(crate) async fn readable(&self) -> bool {
        if !self.reading().spare.is_empty() {
            return true;
        }
        matches!(self.stream.peek(&mut [0]).await, Ok(count) if count > 0)
    }

    /// Waits until the other side has closed the connection.
    ///
    /// A caller that closes only its sending half is taken as gone too.
    pub(crate) async fn hangup(&self) {
        while self.readable().await {
            Timer::after(HANGUP_RETRY).await;
        }
    }

    /// Closes the sending half.
    pub(crate) fn shutdown(&self) {
        // An error means that the connection is gone already, which is what was wanted.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    fn reading(&self) -> std::sync::MutexGuard<'_, Reading> {
        self.shared
            .reading
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reading {
    /// Moves bytes of the head from `spare` to `buffer`, at most up to the end of the head.
    fn take_head(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Phase::Head { delivered, tail } = &mut self.phase else {
            return Ok(0);
        };
        let mut window = std::mem::take(tail);
        let carried = window.len();
        window.extend_from_slice(&self.spare);
        let end = memchr::memmem::find(&window, HEAD_END).map(|at| at + HEAD_END.len() - carried);
        let wanted = end.unwrap_or(self.spare.len());
        let count = wanted.min(buffer.len());
        *delivered += count;
        if *delivered > HEAD_BYTES_MAX {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head is too long",
            ));
        }
        if has_bare_line_feed(&window[..carried + count], carried) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "a line of the head ends without a carriage return",
            ));
        }
        buffer[..count].copy_from_slice(&self.spare[..count]);
        let handed_out = carried + count;
        let kept = handed_out.saturating_sub(HEAD_END.len() - 1);
        *tail = window[kept..handed_out].to_vec();
        self.spare.drain(..count);
        if end == Some(count) {
            self.phase = Phase::Body;
        }
        Ok(count)
    }

    fn is_too_long(&self) -> bool {
        matches!(self.phase, Phase::Head { delivered, .. } if delivered > HEAD_BYTES_MAX)
    }

    fn take_spare(&mut self, buffer: &mut [u8]) -> usize {
        let count = self.spare.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.spare[..count]);
        self.spare.drain(..count);
        count
    }
}

/// Whether a line feed from `from` on has no carriage return before it.
fn has_bare_line_feed(bytes: &[u8], from: usize) -> bool {
    let mut feeds = memchr::memchr_iter(b'\n', bytes).filter(|at| *at >= from);
    feeds.any(|at| at == 0 || bytes[at - 1] != b'\r')
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let shared = Arc::clone(&this.shared);
        let mut reading = shared
            .reading
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if matches!(reading.phase, Phase::Body) {
            let count = if reading.spare.is_empty() {
                ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?
            } else {
                reading.take_spare(buffer)
            };
            shared.body_bytes.fetch_add(count as u64, Ordering::Relaxed);
            return Poll::Ready(Ok(count));
        }
        if reading.spare.is_empty() {
            let mut fresh = [0; HEAD_READ_BYTES];
            let count = ready!(Pin::new(&mut this.stream).poll_read(context, &mut fresh))?;
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            reading.spare.extend_from_slice(&fresh[..count]);
        }
        let taken = reading.take_head(buffer);
        if reading.is_too_long() {
            shared.oversize.store(true, Ordering::Relaxed);
        }
        Poll::Ready(taken)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
