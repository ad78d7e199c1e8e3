//! Which version of a service gets its traffic, and which backend servers are canaries.

use std::collections::BTreeMap;

use crate::state::digest;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// Least number of canaries: one that fails must not be all there is to see of a version.
const CANARIES_MIN: usize = 2;

/// What is known of a service's versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known<'a> {
    /// Its backend servers in the host list by version.
    pub(crate) listed: BTreeMap<Name, usize>,
    /// The version that got its traffic until now.
    pub(crate) before: Option<&'a Name>,
    /// The version of the newest order, and how that stands, where it is known.
    pub(crate) ordered: Option<(&'a Name, Option<Stage>)>,
}

/// The version that gets a service's traffic; `None` where no listed server may get any.
///
/// Servers of a version that no order names get nothing, however many they are. A host that knows nothing of earlier
/// takes the version of most servers other than the ordered one; where there is only the ordered one, and the outcome
/// is not known, it was completed, since a roll-back leaves the old servers.
pub(crate) fn serving(known: &Known<'_>) -> Option<Name> {
    if let Some((to, Some(Stage::Completed))) = known.ordered {
        return Some(to.clone());
    }
    if let Some(before) = known.before {
        return Some(before.clone());
    }
    let ordered = known.ordered.map(|(to, _)| to);
    let others = known
        .listed
        .iter()
        .filter(|(version, _)| Some(*version) != ordered);
    // Of those with as many servers the first by name, so that all hosts take the same.
    let most = others.max_by_key(|(version, count)| (*count, std::cmp::Reverse(*version)));
    if let Some((version, _)) = most {
        return Some(version.clone());
    }
    match known.ordered {
        Some((to, None)) if known.listed.contains_key(to) => Some(to.clone()),
        _ => None,
    }
}

/// The servers of a new version that are canaries: a part of them, so that each has as much to do as a server of the
/// old version has, since some faults show under load only.
pub(crate) fn canaries(servers: &[Name], share: f64) -> Vec<Name> {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a count of servers"
    )]
    let part = (servers.len() as f64 * share).ceil() as usize;
    let mut order: Vec<(String, &Name)> = servers
        .iter()
        .map(|server| (digest::hex(server.as_bytes()), server))
        .collect();
    order.sort();
    let first = order.into_iter().take(part.max(CANARIES_MIN));
    first.map(|(_, server)| server.clone()).collect()
}

#[cfg(test)]
#[path = "version_tests.rs"]
mod tests;
