//! Selects the version of a service that gets its traffic, and the backend servers that are canaries.

use std::collections::BTreeMap;

use crate::state::digest;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// Least number of canaries: the failure of a single server must not be all the evidence on a version.
const CANARIES_MIN: usize = 2;

/// What a host knows of a service's versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownVersions<'a> {
    /// Number of backend servers of each version in the host list.
    pub(crate) listed: BTreeMap<Name, usize>,
    /// The version that has got the service's traffic until now.
    pub(crate) before: Option<&'a Name>,
    /// The version of the newest order, and the order's stage where that is known.
    pub(crate) ordered: Option<(&'a Name, Option<Stage>)>,
}

/// Returns the version that gets a service's traffic; `None` if no listed server may get any.
///
/// Servers of a version that no order names get nothing, however many they are. A host that does not know the earlier
/// version takes the version with the most servers other than the ordered one. If only the ordered version is listed
/// and the outcome is unknown, the order was completed, because a roll-back leaves the old servers.
pub(crate) fn serving_version(known: &KnownVersions<'_>) -> Option<Name> {
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
    // Ties go to the first version by name, so that all hosts choose the same.
    let most = others.max_by_key(|(version, count)| (*count, std::cmp::Reverse(*version)));
    if let Some((version, _)) = most {
        return Some(version.clone());
    }
    match known.ordered {
        Some((to, None)) if known.listed.contains_key(to) => Some(to.clone()),
        _ => None,
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
