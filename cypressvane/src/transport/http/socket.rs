//! A TCP stream for `async-h1` that bounds heads and detects hang-ups.
//!
//! `async-h1` reads a head line of any length into memory, drops bytes that it read past a request, and accepts a bare
//! line feed as the end of a line. This wrapper returns a head exactly up to its end, rejects one that is too long or
//! contains a bare line feed, keeps the remaining bytes for the next request, and counts the bytes read of a body.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

use super::metered::Slice;

/// Longest head, in bytes; just under the library's own bound, so that this bound applies first.
const HEAD_BYTES_MAX: usize = 8 * 1024 - 1;
/// The empty line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Size of a read from the stream while a head is expected, in bytes.
const HEAD_READ_BYTES: usize = 4 * 1024;
/// Interval at which a stream with unread bytes is checked for its end.
const HANGUP_RETRY: Duration = Duration::from_millis(100);

/// The part of a message that is being read.
#[derive(Debug)]
enum Phase {
    Head { delivered: usize, tail: Vec<u8> },
    Body,
}

#[derive(Debug)]
struct Reading {
    phase: Phase,
    /// Bytes read from the stream and not returned yet.
    buffered: Vec<u8>,
    slice: Slice,
}

#[derive(Debug)]
struct Shared {
    reading: Mutex<Reading>,
    head_too_long: AtomicBool,
    body_bytes: AtomicU64,
}

/// A cloneable stream; all clones share one connection.
#[derive(Clone, Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    shared: Arc<Shared>,
}

impl Socket {
    /// Wraps a stream whose next bytes are a head.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let phase = Phase::Head {
            delivered: 0,
            tail: Vec::new(),
        };
        let reading = Mutex::new(Reading {
            phase,
            buffered: Vec::new(),
            slice: Slice::default(),
        });
        let shared = Shared {
            reading,
            head_too_long: AtomicBool::new(false),
            body_bytes: AtomicU64::new(0),
        };
        Self {
            stream,
            shared: Arc::new(shared),
        }
    }

    /// Returns the wrapped stream.
    pub(crate) fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Starts reading the head of the next message.
    pub(crate) fn start_head(&self) {
        let mut reading = self.reading();
        reading.phase = Phase::Head {
            delivered: 0,
            tail: Vec::new(),
        };
        self.shared.body_bytes.store(0, Ordering::Relaxed);
    }

    /// Whether a head was longer than `HEAD_BYTES_MAX`.
    pub(crate) fn is_head_too_long(&self) -> bool {
        self.shared.head_too_long.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read since the end of the head.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.shared.body_bytes.load(Ordering::Relaxed)
    }

    /// Waits for the first byte of a message; `false` if the connection ended instead.
    pub(crate) async fn readable(&self) -> bool {
        if !self.reading().buffered.is_empty() {
            return true;
        }
        matches!(self.stream.peek(&mut [0]).await, Ok(count) if count > 0)
    }

    /// Waits until the other side has closed the connection.
    ///
    /// A caller that closes only its sending half is treated as gone too.
    pub(crate) async fn hangup(&self) {
        while self.readable().await {
            Timer::after(HANGUP_RETRY).await;
        }
    }

    /// Closes the sending half.
    pub(crate) fn shutdown(&self) {
        // An error means that the connection is already closed.
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
    /// Moves bytes of the head from `buffered` to `buffer`, at most up to the end of the head.
    fn take_head(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Phase::Head { delivered, tail } = &mut self.phase else {
            return Ok(0);
        };
        let mut window = std::mem::take(tail);
        let carried = window.len();
        window.extend_from_slice(&self.buffered);
        let end = memchr::memmem::find(&window, HEAD_END).map(|at| at + HEAD_END.len() - carried);
        let wanted = end.unwrap_or(self.buffered.len());
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
        buffer[..count].copy_from_slice(&self.buffered[..count]);
        let returned = carried + count;
        let kept = returned.saturating_sub(HEAD_END.len() - 1);
        *tail = window[kept..returned].to_vec();
        self.buffered.drain(..count);
        if end == Some(count) {
            self.phase = Phase::Body;
        }
        Ok(count)
    }

    fn is_too_long(&self) -> bool {
        matches!(self.phase, Phase::Head { delivered, .. } if delivered > HEAD_BYTES_MAX)
    }

    fn take_buffered(&mut self, buffer: &mut [u8]) -> usize {
        let count = self.buffered.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.buffered[..count]);
        self.buffered.drain(..count);
        count
    }
}

/// Whether a line feed at or after `from` is not preceded by a carriage return.
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
            let count = if reading.buffered.is_empty() {
                let stream = &mut this.stream;
                let read = |context: &mut Context<'_>| Pin::new(stream).poll_read(context, buffer);
                ready!(reading.slice.poll_read(context, read))?
            } else {
                reading.take_buffered(buffer)
            };
            shared.body_bytes.fetch_add(count as u64, Ordering::Relaxed);
            return Poll::Ready(Ok(count));
        }
        if reading.buffered.is_empty() {
            let mut chunk = [0; HEAD_READ_BYTES];
            let count = ready!(Pin::new(&mut this.stream).poll_read(context, &mut chunk))?;
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            reading.buffered.extend_from_slice(&chunk[..count]);
        }
        let taken = reading.take_head(buffer);
        if reading.is_too_long() {
            shared.head_too_long.store(true, Ordering::Relaxed);
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
