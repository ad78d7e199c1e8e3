//! Choice of the home of a pool or an account: rendezvous hashing over the healthy hosts.

use sha2::{Digest as _, Sha256};

use crate::state::name::Name;

/// The home of a subject among `hosts`; `None` if there are no hosts.
///
/// When a host is added or removed, only the subjects that it gains or loses move.
pub(crate) fn of<'a>(subject: &str, hosts: &'a [Name]) -> Option<&'a Name> {
    hosts.iter().max_by_key(|host| score(subject, host))
}

/// A host's position among `hosts`, by descending score for a subject; the home has position 0.
pub(crate) fn position(subject: &str, hosts: &[Name], host: &Name) -> usize {
    let own = score(subject, host);
    let before = hosts.iter().filter(|other| *other != host);
    before.filter(|other| score(subject, other) > own).count()
}

fn score(subject: &str, host: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(subject.as_bytes());
    // Names contain no zero byte, so different pairs hash different bytes.
    hasher.update([0]);
    hasher.update(host.as_bytes());
    hasher.finalize().into()
}
