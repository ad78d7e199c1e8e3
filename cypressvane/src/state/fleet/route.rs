//! Routes, which map requests to services by host and path and set their objectives and retry rules.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::is_region_allowed;
use crate::state::name::Name;

/// Retry semantics of a route's requests after an incomplete answer; unrelated to the HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events; the request may run at most once.
    Stream,
    /// The answer is a stream of numbered events that another server can resume after any event.
    ResumableStream,
}

impl CallKind {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run may be retried on another server.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service's share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// Weight relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A rule by which requests for a host and path are forwarded, with method, target and body unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host of matching requests, in lower case.
    pub host: String,
    /// Path prefix of matching requests; the longest match applies.
    pub prefix: String,
    /// Services that share the traffic, by weight.
    pub splits: Vec<Split>,
    /// Retry semantics of the requests.
    pub method: CallKind,
    /// Tier of requests, unless their account's tier takes precedence (`Account::outranks_routes`).
    pub tier: Name,
    /// Latency objective for an answer, or for the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Maximum pause between events of a stream that still counts as on time, in milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// Maximum time to the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of backend servers to which one request is sent.
    pub attempts: u32,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub public: bool,
    /// Regions in which requests may be served; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Returns the latency objective.
    #[must_use]
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the maximum time to the complete answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns whether requests may be served in a region.
    #[must_use]
    pub fn allows_region(&self, region: &str) -> bool {
        is_region_allowed(&self.allowed_regions, region)
    }

    /// Selects a service by weight; `point` is a uniformly distributed number from 0 to 1.
    #[must_use]
    pub fn service_at(&self, point: f64) -> Option<&Name> {
        let total: f64 = self
            .splits
            .iter()
            .map(|split| f64::from(split.weight))
            .sum();
        let mut remaining = point * total;
        for split in &self.splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        let last_weighted = self.splits.iter().rev().find(|split| split.weight > 0);
        last_weighted.map(|split| &split.service)
    }
}

/// Index of routes by host and path.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Indexes of the routes of each host, sorted from the longest to the shortest prefix.
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

    /// Returns the route with the longest prefix that matches a host and path.
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
