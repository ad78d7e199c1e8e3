//! Extracts the properties of a completion request that the scheduler needs.

use serde::Deserialize;
use serde_json::Value;

/// Approximate number of text bytes per token; learned engine speeds absorb the difference from the true count.
const BYTES_PER_TOKEN: usize = 4;
/// Answer tokens assumed if the caller sets no limit.
const ANSWER_TOKENS_DEFAULT: u32 = 256;

/// Endpoint of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// Properties of a completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model, which is also the name of the service.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Estimated number of prompt tokens, at least 1.
    pub prompt_tokens: u32,
    /// Maximum number of answer tokens.
    pub answer_tokens: u32,
}

/// Reason for which a body is not a valid completion request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not JSON, or its fields have the wrong types.
    #[error("the body is not a completion request: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The field that carries the prompt is missing.
    #[error("the body has no {0:?}")]
    Missing(&'static str),
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    stream: bool,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Prompt {
    /// Parses the body of a completion request.
    ///
    /// # Errors
    /// Fails if the body does not parse or has no prompt.
    pub fn parse(call: Call, body: &[u8]) -> Result<Self, Error> {
        let body: Body = serde_json::from_slice(body)?;
        let text_bytes = match call {
            Call::Completion => {
                let prompt = body.prompt.as_ref().ok_or(Error::Missing("prompt"))?;
                text_bytes(prompt)
            }
            Call::Chat => {
                let messages = body.messages.as_ref().ok_or(Error::Missing("messages"))?;
                messages
                    .iter()
                    .map(|message| text_bytes(&message.content))
                    .sum()
            }
        };
        let prompt_tokens = u32::try_from(text_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let answer_tokens = body.max_completion_tokens.or(body.max_tokens);
        Ok(Self {
            model: body.model,
            stream: body.stream,
            prompt_tokens: prompt_tokens.max(1),
            answer_tokens: answer_tokens.unwrap_or(ANSWER_TOKENS_DEFAULT),
        })
    }
}

/// Counts the bytes of text in a prompt; a number stands for one token of a tokenized prompt.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Number(_) => BYTES_PER_TOKEN,
        Value::Array(items) => items.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.get("text").map_or(0, text_bytes),
        Value::Null | Value::Bool(_) => 0,
    }
}
