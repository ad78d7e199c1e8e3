//! The hosts through which this one sends requests to backend servers that it does not reach itself.

use std::net::SocketAddr;

use super::Links;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Most hosts among which those for one request are chosen, so that the choice takes as long in a large region.
const DRAWN_MAX: usize = 16;

/// Another host, with the address of its listener for hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Helper {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

impl Links {
    /// Draws up to `count` hosts at random, without those that are leaving, suspected, or severed from the servers.
    ///
    /// The first one is more likely one of this data centre. It is not always one, since most of a data centre may be
    /// severed at the same time, and the others would have to carry all its requests.
    pub(crate) fn draw_helpers(&self, count: usize) -> Vec<Helper> {
        let (candidates, links) = (self.candidates.load(), self.peers.load());
        let mut drawn = fastrand::choose_multiple(&candidates.hosts, DRAWN_MAX);
        fastrand::shuffle(&mut drawn);
        let membership = lock(&self.membership);
        let reaching = drawn
            .into_iter()
            .filter(|name| !membership.is_severed(name))
            .filter_map(|name| links.get(name));
        let mut helpers: Vec<_> = reaching.take(count.max(2)).collect();
        if let [first, second, ..] = helpers[..]
            && first.data_centre != self.me.data_centre
            && second.data_centre == self.me.data_centre
        {
            helpers.swap(0, 1);
        }
        helpers
            .into_iter()
            .take(count)
            .map(|link| Helper {
                name: link.name.clone(),
                address: link.address,
            })
            .collect()
    }

    /// The name of this host.
    pub(crate) fn own_name(&self) -> &str {
        &self.me.name
    }

    /// The shared key of the hosts.
    pub(crate) fn peer_key(&self) -> &str {
        &self.me.peer_key
    }
}
