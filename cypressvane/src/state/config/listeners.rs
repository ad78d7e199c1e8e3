//! The section `[listeners]`: where this host listens.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Port of the callers' listener.
const CALLERS_PORT: u16 = 8470;
/// Port of the operators' listener.
const OPERATORS_PORT: u16 = 8471;
/// Port of the peers' listener.
const PEERS_PORT: u16 = 8472;

/// Where this host listens; port 0 takes a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Listeners {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and their tools.
    pub operators: SocketAddr,
    /// For the other hosts.
    pub peers: SocketAddr,
    /// Where other hosts reach the peers' listener, if that is not where it is bound.
    pub peers_public: Option<SocketAddr>,
    /// For callers on routes, whose requests are passed on unchanged; none when absent.
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
