//! Messages of HTTP/1.1 on a blocking channel.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A head and, where it was read, the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
        pair.map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A channel with what was read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(broken("the channel has ended"));
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.rest[..end].to_vec();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    /// Reads a head; `None` if the channel ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }));
            }
            if let Err(error) = self.more() {
                let is_end = error.kind() == io::ErrorKind::UnexpectedEof && self.rest.is_empty();
                return if is_end { Ok(None) } else { Err(error) };
            }
        }
    }

    /// Reads a body of a known length.
    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            self.more()?;
        }
        Ok(self.rest.drain(..length).collect())
    }

    /// Reads the next chunk; empty at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let text = String::from_utf8_lossy(&line).into_owned();
        let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| broken("a malformed chunk"))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body that follows `head`, whole.
    pub fn body(&mut self, head: &mut Message) -> io::Result<()> {
        let is_chunked = head.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(());
                }
                head.body.extend_from_slice(&chunk);
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        head.body = self.exactly(length.unwrap_or(0))?;
        Ok(())
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else { return Ok(None) };
        self.body(&mut head)?;
        Ok(Some(head))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
