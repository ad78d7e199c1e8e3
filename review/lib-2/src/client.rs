//! A stand-in for a client: one attempt on a new channel.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Channel, Message};
use crate::Record;

pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    pub headers: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(id: impl Into<String>, method: &'static str, path: &str, deadline_ms: u64) -> Request {
        Request {
            id: id.into(),
            method,
            path: path.to_owned(),
            key: Some(crate::site::KEY.to_owned()),
            deadline_ms,
            headers: String::new(),
            body: Vec::new(),
        }
    }

    pub fn text(&self) -> Vec<u8> {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n"));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n",
            self.method, self.path, crate::site::HOST, self.id, self.deadline_ms, self.headers, self.body.len()
        );
        [head.as_bytes(), &self.body].concat()
    }
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// The answer, whole.
    pub answer: Option<Message>,
    /// The status, also of an answer that broke off.
    pub status: u16,
    /// Why there is no whole answer.
    pub error: String,
    /// Whether the channel ended, or the client gave up.
    pub is_closed: bool,
    pub took: Duration,
}

impl Outcome {
    pub fn text(&self) -> String {
        let what = if self.answer.is_some() {
            format!("status {}", self.status)
        } else {
            format!("no whole answer (status {}): {}", self.status, self.error)
        };
        format!("{}: {what} after {} ms", self.id, self.took.as_millis())
    }
}

/// Sends a request, and waits for its answer for `patience`.
pub fn send(address: SocketAddr, request: &Request, patience: Duration, record: &Record) -> Outcome {
    let sent = Instant::now();
    record.line(&format!("client: sends {} {} {} to {address}", request.id, request.method, request.path));
    let mut outcome = Outcome {
        id: request.id.clone(),
        answer: None,
        status: 0,
        error: String::new(),
        is_closed: false,
        took: Duration::ZERO,
    };
    let result = (|| {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        let mut channel = Channel::new(stream);
        channel.write(&request.text())?;
        let left = patience.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
        channel.stream.set_read_timeout(Some(left))?;
        let Some(mut head) = channel.head()? else {
            return Err(std::io::Error::new(ErrorKind::UnexpectedEof, "closed without an answer"));
        };
        outcome.status = head.status();
        channel.body(&mut head)?;
        outcome.answer = Some(head);
        Ok(())
    })();
    if let Err(error) = result {
        outcome.is_closed = !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        outcome.error = error.to_string();
    }
    outcome.took = sent.elapsed();
    record.line(&format!("client: {}", outcome.text()));
    outcome
}
