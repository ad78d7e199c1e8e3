//! A model engine's stand-in: continuous batching, cancelling, and a ledger of what it saw.
//!
//! Time passes in steps. A step prefills up to a chunk of prompt tokens, oldest request first, and
//! decodes one token for each request whose prompt is done; it takes as long as the slower part.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use cypressvane::prompt::{Call as Completion, Prompt};
use cypressvane::refusal::Reason;
use cypressvane::runtime;
use cypressvane::server::{self, Call, Endpoint, Options};
use futures_util::{StreamExt as _, TryStreamExt as _, stream};
use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol::{Task, Timer};

use crate::answer;
use crate::cache::Cache;

/// Answer tokens when the request sets no limit.
const ANSWER_TOKENS_DEFAULT: u32 = 16;
/// Added to a decoding step for each request in the batch, as a share of the step.
const BATCH_COST: f64 = 0.02;
/// The header that carries the request id.
const REQUEST_ID: &str = "x-request-id";
/// The header that marks a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header in which the engine says that it is leaving.
const ENGINE_STATE: &str = "x-engine-state";

/// How fast and how well the engine works.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Prompt tokens a second.
    pub prefill_rate: f64,
    /// Prompt tokens of one step.
    pub chunk_tokens: u32,
    /// Time of a decoding step with one request, in milliseconds; 0 decodes without pause.
    pub decode_ms: f64,
    /// Most requests in a batch; others wait in the engine, first come first served.
    pub batch: usize,
    /// Tokens of prompts and answers that the memory holds for running requests.
    pub memory_tokens: u64,
    /// Blocks of 64 tokens of earlier prompts that are remembered; 0 remembers none.
    pub cache_blocks: usize,
    /// How old a report of the load may be, in milliseconds.
    pub report_ms: u64,
    /// Time before each answer's head, in milliseconds.
    pub delay_ms: u64,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Answers with this request id instead of the request's.
    pub wrong_id: Option<String>,
    /// Breaks a stream off after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends a stream after this many tokens as if it were whole, without its last event.
    pub end_after: Option<u32>,
    /// Refuses new requests because it is leaving.
    pub draining: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 8_000.0,
            chunk_tokens: 512,
            decode_ms: 10.0,
            batch: 32,
            memory_tokens: u64::MAX,
            cache_blocks: 0,
            report_ms: 1_000,
            delay_ms: 0,
            silent: false,
            wrong_id: None,
            cut_after: None,
            end_after: None,
            draining: false,
        }
    }
}

/// What the engine saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// How often each request id came.
    pub seen: BTreeMap<String, u64>,
    /// How often each idempotency key came.
    pub keys: BTreeMap<String, u64>,
    /// Requests whose whole answer was made.
    pub whole: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Prompt tokens worked on.
    pub prompt_tokens: u64,
    /// Prompt tokens worked on for requests that were cancelled.
    pub wasted_tokens: u64,
    /// Answer tokens made.
    pub answer_tokens: u64,
}

#[derive(Debug)]
struct Sequence {
    prompt_left: u32,
    prompt_done: u32,
    answer_left: u32,
    tokens: Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    ledger: Ledger,
    sequences: Vec<Sequence>,
    cache: Cache,
    report: Load,
    reported: Option<Instant>,
}

/// What an engine reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait in it.
    pub requests: u64,
    /// Prompt tokens that it has still to work on.
    pub prompt_tokens: u64,
}

#[derive(Debug)]
struct Engine {
    model: String,
    state: Mutex<State>,
    /// Wakes the steps when there is work.
    work: Sender<()>,
    answers: AtomicU64,
}

/// A running engine.
#[derive(Debug)]
pub struct Handle {
    engine: Arc<Engine>,
    server: server::Handle,
    _steps: Task<()>,
}

/// Starts an engine that serves one model.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: SocketAddr, model: &str, settings: Settings) -> io::Result<Handle> {
    let (work, woken) = async_channel::bounded(1);
    let state = State {
        settings,
        ..State::default()
    };
    let engine = Arc::new(Engine {
        model: model.to_owned(),
        state: Mutex::new(state),
        work,
        answers: AtomicU64::new(0),
    });
    let server = server::bind(address, Options::default(), Arc::clone(&engine))?;
    let steps = runtime::spawn(run_steps(Arc::clone(&engine), woken));
    Ok(Handle {
        engine,
        server,
        _steps: steps,
    })
}

impl Handle {
    /// Where it answers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it saw so far.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.engine.state().ledger.clone()
    }

    /// Changes how it works from now on.
    pub fn set(&self, settings: Settings) {
        self.engine.state().settings = settings;
    }
}

async fn run_steps(engine: Arc<Engine>, woken: Receiver<()>) {
    loop {
        let Some(time) = engine.step() else {
            if woken.recv().await.is_err() {
                return;
            }
            continue;
        };
        if time.is_zero() {
            futures_lite::future::yield_now().await;
        } else {
            Timer::after(time).await;
        }
    }
}

impl State {
    /// Prefills and decodes one step; gives the time that it takes, or `None` without work.
    fn step(&mut self) -> Option<Duration> {
        let settings = &self.settings;
        let batch = self.batch();
        if batch == 0 {
            return None;
        }
        let mut chunk = settings.chunk_tokens;
        let mut decoded = 0_u32;
        for sequence in &mut self.sequences[..batch] {
            if sequence.prompt_left > 0 {
                let count = sequence.prompt_left.min(chunk);
                sequence.prompt_left -= count;
                sequence.prompt_done += count;
                chunk -= count;
                self.ledger.prompt_tokens += u64::from(count);
                continue;
            }
            // A full or closed channel: the reader is slow or gone, and the token is lost with it.
            if sequence.tokens.try_send(()).is_ok() {
                sequence.answer_left = sequence.answer_left.saturating_sub(1);
                self.ledger.answer_tokens += 1;
                decoded += 1;
            }
        }
        let prefilled = settings.chunk_tokens - chunk;
        let prefill = f64::from(prefilled) / settings.prefill_rate;
        let decode = settings.decode_ms / 1e3 * (1.0 + BATCH_COST * f64::from(decoded));
        let decode = if decoded > 0 { decode } else { 0.0 };
        self.leave();
        Some(Duration::from_secs_f64(prefill.max(decode)))
    }

    /// Number of requests that run: as many as batch and memory hold, and at least one.
    fn batch(&self) -> usize {
        let mut tokens = 0;
        let fits = |sequence: &&Sequence| {
            let left = sequence.prompt_left + sequence.prompt_done + sequence.answer_left;
            tokens += u64::from(left);
            tokens <= self.settings.memory_tokens
        };
        let running = self
            .sequences
            .iter()
            .take(self.settings.batch)
            .take_while(fits);
        running.count().max(self.sequences.len().min(1))
    }

    /// The load as it was reported last.
    fn report(&mut self) -> Load {
        let age = self.reported.map(|at| at.elapsed());
        let lag = Duration::from_millis(self.settings.report_ms);
        if age.is_none_or(|age| age >= lag) {
            let prompts = self
                .sequences
                .iter()
                .map(|sequence| u64::from(sequence.prompt_left));
            self.report = Load {
                requests: self.sequences.len() as u64,
                prompt_tokens: prompts.sum(),
            };
            self.reported = Some(Instant::now());
        }
        self.report
    }

    /// Lets sequences go that are done or whose reader is gone.
    fn leave(&mut self) {
        let ledger = &mut self.ledger;
        self.sequences.retain(|sequence| {
            let done = sequence.prompt_left == 0 && sequence.answer_left == 0;
            let gone = sequence.tokens.is_closed();
            if done {
                ledger.whole += 1;
            } else if gone {
                ledger.cancelled += 1;
                ledger.wasted_tokens += u64::from(sequence.prompt_done);
            }
            !done && !gone
        });
    }
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self) -> Option<Duration> {
        self.state().step()
    }

    /// Takes a sequence in and gives the channel on which its tokens come.
    fn enter(&self, prompt_tokens: u32, answer_tokens: u32, text: &str) -> Receiver<()> {
        let (tokens, receiver) = async_channel::bounded(answer_tokens.max(1) as usize);
        let mut sequence = Sequence {
            prompt_left: prompt_tokens,
            prompt_done: 0,
            answer_left: answer_tokens,
            tokens,
        };
        let mut state = self.state();
        let blocks = state.settings.cache_blocks;
        let known = state.cache.take(text, blocks);
        sequence.prompt_left = prompt_tokens.saturating_sub(known).max(1);
        state.sequences.push(sequence);
        drop(state);
        // A full channel means that the steps are woken already.
        let _ = self.work.try_send(());
        receiver
    }

    async fn complete(&self, kind: Completion, call: &mut Call) -> Response {
        let body = match call.body().await {
            Ok(body) => body,
            Err(reason) => return answer::rejected(&reason),
        };
        let Ok(prompt) = Prompt::parse(kind, &body) else {
            return answer::empty(StatusCode::BadRequest);
        };
        let given = call
            .request
            .header(REQUEST_ID)
            .map(|values| values.as_str().to_owned());
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let id = given.unwrap_or_else(|| format!("answer-{number}"));
        let settings = self.state().settings.clone();
        *self.state().ledger.seen.entry(id.clone()).or_default() += 1;
        if let Some(key) = call.request.header(IDEMPOTENCY_KEY) {
            let mut state = self.state();
            *state
                .ledger
                .keys
                .entry(key.as_str().to_owned())
                .or_default() += 1;
        }
        if settings.draining {
            let mut response = answer::empty(StatusCode::ServiceUnavailable);
            response.insert_header(ENGINE_STATE, "draining");
            return response;
        }
        if settings.silent {
            return std::future::pending().await;
        }
        Timer::after(Duration::from_millis(settings.delay_ms)).await;
        let answer_tokens = limit(&body).unwrap_or(ANSWER_TOKENS_DEFAULT).max(1);
        let tokens = self.enter(prompt.prompt_tokens, answer_tokens, &prompt_text(&body));
        let text = Text {
            kind,
            id: id.clone(),
            model: self.model.clone(),
            tag: tag(&body),
        };
        let shown_id = settings.wrong_id.unwrap_or(id);
        let mut response = if prompt.stream {
            streamed(
                text,
                tokens,
                answer_tokens,
                Breaks {
                    cut: settings.cut_after,
                    end: settings.end_after,
                },
            )
        } else {
            whole(&text, &tokens, answer_tokens).await
        };
        response.insert_header(REQUEST_ID, shown_id);
        response
    }
}

impl Endpoint for Engine {
    async fn answer(&self, mut call: Call) -> Response {
        let path = call.request.url().path().to_owned();
        match (call.request.method(), path.as_str()) {
            (Method::Post, "/v1/completions") => {
                self.complete(Completion::Completion, &mut call).await
            }
            (Method::Post, "/v1/chat/completions") => {
                self.complete(Completion::Chat, &mut call).await
            }
            (Method::Get, "/ledger") => {
                let ledger = self.state().ledger.clone();
                answer::json(StatusCode::Ok, &ledger)
            }
            (Method::Get, "/load") => {
                let load = self.state().report();
                answer::json(StatusCode::Ok, &load)
            }
            (Method::Put, "/settings") => match call.body().await {
                Ok(body) => match serde_json::from_slice(&body) {
                    Ok(settings) => {
                        self.state().settings = settings;
                        answer::empty(StatusCode::Ok)
                    }
                    Err(_) => answer::empty(StatusCode::BadRequest),
                },
                Err(reason) => answer::rejected(&reason),
            },
            _ => answer::empty(StatusCode::NotFound),
        }
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::rejected(&reason)
    }
}

/// How an answer is worded: the last word of the prompt with the number of the token.
#[derive(Debug)]
struct Text {
    kind: Completion,
    id: String,
    model: String,
    tag: String,
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

async fn whole(text: &Text, tokens: &Receiver<()>, count: u32) -> Response {
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
struct Breaks {
    cut: Option<u32>,
    end: Option<u32>,
}

fn streamed(text: Text, tokens: Receiver<()>, count: u32, breaks: Breaks) -> Response {
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
fn limit(body: &[u8]) -> Option<u32> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let limit = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"))?;
    limit.as_u64().and_then(|limit| u32::try_from(limit).ok())
}

/// The last word of the prompt, or of the last message.
fn tag(body: &[u8]) -> String {
    let text = prompt_text(body);
    text.split_whitespace()
        .last()
        .unwrap_or("nothing")
        .to_owned()
}

/// The prompt, or the last message.
fn prompt_text(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let message = body["messages"]
        .as_array()
        .and_then(|messages| messages.last());
    let text = message.map_or(&body["prompt"], |message| &message["content"]);
    text.as_str().unwrap_or_default().to_owned()
}
