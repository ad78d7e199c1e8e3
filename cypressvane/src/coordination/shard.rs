//! Sharding of large pools; each shard has its own home.
//!
//! Input: a service's backend servers from the host list. Output: the service's shards, the servers of each, and the
//! shard that a request is offered to.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::coordination::offer::Spec;
use crate::state::name::Name;
use crate::state::units::to_f64;

/// Maximum number of backend servers of a pool that is not sharded.
///
/// A home with 0.12 of a core was 0.1 s behind schedule from about 1,000 offers per second on, and a load peak produces
/// about 300 to 450 for every 32 model engines. Larger pools are repeatedly halved, so that a shard has 16 to 32
/// servers on average: enough to keep most of its speed when a few of them are slow or dead.
const SERVERS_MAX: usize = 32;

/// One of the shards into which a service's backend servers are divided by hash.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shard {
    /// The service.
    pub service: Name,
    /// Its number, starting at 0.
    pub number: u16,
    /// Number of shards of the service; a power of two.
    pub count: u16,
}

impl Shard {
    /// The only shard of a service whose pool is not sharded.
    #[must_use]
    pub fn unsharded(service: Name) -> Self {
        Self {
            service,
            number: 0,
            count: 1,
        }
    }

    /// Whether the service has other shards.
    #[must_use]
    pub fn has_others(&self) -> bool {
        self.count > 1
    }

    /// Subject for which its home is chosen. It does not contain the count, so a change of the count moves no home of a
    /// remaining number.
    #[must_use]
    pub fn subject(&self) -> String {
        if self.number == 0 {
            return self.service.to_string();
        }
        format!("{}/{}", self.service, self.number)
    }

    /// Another shard of the same service; `number` wraps around.
    #[must_use]
    pub fn sibling(&self, number: u16) -> Self {
        Self {
            number: number % self.count.max(1),
            ..self.clone()
        }
    }

    /// Whether a backend server of the service belongs to this shard.
    #[must_use]
    pub fn contains(&self, server: &str) -> bool {
        number_of(server, self.count) == self.number
    }
}

/// The shards of a service, with the capacity of each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharding {
    service: Name,
    /// Slots of each shard's servers that are not leaving.
    slots: Vec<u64>,
}

impl Sharding {
    /// Divides a service's servers into shards.
    ///
    /// Hosts with the same host list get the same shards. Hosts whose lists differ for a moment may get different ones;
    /// a server then has two homes that do not know each other's grants, as while a home moves.
    #[must_use]
    pub fn new(service: Name, specs: &[Spec]) -> Self {
        let count = specs.len().div_ceil(SERVERS_MAX).next_power_of_two();
        let count = u16::try_from(count).unwrap_or(1 << 15);
        let mut slots = vec![0; count.into()];
        for spec in specs.iter().filter(|spec| !spec.leaving) {
            slots[usize::from(number_of(&spec.name, count))] += u64::from(spec.slots.max(1));
        }
        Self { service, slots }
    }

    /// Number of shards.
    #[must_use]
    pub fn count(&self) -> u16 {
        // `new` creates at most 2^15 shards.
        u16::try_from(self.slots.len()).unwrap_or(u16::MAX)
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + '_ {
        (0..self.count()).map(|number| self.shard(number))
    }

    /// The shard that a server belongs to.
    #[must_use]
    pub fn shard_of(&self, server: &str) -> Shard {
        self.shard(number_of(server, self.count()))
    }

    /// Picks a shard by `point`, from 0 to 1, weighted by slots.
    ///
    /// A retried request has the same point, so that it is offered to the home that refused it, which recognises it.
    /// Shards for which `excluded` holds have no weight, unless it holds for all shards with slots.
    #[must_use]
    pub fn pick(&self, point: f64, excluded: impl Fn(&Shard) -> bool) -> Shard {
        let is_excluded = |number: &u16| excluded(&self.shard(*number));
        let mut weights = self.slots.clone();
        for number in (0..self.count()).filter(is_excluded) {
            weights[usize::from(number)] = 0;
        }
        if weights.iter().all(|weight| *weight == 0) {
            weights.clone_from(&self.slots);
        }
        let mut remaining = point * to_f64(weights.iter().sum());
        for number in 0..self.count() {
            let weight = to_f64(weights[usize::from(number)]);
            if remaining < weight {
                return self.shard(number);
            }
            remaining -= weight;
        }
        // Reached if there are no slots, or by a rounding error.
        let last = weights.iter().rposition(|weight| *weight > 0);
        self.shard(last.and_then(|last| u16::try_from(last).ok()).unwrap_or(0))
    }

    fn shard(&self, number: u16) -> Shard {
        Shard {
            service: self.service.clone(),
            number,
            count: self.count(),
        }
    }
}

/// The number of a server's shard. When the count doubles, about half of each shard's servers keep their number.
fn number_of(server: &str, count: u16) -> u16 {
    if count <= 1 {
        return 0;
    }
    let digest: [u8; 32] = Sha256::digest(server.as_bytes()).into();
    u16::from_be_bytes([digest[0], digest[1]]) % count
}

#[cfg(test)]
#[path = "shard_tests.rs"]
mod tests;
