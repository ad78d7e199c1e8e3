//! Scheduling decisions as pure logic: no sockets, and the current time is an argument.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `pool` | how a pool's home turns offers into grants and refusals; combines the modules below |
//! | `queue` | the order of waiting offers |
//! | `share` | how accounts share a pool: start tags of offers, and each account's use |
//! | `admission` | which offers wait, become late or are refused, and when refused callers retry |
//! | `servers` | which server a request is granted |
//! | `server` | the estimated state of one server: health, speed, pauses, limit |
//! | `notice` | what servers state of themselves in their answers |
//! | `demand` | how much capacity lower tiers leave to higher ones |
//! | `limit` | how much an account may use |
//! | `budget` | how many requests a host may retry |
//! | `evacuation` | in which data centres no server gets requests |
//! | `quarantine` | which requests are sent to no server because servers ended while running them |
//! | `rollout` | how many requests a new version of a service gets, and whether it is healthy |
//! | `shard` | how a large pool is sharded, and which shard a request is offered to |
//! | `idle` | which other shard has free slots |
//! | `hedge` | when a second server is sought for a silent one, and whose answer is used |
//! | `silence` | when a server's silence is reported to its pool's home |
//! | `silent_shards` | which homes do not reply to this host |
//! | `paths` | which servers a host reaches directly, and which through other hosts |
//! | `memory` | how the memory for others is divided, and who gives up room |
//! | `membership` | which hosts are live, and to which of them a host keeps links |
//! | `home` | which host is the home of a pool or an account |
//! | `lag` | how far a host is behind schedule |
//! | `retention` | whether a server that is missing from the host list is gone |
//! | `view` | whether what a host has seen is all there is |
//! | `departure` | what a host that leaves may still send |
//! | `outage` | whether the platform itself was out, or only this host's path to it |
//! | `lease` | how long an observation of the platform stays valid |
//! | `archive` | which rows of the platform keep the versions of streams |
//! | `backoff` | how long to wait after failed calls |
//! | `retry_delay` | when such a wait ends early |
//! | `policy` | the results of the operators' policy programs |

pub(crate) mod admission;
pub(crate) mod archive;
pub mod backoff;
pub mod budget;
pub(crate) mod demand;
pub(crate) mod departure;
pub(crate) mod dump;
mod estimate;
pub(crate) mod evacuation;
pub(crate) mod hedge;
pub(crate) mod home;
pub(crate) mod idle;
pub(crate) mod lag;
pub(crate) mod lease;
pub mod limit;
pub(crate) mod membership;
pub(crate) mod memory;
pub(crate) mod notice;
pub(crate) mod offer;
pub(crate) mod origin;
pub(crate) mod outage;
pub(crate) mod paths;
pub mod policy;
pub mod pool;
pub(crate) mod quarantine;
pub(crate) mod queue;
pub mod retention;
pub(crate) mod retry_delay;
pub mod rollout;
pub(crate) mod server;
pub(crate) mod servers;
pub mod shard;
pub(crate) mod share;
pub(crate) mod silence;
pub(crate) mod silent_shards;
pub(crate) mod version;
pub(crate) mod view;
