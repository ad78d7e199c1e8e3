//! The backend servers in the host list, and their division into shards.

use std::collections::HashMap;

use crate::coordination::pool::Spec;
use crate::coordination::shard::{Cut, Shard};
use crate::state::name::Name;

/// The servers of each pool.
pub(super) type Specs = HashMap<Name, Vec<Spec>>;

/// The servers in the host list, and the shards of each pool.
#[derive(Debug, Default)]
pub(super) struct Listed {
    pub(super) specs: Specs,
    pub(super) cuts: HashMap<Name, Cut>,
}

impl Listed {
    pub(super) fn of(specs: Specs) -> Self {
        let cut = |(service, specs): (&Name, &Vec<Spec>)| {
            (service.clone(), Cut::of(service.clone(), specs))
        };
        let cuts = specs.iter().map(cut).collect();
        Self { specs, cuts }
    }

    /// The servers of a shard.
    pub(super) fn servers_of(&self, shard: &Shard) -> Vec<Spec> {
        let specs = self
            .specs
            .get(&shard.service)
            .map_or(&[][..], Vec::as_slice);
        let own = specs.iter().filter(|spec| shard.has(&spec.name));
        own.cloned().collect()
    }

    /// Whether each pool has the same number of shards in both lists.
    pub(super) fn has_same_shard_counts(&self, other: &Self) -> bool {
        let counts = |listed: &Self| -> HashMap<Name, u16> {
            let cuts = listed.cuts.iter();
            cuts.map(|(service, cut)| (service.clone(), cut.count()))
                .collect()
        };
        counts(self) == counts(other)
    }
}
