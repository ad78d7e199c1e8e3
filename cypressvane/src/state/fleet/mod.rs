//! The fleet configuration: tiers, client accounts, services, rules, policies and operators.

mod check;
mod index;
mod route;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

pub use check::Error;
pub use index::Index;
pub use route::{Method, Route, Split};

/// The service kind and what is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, reached through the completion calls.
    Model,
    /// A plain service, reached under `/services/NAME/`.
    Plain,
}

/// A class of requests with a contract; tiers are listed from the highest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique name.
    pub name: Name,
    /// Promised time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Promised time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Longest time from arrival to the whole answer when the caller names none, in milliseconds.
    #[serde(default = "Tier::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a request whose first token is late already is refused rather than answered late.
    #[serde(default)]
    pub refuse_late: bool,
}

impl Tier {
    fn default_deadline_ms() -> u64 {
        120_000
    }
}

/// A client account and its limits over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// SHA-256 of each further bearer key, in hexadecimal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub more_keys_sha256: Vec<String>,
    /// The tier of its requests where no rule says otherwise.
    pub tier: Name,
    /// Whether its tier goes before a route's.
    #[serde(default)]
    pub outranks_routes: bool,
    /// Requests a second; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Prompt and answer tokens a second; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u32>,
    /// Tokens that may be spent at once beyond the rate; one second of the rate when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u32>,
    /// Tokens that a request counts which names none; 1 when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain_tokens: Option<u32>,
    /// Requests waiting or running at once; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; a caller gives it as `model` or in the path.
    pub name: Name,
    /// What is sent to it.
    pub kind: Kind,
    /// Whether running a request twice is harmless; otherwise each request is claimed first.
    #[serde(default = "Service::default_idempotent")]
    pub idempotent: bool,
    /// The policy of its requests; tier order alone when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Name>,
    /// Most requests that one backend server runs at once.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
}

impl Account {
    /// The digests of all its keys.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.key_sha256).chain(&self.more_keys_sha256)
    }

    /// Whether it has a limit over time.
    #[must_use]
    pub fn has_rate(&self) -> bool {
        self.requests_per_second.is_some() || self.tokens_per_second.is_some()
    }
}

impl Service {
    fn default_idempotent() -> bool {
        true
    }

    fn default_slots() -> u32 {
        32
    }
}

/// Gives the requests that match it another tier; the first match counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Only requests of this account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
    /// Only requests to this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Only requests whose path below the service begins so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// The tier that they get.
    pub tier: Name,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Unique name.
    pub name: Name,
    /// The source of the program.
    pub program: String,
}

/// Somebody who may submit configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
}

/// The whole configuration, as operators submit it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// From the highest to the lowest.
    #[serde(default)]
    pub tiers: Vec<Tier>,
    /// In any order.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// In any order.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The first match counts.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// In any order.
    #[serde(default)]
    pub policies: Vec<Policy>,
    /// In any order.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// In any order; the longest prefix counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}
