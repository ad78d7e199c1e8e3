//! The fleet configuration: tiers, client accounts, services, rules, policies and operators.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::state::digest::Key;
use crate::state::name::Name;

/// Most tiers that a fleet may have.
const TIERS_MAX: usize = 16;
/// Longest name, in bytes.
const NAME_BYTES_MAX: usize = 64;

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// The tier of its requests where no rule says otherwise.
    pub tier: Name,
    /// Requests a second; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Prompt and answer tokens a second; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u32>,
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
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a configuration document.
    #[error("{0}")]
    Syntax(String),
    /// A list that must have entries has none.
    #[error("{0}: at least one entry is needed")]
    Empty(&'static str),
    /// A list has too many entries.
    #[error("{list}: {found} entries found, at most {most} allowed")]
    TooMany {
        /// The list.
        list: &'static str,
        /// Its entries.
        found: usize,
        /// The limit.
        most: usize,
    },
    /// A name is empty, too long, or has a character outside the allowed ones.
    #[error("{list}: name {name:?}: 1 to 64 letters, digits, '-', '_' or '.' allowed")]
    Name {
        /// The list.
        list: &'static str,
        /// The name.
        name: Name,
    },
    /// Two entries of a list have the same name or key.
    #[error("{list}: {name:?} stands twice")]
    Twice {
        /// The list.
        list: &'static str,
        /// The name of the later entry.
        name: Name,
    },
    /// An entry names something that does not exist.
    #[error("{list}: entry {entry:?} names {field} {name:?}, which does not exist")]
    Dangling {
        /// The list.
        list: &'static str,
        /// The entry.
        entry: String,
        /// The field.
        field: &'static str,
        /// What it names.
        name: Name,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error("{list}: {name:?}: key_sha256: 64 hexadecimal digits allowed")]
    Digest {
        /// The list.
        list: &'static str,
        /// The entry.
        name: Name,
    },
    /// A number is outside its range.
    #[error("{list}: {name:?}: {field}: {found} found, at least 1 allowed")]
    Zero {
        /// The list.
        list: &'static str,
        /// The entry.
        name: Name,
        /// The field.
        field: &'static str,
        /// The number.
        found: u64,
    },
}

impl Fleet {
    /// Reads a configuration from TOML and checks it.
    ///
    /// # Errors
    /// Says which entry is wrong, what was found and what is allowed.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let fleet: Self = toml::from_str(text).map_err(|error| Error::Syntax(error.to_string()))?;
        fleet.check()?;
        Ok(fleet)
    }

    /// Checks everything but the policy programs, which `policy::Set` compiles.
    ///
    /// # Errors
    /// Says which entry is wrong, what was found and what is allowed.
    pub fn check(&self) -> Result<(), Error> {
        if self.tiers.is_empty() {
            return Err(Error::Empty("tiers"));
        }
        if self.tiers.len() > TIERS_MAX {
            return Err(Error::TooMany {
                list: "tiers",
                found: self.tiers.len(),
                most: TIERS_MAX,
            });
        }
        check_names("tiers", self.tiers.iter().map(|tier| &tier.name))?;
        check_names(
            "accounts",
            self.accounts.iter().map(|account| &account.name),
        )?;
        check_names(
            "services",
            self.services.iter().map(|service| &service.name),
        )?;
        check_names("policies", self.policies.iter().map(|policy| &policy.name))?;
        check_names(
            "operators",
            self.operators.iter().map(|operator| &operator.name),
        )?;
        self.check_tiers()?;
        self.check_accounts()?;
        self.check_services()?;
        self.check_rules()?;
        check_keys(
            "operators",
            self.operators
                .iter()
                .map(|operator| (&operator.name, &operator.key_sha256)),
        )
    }

    fn check_tiers(&self) -> Result<(), Error> {
        for tier in &self.tiers {
            let fields = [
                ("first_token_ms", tier.first_token_ms),
                ("between_tokens_ms", tier.between_tokens_ms),
                ("deadline_ms", tier.deadline_ms),
            ];
            for (field, found) in fields {
                check_positive("tiers", &tier.name, field, found)?;
            }
        }
        Ok(())
    }

    fn check_accounts(&self) -> Result<(), Error> {
        check_keys(
            "accounts",
            self.accounts
                .iter()
                .map(|account| (&account.name, &account.key_sha256)),
        )?;
        for account in &self.accounts {
            self.check_tier("accounts", &account.name, &account.tier)?;
            let limits = [
                ("requests_per_second", account.requests_per_second),
                ("tokens_per_second", account.tokens_per_second),
                ("in_flight", account.in_flight),
            ];
            for (field, limit) in limits {
                let found = limit.map_or(1, u64::from);
                check_positive("accounts", &account.name, field, found)?;
            }
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), Error> {
        let policies: HashSet<&Name> = self.policies.iter().map(|policy| &policy.name).collect();
        for service in &self.services {
            check_positive("services", &service.name, "slots", service.slots.into())?;
            let Some(policy) = &service.policy else {
                continue;
            };
            if !policies.contains(policy) {
                return Err(Error::Dangling {
                    list: "services",
                    entry: service.name.to_string(),
                    field: "policy",
                    name: policy.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_rules(&self) -> Result<(), Error> {
        let accounts: HashSet<&Name> = self.accounts.iter().map(|account| &account.name).collect();
        let services: HashSet<&Name> = self.services.iter().map(|service| &service.name).collect();
        for (index, rule) in self.rules.iter().enumerate() {
            let entry = format!("number {}", index + 1);
            self.check_tier("rules", &entry, &rule.tier)?;
            let named = [
                ("account", &rule.account, &accounts),
                ("service", &rule.service, &services),
            ];
            for (field, name, known) in named {
                let Some(name) = name else { continue };
                if !known.contains(name) {
                    return Err(Error::Dangling {
                        list: "rules",
                        entry,
                        field,
                        name: name.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_tier(&self, list: &'static str, entry: &str, tier: &Name) -> Result<(), Error> {
        if self.tiers.iter().any(|known| known.name == *tier) {
            return Ok(());
        }
        Err(Error::Dangling {
            list,
            entry: entry.to_owned(),
            field: "tier",
            name: tier.clone(),
        })
    }
}

fn check_names<'a>(list: &'static str, names: impl Iterator<Item = &'a Name>) -> Result<(), Error> {
    let mut seen = HashSet::new();
    for name in names {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let sized = (1..=NAME_BYTES_MAX).contains(&name.len());
        if !sized || !name.bytes().all(allowed) {
            return Err(Error::Name {
                list,
                name: name.clone(),
            });
        }
        if !seen.insert(name) {
            return Err(Error::Twice {
                list,
                name: name.clone(),
            });
        }
    }
    Ok(())
}

fn check_keys<'a>(
    list: &'static str,
    keys: impl Iterator<Item = (&'a Name, &'a String)>,
) -> Result<(), Error> {
    let mut seen = HashSet::new();
    for (name, text) in keys {
        let Some(key) = Key::parse(text) else {
            return Err(Error::Digest {
                list,
                name: name.clone(),
            });
        };
        if !seen.insert(key) {
            return Err(Error::Twice {
                list,
                name: name.clone(),
            });
        }
    }
    Ok(())
}

fn check_positive(
    list: &'static str,
    name: &str,
    field: &'static str,
    found: u64,
) -> Result<(), Error> {
    if found == 0 {
        return Err(Error::Zero {
            list,
            name: name.into(),
            field,
            found,
        });
    }
    Ok(())
}

/// A checked configuration with the look-ups of the request path.
#[derive(Debug)]
pub struct Index {
    /// What was checked.
    pub fleet: Fleet,
    accounts: HashMap<Key, usize>,
    services: HashMap<Name, usize>,
    ranks: HashMap<Name, usize>,
}

impl Index {
    /// Builds the look-ups of a checked configuration; entries with a broken key are left out.
    #[must_use]
    pub fn new(fleet: Fleet) -> Self {
        let accounts = fleet
            .accounts
            .iter()
            .enumerate()
            .filter_map(|(index, account)| Some((Key::parse(&account.key_sha256)?, index)))
            .collect();
        let services = fleet
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let ranks = fleet
            .tiers
            .iter()
            .enumerate()
            .map(|(rank, tier)| (tier.name.clone(), rank))
            .collect();
        Self {
            fleet,
            accounts,
            services,
            ranks,
        }
    }

    /// Finds the account of a bearer key.
    ///
    /// The map is keyed by digest, so its timing tells nothing about a key; the digests are then
    /// compared in constant time.
    #[must_use]
    pub fn account(&self, presented: &str) -> Option<&Account> {
        let key = Key::of(presented);
        let (stored, index) = self.accounts.get_key_value(&key)?;
        stored.matches(&key).then(|| &self.fleet.accounts[*index])
    }

    /// Finds the operator of a bearer key.
    #[must_use]
    pub fn operator(&self, presented: &str) -> Option<&Operator> {
        let key = Key::of(presented);
        self.fleet.operators.iter().find(|operator| {
            Key::parse(&operator.key_sha256).is_some_and(|stored| stored.matches(&key))
        })
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.fleet.services[*index])
    }

    /// Gives the rank and tier of a request: the first rule that matches, else its account's.
    #[must_use]
    pub fn tier(&self, account: &Account, service: &Name, path: &str) -> (usize, &Tier) {
        let matches = |rule: &&Rule| {
            rule.account
                .as_ref()
                .is_none_or(|name| *name == account.name)
                && rule.service.as_ref().is_none_or(|name| name == service)
                && rule
                    .path_prefix
                    .as_ref()
                    .is_none_or(|prefix| path.starts_with(prefix))
        };
        let rule = self.fleet.rules.iter().find(matches);
        let name = rule.map_or(&account.tier, |rule| &rule.tier);
        let rank = self
            .ranks
            .get(name)
            .copied()
            .unwrap_or(self.fleet.tiers.len() - 1);
        (rank, &self.fleet.tiers[rank])
    }
}
