//! A caller that sends completion requests as clients do and records the answers.

use std::net::SocketAddr;
use std::time::Duration;

use cypressvane::client::{self, Error};
use cypressvane::clock::Instant;
use cypressvane::refusal;
use futures_lite::AsyncReadExt as _;
use http_types::headers::{AUTHORIZATION, CONTENT_TYPE};
use http_types::{Method, Response};
use serde_json::{Value, json};

/// Timeout of a connection, and of the head of an answer.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// The prefix of the data of a server-sent event.
const EVENT_PREFIX: &str = "data: ";
/// The data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The bearer key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The prompt; each token of the answer contains its last word.
    pub prompt: String,
    /// Number of answer tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

impl CompletionRequest {
    /// Creates a request for an answer of 4 tokens that is not streamed.
    #[must_use]
    pub fn new(key: &str, model: &str, prompt: &str) -> Self {
        Self {
            key: key.to_owned(),
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens: 4,
            stream: false,
            headers: Vec::new(),
        }
    }

    /// Streams the answer and sets its number of tokens.
    #[must_use]
    pub fn streamed(mut self, max_tokens: u32) -> Self {
        self.stream = true;
        self.max_tokens = max_tokens;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The text of the complete answer to this request.
    #[must_use]
    pub fn expected(&self) -> String {
        let tag = self.prompt.split_whitespace().last().unwrap_or("nothing");
        let tokens: Vec<String> = (0..self.max_tokens)
            .map(|index| format!("{tag}-{index} "))
            .collect();
        tokens.concat()
    }
}

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The request id.
    pub request_id: String,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The text of the completion.
    pub text: String,
    /// The refusal or failure, if there is one.
    pub error: Option<refusal::Detail>,
    /// Whether the answer is complete.
    pub whole: bool,
    /// Time until the first byte of the body arrived.
    pub first: Duration,
    /// Time until the end of the answer.
    pub total: Duration,
}

/// Sends a completion request and reads the answer to its end.
///
/// # Errors
/// When there is no connection, or it breaks or `TIMEOUT` passes before the head of the answer.
pub async fn complete(
    address: SocketAddr,
    completion: &CompletionRequest,
) -> Result<Answer, Error> {
    let begun = Instant::now();
    let mut request = client::request(Method::Post, address, "/v1/completions");
    request.insert_header(AUTHORIZATION, format!("Bearer {}", completion.key));
    for (name, value) in &completion.headers {
        request.insert_header(name.as_str(), value.as_str());
    }
    let body = json!({
        "model": completion.model,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "stream": completion.stream,
    });
    request.set_body(body.to_string());
    request.insert_header(CONTENT_TYPE, "application/json");
    let connection = client::connect(address, TIMEOUT).await?;
    let mut response = connection.send(request, TIMEOUT).await?;
    let mut answer = Answer {
        status: response.status().into(),
        request_id: header(&response, "x-request-id").unwrap_or_default(),
        retry_after: header(&response, "retry-after").and_then(|text| text.parse().ok()),
        ..Answer::default()
    };
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let ended = loop {
        match response.read(&mut buffer).await {
            Ok(0) => break true,
            Err(_) => break false,
            Ok(count) => {
                if body.is_empty() {
                    answer.first = begun.elapsed();
                }
                body.extend_from_slice(&buffer[..count]);
            }
        }
    };
    answer.total = begun.elapsed();
    let text = String::from_utf8_lossy(&body);
    if completion.stream && answer.status == 200 {
        answer.read_events(&text);
    } else {
        answer.read_whole(&text, ended);
    }
    Ok(answer)
}

impl Answer {
    fn read_whole(&mut self, text: &str, ended: bool) {
        let Ok(value) = serde_json::from_str::<Value>(text) else {
            return;
        };
        if let Ok(body) = serde_json::from_value::<refusal::Body>(value.clone()) {
            self.error = Some(body.error);
            return;
        }
        if let Some(text) = value["choices"][0]["text"].as_str() {
            text.clone_into(&mut self.text);
            self.whole = ended;
        }
    }

    fn read_events(&mut self, text: &str) {
        for event in text
            .split("\n\n")
            .filter_map(|event| event.trim().strip_prefix(EVENT_PREFIX))
        {
            if event == DONE {
                self.whole = true;
                continue;
            }
            let Ok(value) = serde_json::from_str::<Value>(event) else {
                continue;
            };
            if let Some(token) = value["choices"][0]["text"].as_str() {
                self.text.push_str(token);
            } else if let Ok(body) = serde_json::from_value::<refusal::Body>(value) {
                self.error = Some(body.error);
            }
        }
    }
}

/// The value of a response header, if present.
fn header(response: &Response, name: &str) -> Option<String> {
    response
        .header(name)
        .map(|values| values.as_str().to_owned())
}
