//! Guards against request smuggling: an ambiguous head is refused on every listener of the product's own
//! interface, and the bytes after it are not read as another request.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

/// Timeout for reading an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// A request after the body, which a parser that uses the shorter length would accept.
const SMUGGLED: &str = "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n";

struct Case {
    name: &'static str,
    /// Header lines, each with its line ending.
    lines: &'static str,
    body: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "two lengths that differ",
        lines: "Content-Length: 4\r\nContent-Length: 40\r\n",
        body: "abcd",
    },
    Case {
        name: "one length twice",
        lines: "Content-Length: 4\r\nContent-Length: 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a list of lengths",
        lines: "Content-Length: 4, 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a signed length",
        lines: "Content-Length: +4\r\n",
        body: "abcd",
    },
    Case {
        name: "a negative length",
        lines: "Content-Length: -4\r\n",
        body: "abcd",
    },
    Case {
        name: "an empty length",
        lines: "Content-Length: \r\n",
        body: "abcd",
    },
    Case {
        name: "a length in hexadecimal",
        lines: "Content-Length: 0x4\r\n",
        body: "abcd",
    },
    Case {
        name: "a length with a coding",
        lines: "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        body: "0\r\n\r\n",
    },
    Case {
        name: "a coding that is not known",
        lines: "Transfer-Encoding: gzip\r\n",
        body: "0\r\n\r\n",
    },
    Case {
        name: "a coding before another",
        lines: "Transfer-Encoding: chunked, identity\r\n",
        body: "0\r\n\r\n",
    },
    Case {
        name: "a coding twice",
        lines: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        body: "0\r\n\r\n",
    },
    Case {
        name: "a line feed alone",
        lines: "X-A: 1\nContent-Length: 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a carriage return alone",
        lines: "X-A: 1\rContent-Length: 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a space before the colon",
        lines: "Content-Length : 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a folded line",
        lines: "X-A: 1\r\n Content-Length: 4\r\n",
        body: "abcd",
    },
    Case {
        name: "a zero byte",
        lines: "X-A: 1\0\r\nContent-Length: 4\r\n",
        body: "abcd",
    },
];

/// Sends a request and reads to the end of the connection.
fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    // The host may answer and close before the whole request is written, which is not an error here.
    let _ = stream.write_all(request.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    // A reset after the answer counts as the end of the connection.
    let _ = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[test]
fn an_ambiguous_head_is_refused_on_every_listener() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let engine = fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        fleet.add_host("").await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        let key = common::URGENT_KEY;
        let listeners = [
            ("callers", fleet.callers(0), "/v1/completions"),
            ("operators", fleet.operators(0), "/admin/v1/configuration"),
            ("peers", fleet.peers(0), "/peer/v1/link"),
        ];
        for (listener, address, path) in listeners {
            for case in CASES {
                let name = format!("{listener}: {}", case.name);
                let text = format!(
                    "POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n{}\r\n{}{SMUGGLED}",
                    case.lines, case.body
                );
                let answer = smol::unblock(move || exchange(address, &text)).await?;
                assert!(answer.starts_with("HTTP/1.1 400 "), "{name}: {answer}");
                assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{name}: {answer}");
                // The refusal must be for the head, not for the contents of the body, which must not be read.
                assert!(answer.contains("head of the request"), "{name}: {answer}");
            }
        }
        assert!(fleet.ledger(engine).await?.seen.is_empty());
        Ok(())
    });
}
