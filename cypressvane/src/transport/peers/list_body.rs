//! An answer with the whole host list, which keeps its permit until it is sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::Cursor;
use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Response, StatusCode};
use smol::lock::SemaphoreGuardArc;

struct ListBody {
    content: Cursor<Vec<u8>>,
    _permit: SemaphoreGuardArc,
}

/// Builds the answer; `permit` is returned when the answer is dropped, sent or not.
pub(super) fn answer(content: Vec<u8>, permit: SemaphoreGuardArc) -> Response {
    let length = content.len();
    let body = ListBody {
        content: Cursor::new(content),
        _permit: permit,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(body, Some(length)));
    response
}

impl AsyncRead for ListBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.content).poll_read(context, buffer)
    }
}

impl AsyncBufRead for ListBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().content).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.content).consume(amount);
    }
}
