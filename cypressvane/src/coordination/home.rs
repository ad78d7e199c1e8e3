//! Choice of the home of a pool or an account: rendezvous hashing over the healthy hosts.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use sha2::{Digest as _, Sha256};

use crate::state::name::Name;

/// The home of a subject among `hosts`; `None` if there are no hosts.
///
/// When a host is added or removed, only the subjects that it gains or loses move.
pub(crate) fn of<'a>(subject: &str, hosts: &'a [Name]) -> Option<&'a Name> {
    hosts.iter().max_by_key(|host| score(subject, host))
}

/// Whether `one` rather than `other` would be the home of a subject.
pub(crate) fn is_preferred(subject: &str, one: &str, other: &str) -> bool {
    score(subject, one) > score(subject, other)
}

/// Sorts hosts by descending score for a subject; the home comes first.
pub(crate) fn sort(subject: &str, hosts: &mut [Name]) {
    hosts.sort_by_cached_key(|host| Reverse(score(subject, host)));
}

/// The first `count` hosts for a subject, in as many data centres as there are; `None` is an unknown data centre.
pub(crate) fn spread(subject: &str, hosts: &[(Name, Option<Name>)], count: usize) -> Vec<Name> {
    let mut order: Vec<&(Name, Option<Name>)> = hosts.iter().collect();
    order.sort_by_cached_key(|(host, _)| Reverse(score(subject, host)));
    let mut data_centres = BTreeSet::new();
    let (firsts, others): (Vec<_>, Vec<_>) = order
        .into_iter()
        .partition(|(_, data_centre)| data_centres.insert(data_centre));
    let spread = firsts.into_iter().chain(others).take(count);
    spread.map(|(host, _)| host.clone()).collect()
}

fn score(subject: &str, host: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(subject.as_bytes());
    // Names contain no zero byte, so different pairs hash different bytes.
    hasher.update([0]);
    hasher.update(host.as_bytes());
    hasher.finalize().into()
}
