//! What backend servers state of themselves in the headers of their answers.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// What a backend server states of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Its rate limit.
    pub limit: Limit,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// For how long it wants no requests.
    pub rest: Rest,
    /// How many requests it can turn away.
    pub brittle: Brittle,
}

impl Notice {
    /// Returns whether the answer states nothing of this.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How many requests a backend server can turn away in a second without ending, as stated in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Brittle {
    /// The server does not state that it is brittle.
    #[default]
    Absent,
    /// Requests in a second; it ends when it has to turn away more.
    Tolerates(u32),
    /// The stated number is invalid.
    Malformed,
}

impl Brittle {
    /// Parses the values of the header; more than one value is malformed.
    #[must_use]
    pub fn read<'a>(mut values: impl Iterator<Item = &'a str>) -> Self {
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let number = value.trim().parse::<u32>();
        number.map_or(Self::Malformed, Self::Tolerates)
    }
}

/// Time for which a backend server wants no requests, as stated with a 503.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Rest {
    /// The answer states no time.
    #[default]
    Absent,
    /// The time, from the answer on.
    For(Duration),
    /// The stated time is invalid.
    Malformed,
}

impl Rest {
    /// Maximum valid time in seconds, some thirty years.
    const SECONDS_MAX: f64 = 1e9;

    /// Parses the values of `Retry-After`: seconds, which may have a fraction, or an HTTP date, which counts from
    /// `date`, the answer's own `Date`. More than one value is malformed.
    #[must_use]
    pub fn read<'a>(mut values: impl Iterator<Item = &'a str>, date: Option<&str>) -> Self {
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let value = value.trim();
        let seconds = value.parse::<f64>().ok();
        let seconds = seconds.filter(|seconds| (0.0..=Self::SECONDS_MAX).contains(seconds));
        let time = seconds
            .map(Duration::from_secs_f64)
            .or_else(|| time_between(date?, value));
        time.map_or(Self::Malformed, Self::For)
    }
}

/// Returns the time from one HTTP date to another; zero if the latter is earlier.
fn time_between(from: &str, to: &str) -> Option<Duration> {
    let parse = |date: &str| -> Option<SystemTime> { httpdate::parse_http_date(date.trim()).ok() };
    let (from, to) = (parse(from)?, parse(to)?);
    Some(to.duration_since(from).unwrap_or_default())
}

/// Rate limit of a backend server, as stated in an answer: requests per second from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Limit {
    /// The answer states no limit.
    #[default]
    #[serde(rename = "n")]
    Absent,
    /// Requests per second; 0 if the server accepts none.
    #[serde(rename = "p")]
    PerSecond(f64),
    /// The stated limit is invalid.
    #[serde(rename = "m")]
    Malformed,
}

impl Limit {
    /// Maximum valid limit in requests per second; no server can be sent more.
    const PER_SECOND_MAX: f64 = 1e9;

    /// Parses the values of the limit header; more than one value is malformed.
    #[must_use]
    pub fn read<'a>(mut values: impl Iterator<Item = &'a str>) -> Self {
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let number = value.trim().parse::<f64>().ok();
        let limit = number.filter(|number| (0.0..=Self::PER_SECOND_MAX).contains(number));
        limit.map_or(Self::Malformed, Self::PerSecond)
    }
}
