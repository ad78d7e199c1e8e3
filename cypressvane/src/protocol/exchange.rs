//! What callers, this system and backend servers tell each other beside method, target and body.
//!
//! Which headers carry it differs from site to site: a `Dialect` has their names.

use std::fmt;
use std::time::Duration;

use http::header::{AUTHORIZATION, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::state::units::millis;

/// The project's own header in which a backend server names how many requests a second it takes.
pub(crate) const NATIVE_LIMIT: &str = "cypressvane-limit";

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// How long the caller waits, from when the request was read.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Prompt tokens and largest number of answer tokens.
    pub usage: Option<Usage>,
    /// The caller's guess of the answer's tokens; right as often too low as too high.
    pub answer_hint: Option<u32>,
    /// The prompt's parts, or whatever else tells this request from others; opaque.
    pub prompt: Option<String>,
    /// The last event of a stream that the caller has already.
    pub last_event: Option<u64>,
}

/// The size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub answer: u32,
}

/// What a backend server is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<'a> {
    /// What is left of the caller's patience.
    pub left: Duration,
    /// The client account.
    pub account: Option<&'a str>,
    /// The backend server that is meant; another one at its address must not run the request.
    pub server: &'a str,
    /// The last event that the caller has already.
    pub last_event: Option<u64>,
}

/// What an answer's head says of it and of its server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The server states that it did not run the request and will not.
    pub not_run: bool,
    /// The server at that address is another than was meant.
    pub misdirected: bool,
    /// It bears the mark without which a success does not count.
    pub genuine: bool,
    /// The id of the request that is answered, where it is told.
    pub request_id: Option<String>,
    /// How busy the server was.
    pub load: Option<Load>,
    /// How many requests the server takes.
    pub limit: Limit,
}

impl Reply {
    /// Whether it answers the request with that id, as far as it tells.
    #[must_use]
    pub fn answers(&self, asked: Option<&str>) -> bool {
        let answered = self.request_id.as_deref();
        answered.is_none_or(|answered| Some(answered) == asked)
    }

    /// Whether it was given to the request with that id by the server that was meant, so that it tells of that server.
    #[must_use]
    pub fn tells_of_server(&self, asked: Option<&str>) -> bool {
        !self.misdirected && self.answers(asked)
    }
}

/// How many requests a second a backend server takes from all hosts together, as an answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// It names no limit.
    #[default]
    Unnamed,
    /// Requests a second; 0 where it takes none.
    PerSecond(f64),
    /// What it names is no limit.
    Malformed,
}

impl Limit {
    /// Most requests a second that are a limit: more than a server could be sent.
    const MOST: f64 = 1e9;

    /// Reads the values of the header that names it, of which there may be one.
    #[must_use]
    pub fn read<'a>(mut values: impl Iterator<Item = &'a str>) -> Self {
        let Some(value) = values.next() else {
            return Self::Unnamed;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let number = value.trim().parse::<f64>().ok();
        let limit = number.filter(|number| (0.0..=Self::MOST).contains(number));
        limit.map_or(Self::Malformed, Self::PerSecond)
    }
}

/// How busy a backend server was when it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {}, {} wait",
            self.running, self.slots, self.waiting
        )
    }
}

/// How long callers wait for the first event of a stream: for the longest of three times.
#[derive(Clone, Copy, Debug)]
pub struct StreamPatience {
    /// The least time.
    pub least: Duration,
    /// Objectives of the route.
    pub objectives: u32,
    /// Longest pauses of the route.
    pub pauses: u32,
}

impl StreamPatience {
    /// How long a caller waits on a route with that objective and that longest pause.
    #[must_use]
    pub fn on(&self, objective: Duration, pause: Duration) -> Duration {
        self.least
            .max(objective.saturating_mul(self.objectives))
            .max(pause.saturating_mul(self.pauses))
    }
}

/// The names of a site's headers, with which it reads and writes them.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The caller's id of one attempt; servers echo it.
    pub request_id: HeaderName,
    /// How many milliseconds the caller waits.
    pub deadline_ms: HeaderName,
    /// The client account, set by this system alone.
    pub account: HeaderName,
    /// The name of the backend server that is meant.
    pub server: HeaderName,
    /// Prompt tokens and most answer tokens, with a comma between them.
    pub usage: HeaderName,
    /// The caller's guess of the answer's tokens.
    pub answer_hint: HeaderName,
    /// The parts of the prompt in order, with commas between them.
    pub prompt: HeaderName,
    /// The model that is asked for.
    pub model: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event: HeaderName,
    /// The server did not run the request.
    pub not_run: HeaderName,
    /// Running and waiting requests and slots of the server, with commas between them.
    pub load: HeaderName,
    /// Requests a second that the server takes from all hosts together.
    pub limit: HeaderName,
    /// The server's mark, without which a success does not count; `None` where there is none.
    pub mark: Option<HeaderName>,
    /// Orders to a backend server that only this system may give; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
    /// How long callers wait for the first event of a stream; `None` where they wait as long as for
    /// its end.
    pub stream_patience: Option<StreamPatience>,
    /// The scheme of keys in `Authorization`.
    pub scheme: &'static str,
    /// Whether the time to come back may have fractions of a second.
    pub fractions: bool,
}

impl Dialect {
    /// The project's own headers.
    #[must_use]
    pub fn native() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("cypressvane-deadline-ms"),
            account: name("cypressvane-account"),
            server: name("cypressvane-server"),
            usage: name("cypressvane-usage"),
            answer_hint: name("cypressvane-answer-hint"),
            prompt: name("cypressvane-prompt"),
            model: name("cypressvane-model"),
            last_event: name("last-event-id"),
            not_run: name("cypressvane-not-run"),
            load: name("cypressvane-load"),
            limit: name(NATIVE_LIMIT),
            mark: None,
            reserved: Vec::new(),
            stream_patience: None,
            scheme: "Bearer",
            fractions: false,
        }
    }

    /// Reads what a request says of itself.
    #[must_use]
    pub fn ask(&self, headers: &HeaderMap) -> Ask {
        Ask {
            id: text(headers, &self.request_id).map(str::to_owned),
            patience: number(headers, &self.deadline_ms).map(Duration::from_millis),
            key: bearer(headers, self.scheme).map(str::to_owned),
            usage: text(headers, &self.usage).and_then(usage),
            answer_hint: text(headers, &self.answer_hint).and_then(|hint| hint.parse().ok()),
            prompt: text(headers, &self.prompt).map(str::to_owned),
            last_event: number(headers, &self.last_event),
        }
    }

    /// Whether a caller may not have a header taken off by naming it in `Connection`: without it
    /// the backend server would get another request.
    #[must_use]
    pub fn is_end_to_end(&self, header: &HeaderName) -> bool {
        [
            &self.request_id,
            &self.usage,
            &self.prompt,
            &self.model,
            &self.last_event,
        ]
        .contains(&header)
    }

    /// Turns a caller's headers into those that a backend server gets.
    pub fn deliver(&self, headers: &mut HeaderMap, delivery: &Delivery<'_>) {
        headers.remove(AUTHORIZATION);
        for reserved in &self.reserved {
            headers.remove(reserved);
        }
        set(
            headers,
            &self.deadline_ms,
            Some(&millis(delivery.left).to_string()),
        );
        set(headers, &self.account, delivery.account);
        set(headers, &self.server, Some(delivery.server));
        let last_event = delivery.last_event.map(|event| event.to_string());
        set(headers, &self.last_event, last_event.as_deref());
    }

    /// Reads what an answer says of itself.
    #[must_use]
    pub fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let bears = |name: &HeaderName| headers.contains_key(name);
        Reply {
            not_run: misdirected || bears(&self.not_run),
            misdirected,
            genuine: self.mark.as_ref().is_none_or(bears),
            request_id: text(headers, &self.request_id).map(str::to_owned),
            load: text(headers, &self.load).and_then(load),
            // What is no text is no limit either.
            limit: Limit::read(
                headers
                    .get_all(&self.limit)
                    .iter()
                    .map(|value| value.to_str().unwrap_or_default()),
            ),
        }
    }

    /// Marks an answer of this system: with the caller's id of the request, and when to come back.
    pub fn end(&self, headers: &mut HeaderMap, id: Option<&str>, retry_after: Option<Duration>) {
        set(headers, &self.request_id, id);
        let Some(wait) = retry_after else { return };
        let seconds = if self.fractions {
            format!("{:.3}", wait.as_secs_f64())
        } else {
            let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            rounded_up.to_string()
        };
        set(headers, &RETRY_AFTER, Some(&seconds));
    }
}

/// A header's value; `None` where it is absent, stands twice or is no text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// A header's value as a whole number.
fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// The key in an `Authorization` header of a scheme.
fn bearer<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let (found, key) = text(headers, &AUTHORIZATION)?.split_once(' ')?;
    found.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

/// Two numbers with a comma between them: prompt tokens, answer tokens.
fn usage(text: &str) -> Option<Usage> {
    let (prompt, answer) = text.split_once(',')?;
    Some(Usage {
        prompt: prompt.trim().parse().ok()?,
        answer: answer.trim().parse().ok()?,
    })
}

/// Three numbers with commas between them: running, waiting, slots.
fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// Sets a header, or removes it where there is no value or none that a header can hold.
fn set(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    match value.and_then(|value| HeaderValue::from_str(value).ok()) {
        Some(value) => headers.insert(name.clone(), value),
        None => headers.remove(name),
    };
}
