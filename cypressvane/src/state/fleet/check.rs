//! Validation of the fleet configuration.

use std::collections::HashSet;

use super::Fleet;
use crate::state::digest::Key;
use crate::state::name::Name;

/// Maximum number of tiers.
const TIERS_MAX: usize = 16;
/// Maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Reason for which a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a valid configuration document.
    #[error("{0}")]
    Syntax(String),
    /// A list that needs at least one entry is empty.
    #[error("{0}: at least one entry is needed")]
    Empty(&'static str),
    /// A list has too many entries.
    #[error("{list}: {found} entries found, at most {most} allowed")]
    TooMany {
        /// The list.
        list: &'static str,
        /// Number of entries found.
        found: usize,
        /// Maximum number of entries.
        most: usize,
    },
    /// A name is empty, too long or contains a character that is not allowed.
    #[error("{list}: name {name:?}: 1 to 64 letters, digits, '-', '_' or '.' allowed")]
    Name {
        /// The list.
        list: &'static str,
        /// The name.
        name: Name,
    },
    /// Two entries of a list have the same name or key.
    #[error("{list}: {name:?} stands twice")]
    Duplicate {
        /// The list.
        list: &'static str,
        /// Name of the later entry.
        name: Name,
    },
    /// An entry refers to an object that does not exist.
    #[error("{list}: entry {entry:?} names {field} {name:?}, which does not exist")]
    Dangling {
        /// The list.
        list: &'static str,
        /// The entry.
        entry: String,
        /// The field.
        field: &'static str,
        /// Name of the missing object.
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
    /// A number that must be positive is zero.
    #[error("{list}: {name:?}: {field}: {found} found, at least 1 allowed")]
    Zero {
        /// The list.
        list: &'static str,
        /// The entry.
        name: Name,
        /// The field.
        field: &'static str,
        /// Value found.
        found: u64,
    },
}

impl Fleet {
    /// Parses a configuration from TOML and validates it.
    ///
    /// # Errors
    /// Reports the first invalid entry, with the value found and the values allowed.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let fleet: Self = toml::from_str(text).map_err(|error| Error::Syntax(error.to_string()))?;
        fleet.check()?;
        Ok(fleet)
    }

    /// Validates everything except the policy programs, which `policy::Programs` compiles.
    ///
    /// # Errors
    /// Reports the first invalid entry, with the value found and the values allowed.
    pub fn check(&self) -> Result<(), Error> {
        if self.tiers.len() > TIERS_MAX {
            return Err(Error::TooMany {
                list: "tiers",
                found: self.tiers.len(),
                most: TIERS_MAX,
            });
        }
        for (list, names) in self.names() {
            check_names(list, &names)?;
        }
        for account in &self.accounts {
            check_names("accounts.allowed_regions", &account.allowed_regions)?;
        }
        for route in &self.routes {
            check_names("routes.allowed_regions", &route.allowed_regions)?;
        }
        self.check_consistency()
    }

    /// Validates what requests depend on. A configuration that operators keep on the platform follows the platform's
    /// rules for names and numbers instead of those of `check`.
    ///
    /// # Errors
    /// Reports the first invalid entry, with the value found and the values allowed.
    pub fn check_consistency(&self) -> Result<(), Error> {
        if self.tiers.is_empty() {
            return Err(Error::Empty("tiers"));
        }
        for (list, names) in self.names() {
            check_unique(list, &names)?;
        }
        self.check_tiers()?;
        self.check_accounts()?;
        self.check_services()?;
        self.check_rules()?;
        self.check_routes()?;
        check_keys(
            "operators",
            self.operators
                .iter()
                .map(|operator| (&operator.name, &operator.key_sha256)),
        )
    }

    /// The names of each list.
    fn names(&self) -> [(&'static str, Vec<Name>); 7] {
        let tiers = self.tiers.iter().map(|tier| tier.name.clone());
        let accounts = self.accounts.iter().map(|account| account.name.clone());
        let services = self.services.iter().map(|service| service.name.clone());
        let policies = self.policies.iter().map(|policy| policy.name.clone());
        let operators = self.operators.iter().map(|operator| operator.name.clone());
        let routes = self.routes.iter().map(|route| route.name.clone());
        [
            ("tiers", tiers.collect()),
            ("accounts", accounts.collect()),
            ("services", services.collect()),
            ("policies", policies.collect()),
            ("operators", operators.collect()),
            ("evacuated", self.evacuated.clone()),
            ("routes", routes.collect()),
        ]
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
                .flat_map(|account| account.keys().map(|key| (&account.name, key))),
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
            let cold_rate = service.cold_requests_per_second.map_or(1, u64::from);
            check_positive(
                "services",
                &service.name,
                "cold_requests_per_second",
                cold_rate,
            )?;
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

    fn check_routes(&self) -> Result<(), Error> {
        let services: HashSet<&Name> = self.services.iter().map(|service| &service.name).collect();
        for route in &self.routes {
            self.check_tier("routes", &route.name, &route.tier)?;
            let weights = route.splits.iter().map(|split| u64::from(split.weight));
            let fields = [
                ("objective_ms", route.objective_ms),
                ("timeout_ms", route.timeout_ms),
                ("attempts", route.attempts.into()),
                ("splits", weights.sum()),
            ];
            for (field, found) in fields {
                check_positive("routes", &route.name, field, found)?;
            }
            let unknown = route
                .splits
                .iter()
                .find(|split| !services.contains(&split.service));
            if let Some(split) = unknown {
                return Err(Error::Dangling {
                    list: "routes",
                    entry: route.name.to_string(),
                    field: "service",
                    name: split.service.clone(),
                });
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

fn check_names(list: &'static str, names: &[Name]) -> Result<(), Error> {
    for name in names {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_valid_length = (1..=NAME_BYTES_MAX).contains(&name.len());
        if !is_valid_length || !name.bytes().all(is_allowed) {
            return Err(Error::Name {
                list,
                name: name.clone(),
            });
        }
    }
    check_unique(list, names)
}

fn check_unique(list: &'static str, names: &[Name]) -> Result<(), Error> {
    let mut seen = HashSet::new();
    let repeated = names.iter().find(|name| !seen.insert(*name));
    repeated.map_or(Ok(()), |name| {
        Err(Error::Duplicate {
            list,
            name: name.clone(),
        })
    })
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
            return Err(Error::Duplicate {
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
