//! A simulated model engine with continuous batching, cancellation and a ledger of what it received.
//!
//! The engine works in steps. A step prefills up to a chunk of prompt tokens, oldest request first, and
//! decodes one token for each request whose prompt is done. It lasts as long as the slower of the two.

mod steps;
mod text;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use cypressvane::order::FencedOrder;
use cypressvane::prompt::{Call as Completion, Prompt};
use cypressvane::refusal::Reason;
use cypressvane::runtime;
use cypressvane::server::{self, Endpoint, IncomingRequest, Options};
use http_types::headers::RETRY_AFTER;
use http_types::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::{Task, Timer};

use crate::answer;

pub use steps::Load;
use steps::{Sequence, State};
use text::{
    AnswerText, StreamFaults, max_answer_tokens, prompt_text, streamed_response, tag,
    whole_response,
};

/// Number of answer tokens when the request sets no limit.
const ANSWER_TOKENS_DEFAULT: u32 = 16;
/// The header that carries the request id.
const REQUEST_ID: &str = "x-request-id";
/// The header with the idempotency key of a request, which must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The response header that advertises how many requests a second the engine accepts.
const LIMIT: &str = "cypressvane-limit";
/// The response header that announces that the engine is draining.
const ENGINE_STATE: &str = "x-engine-state";

/// Whether an engine is draining, which it announces in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Draining {
    /// It is not.
    #[default]
    No,
    /// It still serves new requests.
    Serves,
    /// It refuses new requests.
    Refuses,
}

/// Speed, capacity and simulated faults of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Prefill speed, in prompt tokens a second.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u32,
    /// Base time of a decoding step, in milliseconds, before the cost of each request; 0 decodes without pause.
    pub decode_ms: f64,
    /// Maximum number of requests in a batch; others wait in the engine in order of arrival.
    pub batch: usize,
    /// Number of prompt and answer tokens that the memory holds for running requests.
    pub memory_tokens: u64,
    /// Size of the prefix cache, in blocks of 64 tokens; 0 disables it.
    pub cache_blocks: usize,
    /// Maximum age of a load report, in milliseconds.
    pub report_ms: u64,
    /// Delay before the work on each request starts, in milliseconds.
    pub delay_ms: u64,
    /// Accepts requests and never answers.
    pub silent: bool,
    /// Request id to answer with, in place of the request's own.
    pub wrong_id: Option<String>,
    /// Breaks a stream with an error after this many tokens.
    pub cut_after: Option<u32>,
    /// Closes a stream cleanly after this many tokens, but without its `[DONE]` event.
    pub end_after: Option<u32>,
    /// Refuses orders with a lower number than the highest one seen; if unset, order numbers are ignored.
    pub fencing: bool,
    /// Whether the engine is draining.
    pub draining: Draining,
    /// Refuses new requests, and asks for that many seconds of rest.
    pub rest_s: Option<f64>,
    /// Request rate limit, in requests a second, that answers advertise.
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
            draining: Draining::No,
            rest_s: None,
            limit: None,
        }
    }
}

/// Counters of the requests and orders that the engine received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// How often each request id was received.
    pub seen: BTreeMap<String, u64>,
    /// The orders that the engine executed, in order.
    pub orders: Vec<FencedOrder>,
    /// How often each idempotency key was received.
    pub keys: BTreeMap<String, u64>,
    /// Requests whose answer was generated completely.
    pub whole: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Prompt tokens prefilled.
    pub prompt_tokens: u64,
    /// Prompt tokens prefilled for requests that were cancelled.
    pub wasted_tokens: u64,
    /// Answer tokens generated.
    pub answer_tokens: u64,
}

#[derive(Debug)]
struct Engine {
    model: String,
    state: Mutex<State>,
    /// Wakes the step loop when there is work.
    wake_up: Sender<()>,
    /// Number of completion requests so far, for the ids of those that come without one.
    completion_requests: AtomicU64,
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
    let (wake_up, wake_ups) = async_channel::bounded(1);
    let state = State::new(settings);
    let engine = Arc::new(Engine {
        model: model.to_owned(),
        state: Mutex::new(state),
        wake_up,
        completion_requests: AtomicU64::new(0),
    });
    let server = server::bind(address, Options::default(), Arc::clone(&engine))?;
    let steps = runtime::spawn(run_steps(Arc::clone(&engine), wake_ups));
    Ok(Handle {
        engine,
        server,
        _steps: steps,
    })
}

impl Handle {
    /// The address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.engine.state().ledger.clone()
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: Settings) {
        self.engine.state().settings = settings;
    }
}

async fn run_steps(engine: Arc<Engine>, wake_ups: Receiver<()>) {
    loop {
        let Some(time) = engine.step() else {
            if wake_ups.recv().await.is_err() {
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

    /// Adds a sequence and returns the channel on which its tokens arrive.
    fn enqueue(&self, prompt_tokens: u32, answer_tokens: u32, text: &str) -> Receiver<()> {
        let (tokens, receiver) = async_channel::bounded(answer_tokens.max(1) as usize);
        let mut sequence = Sequence {
            prompt_left: prompt_tokens,
            prompt_done: 0,
            answer_left: answer_tokens,
            tokens,
        };
        let mut state = self.state();
        let blocks = state.settings.cache_blocks;
        let cached = state.cache.insert_prompt(text, blocks);
        sequence.prompt_left = prompt_tokens.saturating_sub(cached).max(1);
        state.sequences.push(sequence);
        drop(state);
        // When the channel is full, a wake-up is already pending.
        let _ = self.wake_up.try_send(());
        receiver
    }

    /// Executes an order, unless fencing is on and a higher number has been seen.
    fn execute_order(&self, body: &[u8]) -> Response {
        let Ok(numbered) = serde_json::from_slice::<FencedOrder>(body) else {
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

    async fn complete(&self, kind: Completion, call: &mut IncomingRequest) -> Response {
        let body = match call.body().await {
            Ok(body) => body,
            Err(reason) => return answer::rejected(&reason),
        };
        let Ok(prompt) = Prompt::parse(kind, &body) else {
            return answer::empty(StatusCode::BadRequest);
        };
        let given_id = call
            .request
            .header(REQUEST_ID)
            .map(|values| values.as_str().to_owned());
        let number = self.completion_requests.fetch_add(1, Ordering::Relaxed);
        let id = given_id.unwrap_or_else(|| format!("answer-{number}"));
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
        if settings.draining == Draining::Refuses {
            let mut response = answer::empty(StatusCode::ServiceUnavailable);
            response.insert_header(ENGINE_STATE, "draining");
            return response;
        }
        if let Some(rest_s) = settings.rest_s {
            let mut response = answer::empty(StatusCode::ServiceUnavailable);
            response.insert_header(RETRY_AFTER, rest_s.to_string());
            return response;
        }
        let rate_limit = settings.limit;
        if settings.silent {
            return std::future::pending().await;
        }
        Timer::after(Duration::from_millis(settings.delay_ms)).await;
        let answer_tokens = max_answer_tokens(&body)
            .unwrap_or(ANSWER_TOKENS_DEFAULT)
            .max(1);
        let tokens = self.enqueue(prompt.prompt_tokens, answer_tokens, &prompt_text(&body));
        let text = AnswerText {
            kind,
            id: id.clone(),
            model: self.model.clone(),
            tag: tag(&body),
        };
        let shown_id = settings.wrong_id.unwrap_or(id);
        let mut response = if prompt.stream {
            streamed_response(
                text,
                tokens,
                answer_tokens,
                StreamFaults {
                    cut_after: settings.cut_after,
                    end_after: settings.end_after,
                },
            )
        } else {
            whole_response(&text, &tokens, answer_tokens).await
        };
        response.insert_header(REQUEST_ID, shown_id);
        if let Some(limit) = rate_limit {
            response.insert_header(LIMIT, limit.to_string());
        }
        if settings.draining == Draining::Serves {
            response.insert_header(ENGINE_STATE, "draining");
        }
        response
    }
}

impl Endpoint for Engine {
    async fn answer(&self, mut call: IncomingRequest) -> Response {
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
                Ok(body) => self.execute_order(&body),
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
