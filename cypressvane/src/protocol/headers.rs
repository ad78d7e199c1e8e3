//! Headers by which callers, hosts and backend servers exchange metadata of requests and answers.
//!
//! Header names differ between sites; a `Dialect` defines them.

use std::fmt;
use std::time::Duration;

use http::header::{AUTHORIZATION, DATE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::coordination::pool::Occupancy;
pub use crate::protocol::notice::{Brittle, Limit, Notice, Rest};
use crate::state::pace::PACE_RANGE;
use crate::state::units::millis;

/// Metadata in a request's headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Id that the caller gave to this attempt.
    pub id: Option<String>,
    /// How long the caller waits for the answer, from the time at which the request was read.
    pub timeout: Option<Duration>,
    /// Bearer key of the caller.
    pub key: Option<String>,
    /// Number of prompt tokens and maximum number of answer tokens.
    pub usage: Option<Usage>,
    /// Caller's estimate of the answer's tokens; it is too low as often as too high.
    pub answer_hint: Option<u32>,
    /// Identifiers of the prompt's parts, or another value that distinguishes the request; opaque.
    pub prompt: Option<String>,
    /// Number of the last event of a stream that the caller has already received.
    pub last_event: Option<u64>,
    /// Id of the attempt that began the stream with which the request goes on.
    pub resumes: Option<String>,
}

/// The size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of answer tokens.
    pub answer: u32,
}

/// Metadata that is sent to a backend server with a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMeta<'a> {
    /// Time remaining until the caller's deadline.
    pub left: Duration,
    /// Client account of the request.
    pub account: Option<&'a str>,
    /// Name of the intended backend server; a different server at its address must not run the request.
    pub server: &'a str,
    /// Number of the last event that the caller has already received.
    pub last_event: Option<u64>,
}

/// Metadata in an answer's status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "these facts are independent of each other"
)]
pub struct AnswerMeta {
    /// The server states that it did not run the request and will not run it.
    pub not_run: bool,
    /// The server at the address is not the intended one.
    pub is_misdirected: bool,
    /// The answer carries the mark that a successful answer must have; always true if the dialect has no mark.
    pub has_mark: bool,
    /// Id of the request that the server answers, if stated.
    pub request_id: Option<String>,
    /// Load of the server, if stated.
    pub load: Option<Load>,
    /// Whether the stated load, or a part of it, is malformed; that part is ignored.
    pub is_load_malformed: bool,
    /// What the server states of itself.
    pub notice: Notice,
}

impl AnswerMeta {
    /// Returns whether this is the answer to the request with the id `request_id`; true if no id is stated.
    #[must_use]
    pub fn is_answer_to(&self, request_id: Option<&str>) -> bool {
        let answered = self.request_id.as_deref();
        answered.is_none_or(|answered| Some(answered) == request_id)
    }

    /// Returns whether the answer comes from the intended server and belongs to the request with the id `request_id`,
    /// so that its metadata applies to that server.
    #[must_use]
    pub fn is_from_intended_server(&self, request_id: Option<&str>) -> bool {
        !self.is_misdirected && self.is_answer_to(request_id)
    }
}

/// Load of a backend server at the time of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting in the server.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time, if stated.
    pub pace: Option<u32>,
}

impl Load {
    /// Returns the requests that are at the server.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.running,
            waiting: self.waiting,
        }
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {}, {} wait",
            self.running, self.slots, self.waiting
        )?;
        match self.pace {
            Some(pace) => write!(f, ", pace {pace}"),
            None => Ok(()),
        }
    }
}

/// Silence of a stream, also before its first event, after which its caller leaves: the longest of three times.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeout {
    /// Minimum time.
    pub least: Duration,
    /// Factor for the route's objective.
    pub objectives: u32,
    /// Factor for the route's maximum pause between events.
    pub pauses: u32,
}

impl SilenceTimeout {
    /// Returns the silence after which a caller leaves a stream of a route with the given objective and maximum pause.
    #[must_use]
    pub fn on(&self, objective: Duration, pause: Duration) -> Duration {
        self.least
            .max(objective.saturating_mul(self.objectives))
            .max(pause.saturating_mul(self.pauses))
    }
}

/// A header that states a fact by having a certain value.
#[derive(Clone, Debug)]
pub struct Flag {
    /// Name of the header.
    pub name: HeaderName,
    /// The value that states the fact; no other value does.
    pub value: &'static str,
}

impl Flag {
    /// Returns whether the headers state the fact.
    fn is_set(&self, headers: &HeaderMap) -> bool {
        header_text(headers, &self.name) == Some(self.value)
    }
}

/// Header names and formats of a site.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The caller's id of an attempt; servers echo it.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The client account; set only by the scheduler, which overwrites the value of a caller.
    pub account: HeaderName,
    /// Name of the intended backend server.
    pub server: HeaderName,
    /// Number of prompt tokens and maximum number of answer tokens, separated by a comma.
    pub usage: HeaderName,
    /// The caller's estimate of the answer's tokens.
    pub answer_hint: HeaderName,
    /// Identifiers of the prompt's parts in order, separated by commas.
    pub prompt: HeaderName,
    /// Requested model.
    pub model: HeaderName,
    /// Number of the last event of a stream that the caller has received.
    pub last_event: HeaderName,
    /// The caller's id of the attempt that began the stream with which the request goes on.
    pub resumes: HeaderName,
    /// States that the server did not run the request.
    pub not_run: HeaderName,
    /// Running requests, waiting requests and slots of the server, and its pace if it states one, separated by commas.
    pub load: HeaderName,
    /// Requests per second that the server accepts from all hosts together.
    pub limit: HeaderName,
    /// Requests that the server can turn away in a second; it ends when it has to turn away more.
    pub brittle: HeaderName,
    /// States that the server is leaving.
    pub leaving: Flag,
    /// Mark that a successful answer must carry; `None` if the site has none.
    pub mark: Option<HeaderName>,
    /// Instructions to a backend server that only the scheduler may give; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Silence of a stream, also before its first event, after which its caller leaves; `None` if callers wait until
    /// their deadline.
    pub silence_timeout: Option<SilenceTimeout>,
    /// Authentication scheme in `Authorization`.
    pub scheme: &'static str,
    /// Whether `Retry-After` may contain fractions of a second.
    pub has_fractional_retry_after: bool,
}

impl Dialect {
    /// Returns the project's own headers.
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
            resumes: name("cypressvane-resumes"),
            not_run: name("cypressvane-not-run"),
            load: name("cypressvane-load"),
            limit: name("cypressvane-limit"),
            brittle: name("cypressvane-brittle"),
            leaving: Flag {
                name: name("x-engine-state"),
                value: "draining",
            },
            mark: None,
            reserved: Vec::new(),
            silence_timeout: None,
            scheme: "Bearer",
            has_fractional_retry_after: false,
        }
    }

    /// Parses the metadata of a request; missing or malformed values are `None`.
    #[must_use]
    pub fn read_request(&self, headers: &HeaderMap) -> RequestMeta {
        RequestMeta {
            id: header_text(headers, &self.request_id).map(str::to_owned),
            timeout: header_number(headers, &self.deadline_ms).map(Duration::from_millis),
            key: bearer(headers, self.scheme).map(str::to_owned),
            usage: header_text(headers, &self.usage).and_then(parse_usage),
            answer_hint: header_text(headers, &self.answer_hint).and_then(|hint| hint.parse().ok()),
            prompt: header_text(headers, &self.prompt).map(str::to_owned),
            last_event: header_number(headers, &self.last_event),
            resumes: header_text(headers, &self.resumes)
                .filter(|id| !id.is_empty())
                .map(str::to_owned),
        }
    }

    /// Returns whether a header is kept even if the caller lists it in `Connection`; without it, the backend server
    /// would receive a different request.
    #[must_use]
    pub fn is_end_to_end(&self, header: &HeaderName) -> bool {
        [
            &self.request_id,
            &self.usage,
            &self.prompt,
            &self.model,
            &self.last_event,
            &self.resumes,
        ]
        .contains(&header)
    }

    /// Converts a caller's headers to the headers that are sent to a backend server.
    pub fn write_request(&self, headers: &mut HeaderMap, meta: &ForwardMeta<'_>) {
        headers.remove(AUTHORIZATION);
        for reserved in &self.reserved {
            headers.remove(reserved);
        }
        set_header(
            headers,
            &self.deadline_ms,
            Some(&millis(meta.left).to_string()),
        );
        set_header(headers, &self.account, meta.account);
        set_header(headers, &self.server, Some(meta.server));
        let last_event = meta.last_event.map(|event| event.to_string());
        set_header(headers, &self.last_event, last_event.as_deref());
    }

    /// Parses the metadata of an answer.
    #[must_use]
    pub fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta {
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let has_header = |name: &HeaderName| headers.contains_key(name);
        let (load, is_load_malformed) = read_load(headers, &self.load);
        AnswerMeta {
            not_run: is_misdirected || has_header(&self.not_run),
            is_misdirected,
            has_mark: self.mark.as_ref().is_none_or(has_header),
            request_id: header_text(headers, &self.request_id).map(str::to_owned),
            load,
            is_load_malformed,
            notice: self.read_notice(status, headers),
        }
    }

    /// Parses what a server states of itself in an answer.
    #[must_use]
    pub fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice {
        // A value that is not text becomes empty, which is malformed.
        let values = |name: &HeaderName| {
            let values = headers.get_all(name).iter();
            values.map(|value| value.to_str().unwrap_or_default())
        };
        let rest = if status == StatusCode::SERVICE_UNAVAILABLE {
            Rest::read(values(&RETRY_AFTER), header_text(headers, &DATE))
        } else {
            Rest::Absent
        };
        Notice {
            limit: Limit::read(values(&self.limit)),
            is_leaving: self.leaving.is_set(headers),
            rest,
            brittle: Brittle::read(values(&self.brittle)),
        }
    }

    /// Returns the headers in which a server states something of itself.
    pub(crate) fn notice_headers(&self) -> [&HeaderName; 5] {
        [
            &self.limit,
            &self.brittle,
            &self.leaving.name,
            &RETRY_AFTER,
            &DATE,
        ]
    }

    /// Adds the caller's request id and the retry delay to an answer that the scheduler itself sends.
    pub fn write_answer(
        &self,
        headers: &mut HeaderMap,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) {
        set_header(headers, &self.request_id, id);
        let Some(wait) = retry_after else { return };
        let seconds = if self.has_fractional_retry_after {
            format!("{:.3}", wait.as_secs_f64())
        } else {
            let rounded_up = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            rounded_up.to_string()
        };
        set_header(headers, &RETRY_AFTER, Some(&seconds));
    }
}

/// Returns a header's value; `None` if it is absent, occurs more than once or is not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// Returns a header's value as an integer.
fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Returns the key in an `Authorization` header with the given scheme.
fn bearer<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let (found, key) = header_text(headers, &AUTHORIZATION)?.split_once(' ')?;
    found.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

/// Parses prompt tokens and answer tokens, separated by a comma.
fn parse_usage(text: &str) -> Option<Usage> {
    let (prompt, answer) = text.split_once(',')?;
    Some(Usage {
        prompt: prompt.trim().parse().ok()?,
        answer: answer.trim().parse().ok()?,
    })
}

/// Reads a server's load; returns whether it, or its pace, is malformed.
fn read_load(headers: &HeaderMap, name: &HeaderName) -> (Option<Load>, bool) {
    if !headers.contains_key(name) {
        return (None, false);
    }
    match header_text(headers, name).and_then(parse_load) {
        Some((load, is_pace_malformed)) => (Some(load), is_pace_malformed),
        None => (None, true),
    }
}

/// Parses running requests, waiting requests, slots and perhaps a pace, separated by commas; returns whether there is a
/// pace that is malformed. Figures after it are ignored.
fn parse_load(text: &str) -> Option<(Load, bool)> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
    let mut load = Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        pace: None,
    };
    let Some(pace) = numbers.next() else {
        return Some((load, false));
    };
    load.pace = pace.filter(|pace| PACE_RANGE.contains(pace));
    Some((load, load.pace.is_none()))
}

/// Sets a header, or removes it if there is no value or the value is not valid in a header.
fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    match value.and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok()) {
        Some(value) => headers.insert(name.clone(), value),
        None => headers.remove(name),
    };
}
