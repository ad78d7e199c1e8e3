//! What an engine answers.

use std::io;

use async_channel::Receiver;
use cypressvane::prompt::Call as Completion;
use futures_util::{StreamExt as _, TryStreamExt as _, stream};
use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Response, StatusCode};
use serde_json::Value;

use crate::answer;

/// How an answer is worded: the last word of the prompt with the number of the token.
#[derive(Debug)]
pub(super) struct Text {
    pub(super) kind: Completion,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) tag: String,
}

impl Text {
    fn token(&self, index: u32) -> String {
        format!("{}-{index} ", self.tag)
    }

    /// The JSON of a chunk or, with `whole`, of the whole answer.
    fn json(&self, content: &str, finish: Option<&str>, whole: bool) -> Value {
        let choice = match (self.kind, whole) {
            (Completion::Completion, _) => {
                serde_json::json!({"index": 0, "text": content, "finish_reason": finish})
            }
            (Completion::Chat, true) => serde_json::json!({
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": finish,
            }),
            (Completion::Chat, false) => serde_json::json!({
                "index": 0, "delta": {"content": content}, "finish_reason": finish,
            }),
        };
        let object = match (self.kind, whole) {
            (Completion::Completion, _) => "text_completion",
            (Completion::Chat, true) => "chat.completion",
            (Completion::Chat, false) => "chat.completion.chunk",
        };
        serde_json::json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice],
        })
    }
}

/// The whole answer, once all its tokens have come.
pub(super) async fn whole(text: &Text, tokens: &Receiver<()>, count: u32) -> Response {
    let mut content = String::new();
    for index in 0..count {
        if tokens.recv().await.is_err() {
            break;
        }
        content.push_str(&text.token(index));
    }
    answer::json(StatusCode::Ok, &text.json(&content, Some("stop"), true))
}

/// Where a stream breaks off.
#[derive(Clone, Copy, Debug)]
pub(super) struct Breaks {
    pub(super) cut: Option<u32>,
    pub(super) end: Option<u32>,
}

/// An answer whose tokens are sent as they come.
pub(super) fn streamed(text: Text, tokens: Receiver<()>, count: u32, breaks: Breaks) -> Response {
    let events = stream::unfold((text, tokens, 0), move |(text, tokens, index)| async move {
        if breaks.cut == Some(index) {
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(cut), (text, tokens, u32::MAX)));
        }
        if breaks.end == Some(index) {
            return None;
        }
        if index > count {
            return None;
        }
        if index == count {
            return Some((Ok("data: [DONE]\n\n".to_owned()), (text, tokens, index + 1)));
        }
        tokens.recv().await.ok()?;
        let finish = (index + 1 == count).then_some("stop");
        let event = format!("data: {}\n\n", text.json(&text.token(index), finish, false));
        Some((Ok(event), (text, tokens, index + 1)))
    });
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(events.map(|event| event.map(String::into_bytes))).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header(CONTENT_TYPE, "text/event-stream");
    response
}

/// The limit of answer tokens in a body.
pub(super) fn limit(body: &[u8]) -> Option<u32> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let limit = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"))?;
    limit.as_u64().and_then(|limit| u32::try_from(limit).ok())
}

/// The last word of the prompt, or of the last message.
pub(super) fn tag(body: &[u8]) -> String {
    let text = prompt_text(body);
    text.split_whitespace()
        .last()
        .unwrap_or("nothing")
        .to_owned()
}

/// The prompt, or the last message.
pub(super) fn prompt_text(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let message = body["messages"]
        .as_array()
        .and_then(|messages| messages.last());
    let text = message.map_or(&body["prompt"], |message| &message["content"]);
    text.as_str().unwrap_or_default().to_owned()
}
