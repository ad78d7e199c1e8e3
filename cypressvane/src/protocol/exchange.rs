//! What callers, this system and backend servers tell each other beside method, target and body.
//!
//! Which headers carry it differs from site to site: a `Dialect` reads and writes them. `Native` is
//! the project's own.

use std::time::Duration;

use http::header::{AUTHORIZATION, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
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

/// Reads and writes what a site's headers say.
pub trait Dialect: Send + Sync {
    /// Reads what a request says of itself.
    fn ask(&self, headers: &HeaderMap) -> Ask;

    /// Turns a caller's headers into those that a backend server gets.
    fn deliver(&self, headers: &mut HeaderMap, delivery: &Delivery<'_>);

    /// Reads what an answer says of itself.
    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Marks an answer of this system: with the caller's id of the request, and when to come back.
    fn end(&self, headers: &mut HeaderMap, id: Option<&str>, retry_after: Option<Duration>);
}

/// The project's own headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("cypressvane-deadline-ms");
const ACCOUNT: HeaderName = HeaderName::from_static("cypressvane-account");
const SERVER: HeaderName = HeaderName::from_static("cypressvane-server");
const USAGE: HeaderName = HeaderName::from_static("cypressvane-usage");
const PROMPT: HeaderName = HeaderName::from_static("cypressvane-prompt");
const NOT_RUN: HeaderName = HeaderName::from_static("cypressvane-not-run");
const LOAD: HeaderName = HeaderName::from_static("cypressvane-load");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

impl Dialect for Native {
    fn ask(&self, headers: &HeaderMap) -> Ask {
        Ask {
            id: text(headers, &REQUEST_ID).map(str::to_owned),
            patience: number(headers, &DEADLINE).map(Duration::from_millis),
            key: bearer(headers, "Bearer").map(str::to_owned),
            usage: text(headers, &USAGE).and_then(usage),
            prompt: text(headers, &PROMPT).map(str::to_owned),
            last_event: number(headers, &LAST_EVENT),
        }
    }

    fn deliver(&self, headers: &mut HeaderMap, delivery: &Delivery<'_>) {
        headers.remove(AUTHORIZATION);
        set_number(headers, DEADLINE, millis(delivery.left));
        set_text(headers, ACCOUNT, delivery.account);
        set_text(headers, SERVER, Some(delivery.server));
        match delivery.last_event {
            Some(event) => set_number(headers, LAST_EVENT, event),
            None => set_text(headers, LAST_EVENT, None),
        }
    }

    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        Reply {
            not_run: misdirected || headers.contains_key(NOT_RUN),
            misdirected,
            genuine: true,
            request_id: text(headers, &REQUEST_ID).map(str::to_owned),
            load: text(headers, &LOAD).and_then(load),
        }
    }

    fn end(&self, headers: &mut HeaderMap, id: Option<&str>, retry_after: Option<Duration>) {
        set_text(headers, REQUEST_ID, id);
        if let Some(wait) = retry_after {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            set_number(headers, RETRY_AFTER, seconds);
        }
    }
}

/// A header's value; `None` where it is absent, stands twice or is no text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// A header's value as a whole number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// The key in an `Authorization` header of a scheme.
#[must_use]
pub fn bearer<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let (found, key) = text(headers, &AUTHORIZATION)?.split_once(' ')?;
    found.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

/// Two numbers with a comma between them: prompt tokens, answer tokens.
#[must_use]
pub fn usage(text: &str) -> Option<Usage> {
    let (prompt, answer) = text.split_once(',')?;
    Some(Usage {
        prompt: prompt.trim().parse().ok()?,
        answer: answer.trim().parse().ok()?,
    })
}

/// Three numbers with commas between them: running, waiting, slots.
#[must_use]
pub fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// Sets a header to a number.
pub fn set_number(headers: &mut HeaderMap, name: HeaderName, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}

/// Sets a header, or removes it where there is no value or none that a header can hold.
pub fn set_text(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    match value.and_then(|value| HeaderValue::from_str(value).ok()) {
        Some(value) => headers.insert(name, value),
        None => headers.remove(name),
    };
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
