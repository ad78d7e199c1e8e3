//! The pools of the fleet, as known to their homes.

use cypressvane::dump::Pool;

use crate::error::Error;
use crate::operator::Client;

/// The pools of all hosts that answered.
#[derive(Debug)]
pub struct Homes {
    /// The pools with the names of their homes.
    pub pools: Vec<(String, Pool)>,
    /// Hosts that gave no answer, each with the error.
    pub silent: Vec<(String, String)>,
}

impl Homes {
    /// Reads the pools from the state dumps of all hosts.
    pub async fn read(client: &Client) -> Result<Self, Error> {
        let mut homes = Self {
            pools: Vec::new(),
            silent: Vec::new(),
        };
        for entry in client.hosts().await? {
            match client.dump(&entry).await {
                Ok(dump) => {
                    let home = dump.host.to_string();
                    let pools = dump.pools.into_iter().filter(|pool| pool.home);
                    homes.pools.extend(pools.map(|pool| (home.clone(), pool)));
                }
                Err(error) => homes
                    .silent
                    .push((entry.name.to_string(), error.to_string())),
            }
        }
        Ok(homes)
    }
}

/// Describes the hosts that gave no answer, one line each.
pub fn silent_texts(silent: &[(String, String)]) -> impl Iterator<Item = String> + '_ {
    silent
        .iter()
        .map(|(host, cause)| format!("{host}  {cause}"))
}
