//! The section `[listeners]`: the addresses on which this host listens.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Default port of the callers' listener.
const CALLERS_PORT: u16 = 8470;
/// Default port of the operators' listener.
const OPERATORS_PORT: u16 = 8471;
/// Default port of the peers' listener.
const PEERS_PORT: u16 = 8472;

/// The addresses on which this host listens; port 0 selects a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Listeners {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators and their tools.
    pub operators: SocketAddr,
    /// Listener for the other hosts.
    pub peers: SocketAddr,
    /// Address at which other hosts reach the peers' listener, if it differs from the bound address.
    pub peers_public: Option<SocketAddr>,
    /// Listener for requests on routes, which are forwarded with their method, target and body unchanged; of their
    /// headers, hop-by-hop ones are removed and the site's own are set. Disabled when absent.
    pub routes: Option<SocketAddr>,
}

impl Default for Listeners {
    fn default() -> Self {
        let on = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            callers: on(CALLERS_PORT),
            operators: on(OPERATORS_PORT),
            peers: on(PEERS_PORT),
            peers_public: None,
            routes: None,
        }
    }
}
