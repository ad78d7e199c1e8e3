//! Tests answers that break off or whose end is not stated.
//!
//! Guards against an answer with an empty or a short body that counts as whole.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use http_types::Method;
use smol::net::TcpListener;

use super::{Error, Reply, call, request};

/// Longest answer that is read, in bytes.
const ANSWER_BYTES_MAX: u64 = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a call to a server that writes `answer`, and then closes the connection.
async fn call_to_server(answer: &str) -> Result<Reply, Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("the call connects");
        let mut head = [0; 1_024];
        // The request is short, so it comes in one piece.
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.close().await;
    };
    let request = request(Method::Get, address, "/");
    let called = call(address, request, ANSWER_BYTES_MAX, CALL_TIMEOUT);
    futures_lite::future::zip(called, serve).await.0
}

#[test]
fn an_answer_counts_only_if_it_is_whole() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        /// The body of the whole answer; `None` if it is never whole.
        body: Option<&'static str>,
        /// Number of bytes at the end without which the body is whole all the same.
        optional: usize,
    }
    let cases = [
        Case {
            name: "a length",
            answer: "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nwhole",
            body: Some("whole"),
            optional: 0,
        },
        Case {
            name: "chunks",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            body: Some("whole"),
            // The empty line after the last chunk, where trailers would be.
            optional: "\r\n".len(),
        },
        Case {
            name: "a status without a body",
            answer: "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
            body: Some(""),
            optional: 0,
        },
        Case {
            name: "neither a length nor chunks",
            answer: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nwhole",
            body: None,
            optional: 0,
        },
        Case {
            name: "an interim head",
            answer: "HTTP/1.1 100 Continue\r\n\r\n",
            body: None,
            optional: 0,
        },
    ];
    smol::block_on(async {
        for case in cases {
            for end in 0..case.answer.len() - case.optional {
                let reply = call_to_server(&case.answer[..end]).await;
                assert!(reply.is_err(), "{}, {end} bytes: {reply:?}", case.name);
            }
            let reply = call_to_server(case.answer).await;
            let body = reply.ok().map(|reply| reply.body);
            let expected = case.body.map(|body| body.as_bytes().to_vec());
            assert_eq!(body, expected, "{}", case.name);
        }
    });
}
