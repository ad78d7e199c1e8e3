//! A connection that gives up its turn while the other side never stops writing, and breaks when too much of what it
//! writes is of no use.
//!
//! A library that parses a message reads until nothing is left to read. Against a peer that always has more, that never
//! ends, and nothing else runs on the thread meanwhile.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Most bytes that are read before other tasks run.
const SLICE_BYTES: usize = 64 * 1024;
/// Most bytes that are read before something of use has come: a head, a part of a body.
const USELESS_BYTES_MAX: usize = 512 * 1024;

/// Counts the bytes that were read since something of use has come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    useless: Arc<AtomicUsize>,
}

impl Meter {
    /// Records that something of use has come.
    pub(crate) fn note_use(&self) {
        self.useless.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) {
        self.useless.fetch_add(bytes, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.useless.load(Ordering::Relaxed) > USELESS_BYTES_MAX
    }
}

/// Bytes that one task may read before it lets others run.
#[derive(Debug, Default)]
pub(crate) struct Slice {
    read: usize,
}

impl Slice {
    /// Reads with `read`, or lets other tasks run first if this one has read much.
    pub(crate) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        read: impl FnOnce(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.read >= SLICE_BYTES {
            self.read = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = read(context);
        match &polled {
            Poll::Ready(Ok(count)) => self.read += count,
            Poll::Ready(Err(_)) | Poll::Pending => self.read = 0,
        }
        polled
    }
}

/// A stream whose reads are metered, if it has a meter, and take turns.
#[derive(Debug)]
pub(crate) struct Metered {
    stream: TcpStream,
    meter: Option<Meter>,
    slice: Slice,
}

impl Metered {
    /// Wraps a stream whose reads take turns.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            meter: None,
            slice: Slice::default(),
        }
    }

    /// Wraps a stream that also breaks when too much comes before `meter` is told of something of use.
    pub(crate) fn with_meter(stream: TcpStream, meter: Meter) -> Self {
        Self {
            meter: Some(meter),
            ..Self::new(stream)
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.meter.as_ref().is_some_and(Meter::is_exceeded) {
            let message = "too many bytes that are no part of a message";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let stream = &mut this.stream;
        let polled = this.slice.poll_read(context, |context| {
            Pin::new(stream).poll_read(context, buffer)
        });
        if let (Some(meter), Poll::Ready(Ok(count))) = (&this.meter, &polled) {
            meter.add(*count);
        }
        polled
    }
}

impl AsyncWrite for Metered {
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

#[cfg(test)]
#[path = "metered_tests.rs"]
mod tests;
