//! A model engine's stand-in: continuous batching, cancelling, and a ledger of what it saw.
//!
//! Time passes in steps. A step prefills up to a chunk of prompt tokens, oldest request first, and
//! decodes one token for each request whose prompt is done; it takes as long as the slower part.

mod steps;
mod text;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use cypressvane::order::Numbered;
use cypressvane::prompt::{Call as Completion, Prompt};
use cypressvane::refusal::Reason;
use cypressvane::runtime;
use cypressvane::server::{self, Call, Endpoint, Options};
use http_types::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::{Task, Timer};

use crate::answer;

pub use steps::Load;
use steps::{Sequence, State};
use text::{Breaks, Text, limit, prompt_text, streamed, tag, whole};

/// Answer tokens when the request sets no limit.
const ANSWER_TOKENS_DEFAULT: u32 = 16;
/// The header that carries the request id.
const REQUEST_ID: &str = "x-request-id";
/// The header that marks a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header in which the engine names how many requests a second it takes.
const LIMIT: &str = "cypressvane-limit";
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
    /// Refuses orders whose number is lower than one it has seen; otherwise ignores numbers.
    pub fencing: bool,
    /// Refuses new requests because it is leaving.
    pub draining: bool,
    /// Names in its answers that it takes so many requests a second.
    pub limit: Option<f64>,
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
            fencing: false,
            draining: false,
            limit: None,
        }
    }
}

/// What the engine saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// How often each request id came.
    pub seen: BTreeMap<String, u64>,
    /// The orders that it carried out.
    pub orders: Vec<Numbered>,
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
    let state = State::new(settings);
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

    /// Carries an order out, unless its number is too low for an engine that checks numbers.
    fn order(&self, body: &[u8]) -> Response {
        let Ok(numbered) = serde_json::from_slice::<Numbered>(body) else {
            return answer::empty(StatusCode::BadRequest);
        };
        let mut state = self.state();
        let newest = state.orders.number.unwrap_or(0);
        if state.settings.fencing && numbered.number < newest {
            return answer::empty(StatusCode::Conflict);
        }
        if state.settings.fencing {
            state.orders.number = Some(numbered.number);
        }
        state.orders.apply(&numbered.order);
        state.ledger.orders.push(numbered);
        answer::empty(StatusCode::Ok)
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
        let named = settings.limit;
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
        if let Some(limit) = named {
            response.insert_header(LIMIT, limit.to_string());
        }
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
            (Method::Get, "/orders") => {
                let report = self.state().orders.clone();
                answer::json(StatusCode::Ok, &report)
            }
            (Method::Post, "/orders") => match call.body().await {
                Ok(body) => self.order(&body),
                Err(reason) => answer::rejected(&reason),
            },
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
