//! How a large pool is cut into shards, each with a home of its own.
//!
//! In: the backend servers of a service as the host list has them. Out: the service's shards, the servers
//! of each, and the shard that a request is offered to.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::coordination::offer::Spec;
use crate::state::name::Name;
use crate::state::units::real;

/// Most backend servers for which a pool stays whole. A home of 0.12 of a core was 0.1 s behind with its work
/// from some 1,000 offers a second on, and a rush makes about 300 to 450 for each 32 model engines. Beyond,
/// pools are cut into halves, so that a shard has 16 to 32 of them on the mean: enough that a few slow or dead
/// ones leave it most of its speed.
const SERVERS_MAX: usize = 32;

/// One of the equal parts into which the backend servers of a service are dealt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shard {
    /// The service.
    pub service: Name,
    /// Its number, from 0.
    pub number: u16,
    /// How many shards the service has; a power of two.
    pub count: u16,
}

impl Shard {
    /// The only shard of a service whose pool stays whole.
    #[must_use]
    pub fn whole(service: Name) -> Self {
        Self {
            service,
            number: 0,
            count: 1,
        }
    }

    /// Whether its pool has others beside it.
    #[must_use]
    pub fn has_others(&self) -> bool {
        self.count > 1
    }

    /// What its home is chosen for: the same as long as there is such a number, however many there are.
    #[must_use]
    pub fn subject(&self) -> String {
        if self.number == 0 {
            return self.service.to_string();
        }
        format!("{}/{}", self.service, self.number)
    }

    /// Another shard of the same service; numbers go round.
    #[must_use]
    pub fn other(&self, number: u16) -> Self {
        Self {
            number: number % self.count.max(1),
            ..self.clone()
        }
    }

    /// Whether a backend server of the service belongs to it.
    #[must_use]
    pub fn has(&self, server: &str) -> bool {
        number_of(server, self.count) == self.number
    }
}

/// The shards of a service, with what each can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    service: Name,
    /// Places of the servers of each shard that are not leaving.
    places: Vec<u64>,
}

impl Cut {
    /// The shards of a service that has these servers.
    ///
    /// All hosts that see the same list cut alike. Those whose lists differ may cut otherwise for a moment;
    /// a server then has two homes that do not know of each other's grants, as while a home moves.
    #[must_use]
    pub fn of(service: Name, specs: &[Spec]) -> Self {
        let count = specs.len().div_ceil(SERVERS_MAX).next_power_of_two();
        let count = u16::try_from(count).unwrap_or(1 << 15);
        let mut places = vec![0; count.into()];
        for spec in specs.iter().filter(|spec| !spec.leaving) {
            places[usize::from(number_of(&spec.name, count))] += u64::from(spec.slots.max(1));
        }
        Self { service, places }
    }

    /// How many shards there are.
    #[must_use]
    pub fn count(&self) -> u16 {
        // `of` makes no more than fit.
        u16::try_from(self.places.len()).unwrap_or(u16::MAX)
    }

    /// All of the shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + '_ {
        (0..self.count()).map(|number| self.shard(number))
    }

    /// The shard that a server belongs to.
    #[must_use]
    pub fn shard_of(&self, server: &str) -> Shard {
        self.shard(number_of(server, self.count()))
    }

    /// The shard at `point`, from 0 to 1, of the line on which each has a length as its places.
    ///
    /// A request that comes back brings the same point, so that the home that refused it knows it again.
    /// Shards that are `avoided` have no length, unless all that have places are.
    #[must_use]
    pub fn pick(&self, point: f64, avoided: impl Fn(&Shard) -> bool) -> Shard {
        let is_avoided = |number: &u16| avoided(&self.shard(*number));
        let mut lengths = self.places.clone();
        for number in (0..self.count()).filter(is_avoided) {
            lengths[usize::from(number)] = 0;
        }
        if lengths.iter().all(|length| *length == 0) {
            lengths.clone_from(&self.places);
        }
        let mut left = point * real(lengths.iter().sum());
        for number in 0..self.count() {
            let length = real(lengths[usize::from(number)]);
            if left < length {
                return self.shard(number);
            }
            left -= length;
        }
        // Without any place, or where rounding has left something over.
        let last = lengths.iter().rposition(|length| *length > 0);
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

/// The number of a server's shard: when the count is doubled, half of each shard stays where it is.
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
