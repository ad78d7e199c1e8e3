//! Which host is the home of a pool: rendezvous hashing over the hosts that are well.

use sha2::{Digest as _, Sha256};

use crate::state::name::Name;

/// The home of a service's pool among `hosts`; `None` when there are none.
///
/// A host that comes or goes moves only the pools that it gains or had.
pub(crate) fn of<'a>(service: &str, hosts: &'a [Name]) -> Option<&'a Name> {
    hosts.iter().max_by_key(|host| score(service, host))
}

/// A host's place among `hosts` in the order for a subject; the home is the first.
pub(crate) fn place(subject: &str, hosts: &[Name], host: &Name) -> usize {
    let own = score(subject, host);
    let before = hosts.iter().filter(|other| *other != host);
    before.filter(|other| score(subject, other) > own).count()
}

fn score(service: &str, host: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(service.as_bytes());
    // A zero byte cannot stand in a name, so no two pairs give the same bytes.
    hasher.update([0]);
    hasher.update(host.as_bytes());
    hasher.finalize().into()
}
