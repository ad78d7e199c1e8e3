//! Decisions, as plain values in and values out: no sockets, and time is an argument.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `pool` | a pool's home: takes offers, gives grants and refusals; the others meet here |
//! | `queue` | who goes before whom |
//! | `admission` | who waits, who is late, who is refused, and when to come back |
//! | `servers` | which server a request goes to |
//! | `server` | what is believed of one server: health, speed, pauses |
//! | `demand` | how much room lower tiers leave to higher ones |
//! | `limit` | what an account may use |
//! | `budget` | how often requests are sent once more |
//! | `quarantine` | which requests are kept from the servers, since these end under them |
//! | `rollout` | how many requests a new version of a service gets, and whether it is good |
//! | `shard` | how a large pool is cut, and which shard a request is offered to |
//! | `idle` | which other shard has places |
//! | `answering` | which homes leave this host without a word |
//! | `home` | which host is the home of a pool or an account |
//! | `lag` | how far a host is behind with its work |
//! | `lapse` | whether a server that left the list is gone |
//! | `lease` | how long what was seen of the platform is believed |
//! | `backoff` | how long to rest after calls that failed |
//! | `rest` | when such a rest ends, by what is learnt meanwhile |
//! | `policy` | what the operators' programs say |

pub(crate) mod admission;
pub(crate) mod answering;
pub mod backoff;
pub mod budget;
pub(crate) mod demand;
pub(crate) mod dump;
mod estimate;
pub(crate) mod home;
pub(crate) mod idle;
pub(crate) mod lag;
pub mod lapse;
pub(crate) mod lease;
pub mod limit;
pub(crate) mod offer;
pub mod policy;
pub mod pool;
pub(crate) mod quarantine;
pub(crate) mod queue;
pub(crate) mod rest;
pub mod rollout;
pub(crate) mod server;
pub(crate) mod servers;
pub mod shard;
