//! The fleet configuration: tiers, client accounts, services, rules, policies, operators and routes.

mod check;
mod index;
mod route;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

pub use check::Error;
pub use index::Index;
pub(crate) use index::WEIGHT_RANGE;
pub use route::{CallKind, Route, Split};

/// Kind of a service, which determines how callers reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, reached through the completion endpoints.
    Model,
    /// A plain HTTP service, reached under `/services/NAME/`.
    Plain,
}

/// A priority class of requests with its service objectives; tiers are listed from the highest to the lowest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique name.
    pub name: Name,
    /// Target time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Default deadline for requests without one: time from arrival to the complete answer, in milliseconds.
    #[serde(default = "Tier::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a request that cannot meet its first-token target is refused instead of answered late.
    #[serde(default)]
    pub refuse_late: bool,
}

impl Tier {
    fn default_deadline_ms() -> u64 {
        120_000
    }
}

/// A client account and its fleet-wide limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// SHA-256 of each additional bearer key, in hexadecimal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub more_keys_sha256: Vec<String>,
    /// Tier of its requests unless a rule matches.
    pub tier: Name,
    /// Whether its tier takes precedence over a route's tier.
    #[serde(default)]
    pub outranks_routes: bool,
    /// Limit on requests per second; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Limit on prompt and answer tokens per second; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u32>,
    /// Burst size in tokens; one second's worth of the rate when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u32>,
    /// Tokens charged for a request that does not state a number; 1 when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain_tokens: Option<u32>,
    /// Limit on concurrent requests, waiting or running; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Regions in which its requests may be served; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Name>,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; callers pass it as `model` or in the path.
    pub name: Name,
    /// Kind of the service.
    pub kind: Kind,
    /// Whether a request may safely run twice; if not, each request is claimed before it runs.
    #[serde(default = "Service::default_idempotent")]
    pub idempotent: bool,
    /// Policy that orders its requests; tier order alone when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Name>,
    /// Maximum number of concurrent requests per backend server.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
    /// Requests per second that a backend server can take while it is cold after a start; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_requests_per_second: Option<u32>,
}

impl Account {
    /// Returns the digests of all its keys, in hexadecimal.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.key_sha256).chain(&self.more_keys_sha256)
    }

    /// Returns whether it has a rate limit.
    #[must_use]
    pub fn has_rate(&self) -> bool {
        self.requests_per_second.is_some() || self.tokens_per_second.is_some()
    }

    /// Returns whether its requests may be served in a region.
    #[must_use]
    pub fn allows_region(&self, region: &str) -> bool {
        is_region_allowed(&self.allowed_regions, region)
    }
}

/// Whether a list of allowed regions, which is empty if there is no restriction, allows a region.
fn is_region_allowed(allowed: &[Name], region: &str) -> bool {
    allowed.is_empty() || allowed.iter().any(|name| **name == *region)
}

impl Service {
    fn default_idempotent() -> bool {
        true
    }

    fn default_slots() -> u32 {
        32
    }
}

/// Assigns a tier to the requests that match it; the first matching rule applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Matches requests of this account; any account when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
    /// Matches requests to this service; any service when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Matches requests whose path below the service starts with this prefix; any path when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Tier assigned to matching requests.
    pub tier: Name,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Unique name.
    pub name: Name,
    /// Source code of the program.
    pub program: String,
}

/// A person or tool that may submit configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
}

/// The complete fleet configuration, as operators submit it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Data centres whose backend servers get no new requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<Name>,
    /// Tiers, from the highest to the lowest.
    #[serde(default)]
    pub tiers: Vec<Tier>,
    /// Client accounts, in any order.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Services, in any order.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Tier rules; the first match applies.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Policy programs, in any order.
    #[serde(default)]
    pub policies: Vec<Policy>,
    /// Operators, in any order.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Routes, in any order; the longest matching prefix applies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}
