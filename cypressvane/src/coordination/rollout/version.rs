//! Which versions of a service get its traffic, and which backend servers are canaries.
//!
//! Without an order, all versions do. An order restricts the ordered version until it is completed, and the versions
//! that it replaces from then on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::retention::RETAINED_FOR;
use crate::coordination::version::Constraint;
use crate::coordination::view::View;
use crate::state::clock::Instant;
use crate::state::digest;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// Least number of canaries: the failure of a single server must not be all the evidence on a version.
const CANARIES_MIN: usize = 2;

/// Time after which a version that joins others gets new requests: an order for it, and the news that it is there, reach
/// all hosts meanwhile.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time for which a list must have been followed until a version that it lacks is gone: the entries of servers that expired
/// in an outage of the platform come back one by one.
pub(crate) const ABSENCE_TIME: Duration = RETAINED_FOR.saturating_add(SETTLE_TIME);

/// How a host begins to coordinate an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    /// It tries the version, and goes on with the progress that was stored, if there is any.
    Try,
    /// There is nothing to try: no other version serves.
    Complete,
    /// Whether another version serves is not known yet.
    Wait,
}

impl Opening {
    /// Decides by whether the order has stored progress, and by whether the ordered version is the only one. Progress was
    /// stored when other versions served, so a list that lacks them does not end the order.
    pub(crate) fn decide(has_progress: bool, is_only: &View<bool>) -> Self {
        match is_only {
            _ if has_progress => Self::Try,
            View::Partial(true) => Self::Wait,
            View::Whole(true) => Self::Complete,
            View::Partial(false) | View::Whole(false) => Self::Try,
        }
    }
}

/// What servers of a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// All requests.
    Open,
    /// Only requests that name the version.
    Tried,
    /// The same, until the version has settled or the servers of all others leave.
    Settling,
    /// No requests.
    Closed,
}

/// What a host knows of a service's versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownVersions {
    /// The versions in the host list, and when this host first saw each; `None` if it was in the first list.
    pub(crate) listed: BTreeMap<Name, Option<Instant>>,
    /// The version of the newest order, and the order's stage where that is known.
    pub(crate) ordered: Option<(Name, Option<Stage>)>,
    /// The versions that the ordered one replaces: those that were listed before the order was decided.
    pub(crate) replaced: BTreeSet<Name>,
}

impl KnownVersions {
    /// Applies the versions in the host list; `is_first` if it is the first list that is read.
    pub(crate) fn apply_list(&mut self, listed: &BTreeSet<Name>, is_first: bool, now: Instant) {
        self.listed.retain(|version, _| listed.contains(version));
        for version in listed {
            let since = (!is_first).then_some(now);
            self.listed.entry(version.clone()).or_insert(since);
        }
        match &self.ordered {
            // While the order is undecided, a version that is missing for a time is still one that it replaces.
            Some((to, None | Some(Stage::InProgress))) => {
                let others = listed.iter().filter(|version| *version != to);
                self.replaced.extend(others.cloned());
            }
            Some(_) => self.replaced.retain(|version| listed.contains(version)),
            None => {}
        }
    }

    /// Applies a new order, or how an order ended.
    pub(crate) fn apply_order(&mut self, to: &Name, stage: Option<Stage>) {
        if self.ordered.as_ref().map(|(to, _)| to) != Some(to) {
            let others = self.listed.keys().filter(|version| *version != to);
            self.replaced = others.cloned().collect();
        }
        self.ordered = Some((to.clone(), stage));
    }

    /// Returns whether a version is listed and replaces no other, as far as this host has seen.
    pub(crate) fn is_only(&self, version: &Name) -> bool {
        self.replaced.is_empty() && self.listed.contains_key(version)
    }

    /// Returns what servers of a version may get.
    pub(crate) fn access(&self, version: &Name, now: Instant) -> Access {
        let by_order = self.access_by_order(version);
        if by_order == Access::Open && self.is_settling(version, now) {
            return Access::Settling;
        }
        by_order
    }

    fn access_by_order(&self, version: &Name) -> Access {
        let Some((to, stage)) = &self.ordered else {
            return Access::Open;
        };
        let is_ordered = version == to;
        match stage {
            None | Some(Stage::InProgress) if is_ordered && !self.replaced.is_empty() => {
                Access::Tried
            }
            Some(Stage::Completed)
                if self.replaced.contains(version) && self.listed.contains_key(to) =>
            {
                Access::Closed
            }
            Some(Stage::RolledBack) if is_ordered => Access::Closed,
            _ => Access::Open,
        }
    }

    /// Whether a version has joined others so recently that some hosts may not know it.
    fn is_settling(&self, version: &Name, now: Instant) -> bool {
        let ends_at = |version: &Name| {
            let since = self.listed.get(version).copied().flatten();
            since.map(|since| since + SETTLE_TIME)
        };
        let is_settled = |version: &Name| ends_at(version).is_none_or(|end| end <= now);
        let mut others = self.listed.keys().filter(|other| *other != version);
        !is_settled(version)
            && others.any(|other| is_settled(other) && self.access_by_order(other) == Access::Open)
    }

    /// Returns when the next version has settled, if one has not.
    pub(crate) fn next_settled_at(&self, now: Instant) -> Option<Instant> {
        let ends = self.listed.values().flatten();
        ends.map(|since| *since + SETTLE_TIME)
            .filter(|end| *end > now)
            .min()
    }

    /// Returns the versions that may run a new request, as far as an order restricts them.
    pub(crate) fn constraint(&self) -> Constraint {
        match &self.ordered {
            Some((to, _)) if self.access_by_order(to) != Access::Open => {
                Constraint::Except(to.clone())
            }
            _ => Constraint::Any,
        }
    }
}

/// Returns the servers of a new version that are canaries. They are a share of its servers, so that each gets as much
/// load as a server of the old version, since some faults show only under load.
///
/// The selection orders the servers by a digest of their names, so it does not depend on the order of `servers`.
pub(crate) fn canaries(servers: &[Name], share: f64) -> Vec<Name> {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a count of servers"
    )]
    let count = (servers.len() as f64 * share).ceil() as usize;
    let mut order: Vec<(String, &Name)> = servers
        .iter()
        .map(|server| (digest::sha256_hex(server.as_bytes()), server))
        .collect();
    order.sort();
    let first = order.into_iter().take(count.max(CANARIES_MIN));
    first.map(|(_, server)| server.clone()).collect()
}

#[cfg(test)]
#[path = "version_tests.rs"]
mod tests;
