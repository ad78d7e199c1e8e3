//! Which hosts of a region a host keeps standing links to.
//!
//! In a small region these are all hosts. In a larger one each host picks a fixed number, most of them in its own data
//! centre, by a hash of both names. Links work in both directions, so a host also keeps links to those that pick it. As
//! the picks are random, a few steps from neighbour to neighbour lead to every host, and a change of the host list
//! changes few picks.

use sha2::{Digest as _, Sha256};

use crate::state::name::Name;

/// Picks in the host's own data centre.
const LOCAL_PICKS: usize = 8;
/// Picks in other data centres: enough that the loss of a data centre is noticed by hosts outside it.
const REMOTE_PICKS: usize = 4;

/// A host of the region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) name: &'a Name,
    pub(crate) data_centre: &'a Name,
}

/// Returns the hosts to which `me` keeps standing links, among the `others` of its region; all of them if the region
/// has at most `mesh_max` hosts.
pub(crate) fn pick<'a>(
    me: Candidate<'_>,
    others: &[Candidate<'a>],
    mesh_max: usize,
) -> Vec<&'a Name> {
    if others.len() < mesh_max {
        return others.iter().map(|other| other.name).collect();
    }
    let (local, remote): (Vec<_>, Vec<_>) = others
        .iter()
        .partition(|other| other.data_centre == me.data_centre);
    // A data centre with few hosts has fewer picks of its own.
    let local_picks = LOCAL_PICKS.min(local.len());
    let remote_picks = (LOCAL_PICKS + REMOTE_PICKS - local_picks).min(remote.len());
    let mut picks = highest(me.name, &local, local_picks);
    picks.extend(highest(me.name, &remote, remote_picks));
    picks
}

/// Returns the `count` hosts with the highest scores.
fn highest<'a>(me: &Name, hosts: &[Candidate<'a>], count: usize) -> Vec<&'a Name> {
    let mut scored: Vec<_> = hosts
        .iter()
        .map(|host| (score(me, host.name), host.name))
        .collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.truncate(count);
    scored.into_iter().map(|(_, name)| name).collect()
}

/// The score of a pair of hosts, which is the same for both: two hosts often pick each other.
fn score(one: &str, other: &str) -> [u8; 32] {
    let (first, second) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    let mut hasher = Sha256::new();
    hasher.update(first.as_bytes());
    // Names contain no zero byte, so different pairs hash different bytes.
    hasher.update([0]);
    hasher.update(second.as_bytes());
    hasher.finalize().into()
}
