//! Routes: which requests go to which service, and under which contract.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// What may be done with a request whose answer did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// Its answer is a stream of numbered events; it may run at most once.
    Stream,
    /// Its answer is a stream of numbered events that another server can take up after any of them.
    ResumableStream,
}

impl Method {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run may be sent to another server.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// Requests that are passed on unchanged, found by host and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// The host that requests name, in lower case.
    pub host: String,
    /// How their path begins; the longest match counts.
    pub prefix: String,
    /// The services that serve it.
    pub splits: Vec<Split>,
    /// What may be repeated.
    pub method: Method,
    /// The tier of requests whose account has none that goes first.
    pub tier: Name,
    /// Time within which an answer, or the first event of a stream, is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between the events of a stream that is still on time, in milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// Longest time to the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Most backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Time within which an answer is worth most.
    #[must_use]
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Longest time to the whole answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// The service at `point`, a number from 0 to 1 that spreads requests by weight.
    #[must_use]
    pub fn service_at(&self, point: f64) -> Option<&Name> {
        let total: f64 = self
            .splits
            .iter()
            .map(|split| f64::from(split.weight))
            .sum();
        let mut left = point * total;
        for split in &self.splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        let weighted = self.splits.iter().rev().find(|split| split.weight > 0);
        weighted.map(|split| &split.service)
    }
}

/// Looks routes up by host and path.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// For each host, its routes from the longest prefix on.
    by_host: HashMap<String, Vec<usize>>,
}

impl Table {
    pub(crate) fn new(routes: &[Route]) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| Reverse(routes[*index].prefix.len()));
        }
        Self { by_host }
    }

    /// The route of a host and path.
    pub(crate) fn find<'a>(
        &self,
        routes: &'a [Route],
        host: &str,
        path: &str,
    ) -> Option<&'a Route> {
        let indexes = match self.by_host.get(host) {
            Some(indexes) => indexes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut found = indexes.iter().map(|index| &routes[*index]);
        found.find(|route| path.starts_with(&route.prefix))
    }
}
