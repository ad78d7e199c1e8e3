//! Indexes for lookups on the request path.

use std::collections::HashMap;

use super::route::Table;
use super::{Account, Fleet, Operator, Route, Rule, Service, Tier};
use crate::state::digest::Key;
use crate::state::name::Name;

/// A validated configuration with indexes for lookups on the request path.
#[derive(Debug)]
pub struct Index {
    /// The validated configuration.
    pub fleet: Fleet,
    accounts: HashMap<Key, usize>,
    account_names: HashMap<Name, usize>,
    /// Weight of each account, in the order of the accounts.
    weights: Vec<f64>,
    services: HashMap<Name, usize>,
    ranks: HashMap<Name, usize>,
    routes: Table,
}

/// Smallest and largest weight of an account.
pub(crate) const WEIGHT_RANGE: (f64, f64) = (0.1, 10.0);

impl Index {
    /// Builds the indexes of a validated configuration; accounts' keys that do not parse are skipped.
    #[must_use]
    pub fn new(fleet: Fleet) -> Self {
        let keys = fleet.accounts.iter().enumerate();
        let keys = keys.flat_map(|(index, account)| account.keys().map(move |key| (key, index)));
        let accounts = keys
            .filter_map(|(key, index)| Some((Key::parse(key)?, index)))
            .collect();
        let account_names = fleet
            .accounts
            .iter()
            .enumerate()
            .map(|(index, account)| (account.name.clone(), index))
            .collect();
        let weights = weights(&fleet.accounts);
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
        let routes = Table::new(&fleet.routes);
        Self {
            fleet,
            accounts,
            account_names,
            weights,
            services,
            ranks,
            routes,
        }
    }

    /// Finds the account of a bearer key.
    ///
    /// The map is keyed by digest, so lookup timing reveals nothing about a key; the digests are then compared in
    /// constant time.
    #[must_use]
    pub fn account(&self, presented: &str) -> Option<&Account> {
        let key = Key::of(presented);
        let (stored, index) = self.accounts.get_key_value(&key)?;
        stored.matches(&key).then(|| &self.fleet.accounts[*index])
    }

    /// Finds an account by name.
    #[must_use]
    pub fn account_named(&self, name: &str) -> Option<&Account> {
        let index = self.account_names.get(name)?;
        Some(&self.fleet.accounts[*index])
    }

    /// Returns an account's weight where accounts share a pool; 1 for an account that does not exist, and for requests on
    /// public routes.
    #[must_use]
    pub fn weight(&self, account: &str) -> f64 {
        let index = self.account_names.get(account);
        index.map_or(1.0, |index| self.weights[*index])
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

    /// Returns the rank and tier of a request, from the first matching rule or else from its account.
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

    /// Finds the route for a host and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(&self.fleet.routes, host, path)
    }

    /// Returns the rank and tier of a request on a route; on a public route there may be no account.
    #[must_use]
    pub fn route_tier(&self, route: &Route, account: Option<&Account>) -> (usize, &Tier) {
        let outranking = account.filter(|account| account.outranks_routes);
        let name = outranking.map_or(&route.tier, |account| &account.tier);
        let rank = self.ranks.get(name).copied();
        let rank = rank.unwrap_or(self.fleet.tiers.len() - 1);
        (rank, &self.fleet.tiers[rank])
    }
}

/// Returns the weight of each account: its limit divided by the mean limit in the same unit, tokens or requests per
/// second; 1 without a limit.
fn weights(accounts: &[Account]) -> Vec<f64> {
    let tokens = |account: &Account| account.tokens_per_second.map(f64::from);
    let requests = |account: &Account| account.requests_per_second.map(f64::from);
    let mean_tokens = mean(accounts.iter().filter_map(tokens));
    let mean_requests = mean(accounts.iter().filter_map(requests));
    let weight = |account: &Account| {
        let limit = tokens(account)
            .map(|limit| (limit, mean_tokens))
            .or_else(|| Some((requests(account)?, mean_requests)));
        limit.map_or(1.0, |(limit, mean)| {
            (limit / mean).clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1)
        })
    };
    accounts.iter().map(weight).collect()
}

/// Returns the mean of some numbers; 1 if there are none.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
    if count > 0.0 { sum / count } else { 1.0 }
}
