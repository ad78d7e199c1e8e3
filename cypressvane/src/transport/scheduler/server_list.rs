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
    /// Indexes of each pool's servers in `specs`, by the number of their shard.
    shards: HashMap<Name, Vec<Vec<usize>>>,
}

impl ServerList {
    pub(super) fn of(specs: Specs) -> Self {
        let sharding =
            |(pool, specs): (&Name, &Vec<Spec>)| (pool.clone(), Sharding::new(pool.clone(), specs));
        let shardings: HashMap<Name, Sharding> = specs.iter().map(sharding).collect();
        let shards = specs
            .iter()
            .filter_map(|(pool, specs)| Some((pool.clone(), divide(shardings.get(pool)?, specs))));
        Self {
            shards: shards.collect(),
            specs,
            shardings,
        }
    }

    /// The entry of a pool's server.
    pub(super) fn spec(&self, pool: &Name, server: &Name) -> Option<&Spec> {
        let specs = self.specs.get(pool)?;
        specs.iter().find(|spec| spec.name == *server)
    }

    /// Number of a pool's servers that are not leaving.
    pub(super) fn open_count(&self, pool: &Name) -> usize {
        let specs = self.specs.get(pool).map_or(&[][..], Vec::as_slice);
        specs.iter().filter(|spec| !spec.leaving).count()
    }

    /// The servers of a shard.
    pub(super) fn servers_of(&self, shard: &Shard) -> Vec<Spec> {
        let specs = self
            .specs
            .get(&shard.service)
            .map_or(&[][..], Vec::as_slice);
        let current = self.shards.get(&shard.service);
        let current = current.filter(|shards| shards.len() == usize::from(shard.count));
        if let Some(indexes) = current.and_then(|shards| shards.get(usize::from(shard.number))) {
            return indexes.iter().map(|index| specs[*index].clone()).collect();
        }
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

/// The indexes of a pool's servers, by the number of their shard.
fn divide(sharding: &Sharding, specs: &[Spec]) -> Vec<Vec<usize>> {
    let mut shards = vec![Vec::new(); sharding.count().into()];
    for (index, spec) in specs.iter().enumerate() {
        let number = sharding.shard_of(&spec.name).number;
        shards[usize::from(number)].push(index);
    }
    shards
}
