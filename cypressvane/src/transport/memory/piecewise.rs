//! A whole body that is written piece by piece.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// A whole body, of which a connection copies only the next piece into its write buffer: a body that is handed over at
/// once is copied whole, and stays there for as long as the other side does not read.
#[derive(Clone, Debug)]
pub(crate) struct Piecewise(Bytes);

impl Piecewise {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl Body for Piecewise {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let count = self.0.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(count)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
