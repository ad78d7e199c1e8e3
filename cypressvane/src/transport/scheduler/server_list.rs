//! The backend servers in the host list, and their division into shards.

use std::collections::HashMap;

use crate::coordination::pool::Spec;
use crate::coordination::shard::{Shard, Sharding};
use crate::state::name::Name;

/// The servers of each pool.
pub(super) type Specs = HashMap<Name, Vec<Spec>>;

/// The servers in the host list, and the shards of each pool.
#[derive(Debug, Default)]
pub(super) struct ServerList {
    pub(super) specs: Specs,
    pub(super) shardings: HashMap<Name, Sharding>,
}

impl ServerList {
    pub(super) fn of(specs: Specs) -> Self {
        let sharding =
            |(pool, specs): (&Name, &Vec<Spec>)| (pool.clone(), Sharding::new(pool.clone(), specs));
        let shardings = specs.iter().map(sharding).collect();
        Self { specs, shardings }
    }

    /// The servers of a shard.
    pub(super) fn servers_of(&self, shard: &Shard) -> Vec<Spec> {
        let specs = self
            .specs
            .get(&shard.service)
            .map_or(&[][..], Vec::as_slice);
        let own = specs.iter().filter(|spec| shard.contains(&spec.name));
        own.cloned().collect()
    }

    /// Whether each pool has the same number of shards in both lists.
    pub(super) fn has_same_shard_counts(&self, other: &Self) -> bool {
        let counts = |server_list: &Self| -> HashMap<Name, u16> {
            let shardings = server_list.shardings.iter();
            shardings
                .map(|(pool, sharding)| (pool.clone(), sharding.count()))
                .collect()
        };
        counts(self) == counts(other)
    }
}
