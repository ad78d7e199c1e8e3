//! The contents and form of the answers of an engine.

use std::io;

use async_channel::Receiver;
use cypressvane::prompt::Call as Completion;
use futures_util::{StreamExt as _, TryStreamExt as _, stream};
use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Response, StatusCode};
use serde_json::Value;

use crate::answer;

/// Generates an answer, in which each token is the tag with the index of the token.
#[derive(Debug)]
pub(super) struct AnswerText {
    pub(super) kind: Completion,
    pub(super) id: String,
    pub(super) model: String,
    /// The last word of the prompt.
    pub(super) tag: String,
}

impl AnswerText {
    fn token(&self, index: u32) -> String {
        format!("{}-{index} ", self.tag)
    }

    /// The JSON of one chunk or, with `whole`, of the whole answer.
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

/// Waits for all tokens and returns the answer in one piece.
pub(super) async fn whole_response(
    text: &AnswerText,
    tokens: &Receiver<()>,
    count: u32,
) -> Response {
    let mut content = String::new();
    for index in 0..count {
        if tokens.recv().await.is_err() {
            break;
        }
        content.push_str(&text.token(index));
    }
    answer::json(StatusCode::Ok, &text.json(&content, Some("stop"), true))
}

/// Where a stream ends early, counted in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamFaults {
    /// Fails with a connection reset.
    pub(super) cut_after: Option<u32>,
    /// Closes cleanly, without the `[DONE]` event.
    pub(super) end_after: Option<u32>,
}

/// Returns an answer whose tokens are sent as server-sent events as they arrive.
pub(super) fn streamed_response(
    text: AnswerText,
    tokens: Receiver<()>,
    count: u32,
    faults: StreamFaults,
) -> Response {
    let events = stream::unfold((text, tokens, 0), move |(text, tokens, index)| async move {
        if faults.cut_after == Some(index) {
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(cut), (text, tokens, u32::MAX)));
        }
        if faults.end_after == Some(index) {
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

/// The maximum number of answer tokens that a request body sets.
pub(super) fn max_answer_tokens(body: &[u8]) -> Option<u32> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let limit = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"))?;
    limit.as_u64().and_then(|limit| u32::try_from(limit).ok())
}

/// The last word of the prompt or, in a chat, of the last message.
pub(super) fn tag(body: &[u8]) -> String {
    let text = prompt_text(body);
    text.split_whitespace()
        .last()
        .unwrap_or("nothing")
        .to_owned()
}

/// The prompt or, in a chat, the last message.
pub(super) fn prompt_text(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let message = body["messages"]
        .as_array()
        .and_then(|messages| messages.last());
    let text = message.map_or(&body["prompt"], |message| &message["content"]);
    text.as_str().unwrap_or_default().to_owned()
}
