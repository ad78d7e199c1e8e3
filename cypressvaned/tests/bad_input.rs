//! Tests that invalid input from callers gets an error answer, reaches no engine and does not stop the host.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use cypressvane::refusal::{Body, Code, Ran};
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

/// Short timeouts and a small body limit keep the test short.
const SETTINGS: &str = "[timeouts]\nhead_ms = 300\nbody_ms = 300\n[limits]\nbody_bytes = 1000\n";
/// Timeout for reading an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    code: Code,
    /// A header that the answer must contain.
    header: Option<&'static str>,
}

impl Case {
    fn new(name: &'static str, request: String, status: u16, code: Code) -> Self {
        Self {
            name,
            request,
            status,
            code,
            header: None,
        }
    }
}

fn head(start: &str, more: &str) -> String {
    let key = common::URGENT_KEY;
    format!("{start} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n{more}\r\n")
}

fn post(path: &str, body: &str) -> String {
    head(
        &format!("POST {path}"),
        &format!("Content-Length: {}\r\n", body.len()),
    ) + body
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn cases() -> Vec<Case> {
    let completion = |body: &str| post("/v1/completions", body);
    let long = "x".repeat(9000);
    let many: String = (0..140)
        .map(|index| format!("H{index}: v\r\n"))
        .collect::<Vec<_>>()
        .concat();
    let good = r#"{"model": "register-model", "prompt": "hello"}"#;
    vec![
        Case::new("no JSON", completion("{"), 400, Code::BadRequest),
        Case::new(
            "no model",
            completion(r#"{"prompt": "x"}"#),
            400,
            Code::BadRequest,
        ),
        Case::new(
            "no prompt",
            completion(r#"{"model": "register-model"}"#),
            400,
            Code::BadRequest,
        ),
        Case::new(
            "no messages",
            post("/v1/chat/completions", r#"{"model": "register-model"}"#),
            400,
            Code::BadRequest,
        ),
        Case::new(
            "unknown model",
            completion(r#"{"model": "nobody", "prompt": "x"}"#),
            404,
            Code::UnknownModel,
        ),
        Case::new(
            "a plain service is no model",
            completion(r#"{"model": "permit-desk", "prompt": "x"}"#),
            404,
            Code::UnknownModel,
        ),
        Case::new(
            "unknown service",
            head("GET /services/nobody/x", ""),
            404,
            Code::UnknownModel,
        ),
        Case::new(
            "unknown path",
            head("GET /nowhere", ""),
            404,
            Code::NotFound,
        ),
        Case::new(
            "services alone",
            head("GET /services/", ""),
            404,
            Code::NotFound,
        ),
        Case {
            header: Some("allow: POST"),
            ..Case::new(
                "wrong method",
                head("GET /v1/completions", ""),
                405,
                Code::MethodNotAllowed,
            )
        },
        Case {
            header: Some("allow: GET"),
            ..Case::new(
                "wrong method",
                head("DELETE /v1/models", ""),
                405,
                Code::MethodNotAllowed,
            )
        },
        Case::new(
            "no key",
            format!("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 46\r\n\r\n{good}"),
            401,
            Code::Unauthorized,
        ),
        Case::new(
            "wrong key",
            "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer no\r\n\r\n".to_owned(),
            401,
            Code::Unauthorized,
        ),
        Case::new(
            "announced body over the limit",
            completion(&long),
            413,
            Code::BodyTooLarge,
        ),
        Case::new(
            "chunked body over the limit",
            head("POST /v1/completions", "Transfer-Encoding: chunked\r\n")
                + format!("{:x}\r\n{long}\r\n0\r\n\r\n", long.len()).as_str(),
            413,
            Code::BodyTooLarge,
        ),
        Case::new(
            "one long header",
            head("GET /v1/models", &format!("X: {long}\r\n")),
            431,
            Code::HeadTooLarge,
        ),
        Case::new(
            "a line without end",
            long.repeat(3),
            431,
            Code::HeadTooLarge,
        ),
        Case::new(
            "many headers",
            head("GET /v1/models", &many),
            431,
            Code::HeadTooLarge,
        ),
        Case::new("no HTTP", "hello\r\n\r\n".to_owned(), 400, Code::BadRequest),
        Case::new(
            "another version of HTTP",
            "GET /v1/models HTTP/1.0\r\nHost: h\r\n\r\n".to_owned(),
            400,
            Code::BadRequest,
        ),
        Case::new(
            "two lengths of one body",
            head(
                "POST /v1/completions",
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            ),
            400,
            Code::BadRequest,
        ),
        Case::new(
            "a slow head",
            "GET /v1/models HTTP/1.1\r\n".to_owned(),
            408,
            Code::SlowRequest,
        ),
        Case::new(
            "a slow body",
            head("POST /v1/completions", "Content-Length: 46\r\n") + "{",
            408,
            Code::SlowRequest,
        ),
        Case::new(
            "a deadline that is no number",
            head(
                "POST /v1/completions",
                "Cypressvane-Deadline-Ms: soon\r\nContent-Length: 46\r\n",
            ) + good,
            400,
            Code::BadRequest,
        ),
        Case::new(
            "an empty idempotency key",
            head(
                "POST /v1/completions",
                "Idempotency-Key: \r\nContent-Length: 46\r\n",
            ) + good,
            400,
            Code::BadRequest,
        ),
    ]
}

/// Sends a request and reads the whole answer.
fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    // The host may answer and close before the whole request is written, which is not an error here.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&answer);
        if text.contains("\r\n\r\n") && text.ends_with("}}") {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[test]
fn bad_input_gets_a_clear_answer_and_reaches_no_engine() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let engine = fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        fleet.add_host(SETTINGS).await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        let address = fleet.callers(0);
        for case in cases() {
            let name = case.name;
            let answer = smol::unblock(move || exchange(address, &case.request)).await?;
            let status = answer
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            assert_eq!(status, Some(case.status), "{name}: {answer}");
            let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
            let body: Body =
                serde_json::from_str(body).unwrap_or_else(|_| panic!("{name}: {answer}"));
            assert_eq!(body.error.code, case.code, "{name}");
            assert_eq!(body.error.ran, Ran::No, "{name}");
            assert!(!body.error.message.is_empty(), "{name}");
            assert!(answer.contains(&body.error.request_id), "{name}");
            if let Some(header) = case.header {
                assert!(answer.contains(header), "{name}: {answer}");
            }
        }
        assert!(fleet.ledger(engine).await?.seen.is_empty());
        let last = CompletionRequest::new(common::URGENT_KEY, "register-model", "still there");
        let answer = complete(address, &last).await.map_err(io::Error::other)?;
        assert_eq!(answer.text, last.expected());
        Ok(())
    });
}
