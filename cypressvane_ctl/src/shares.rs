//! `cypressvane shares`: shows how client accounts share each pool.

use std::collections::{BTreeMap, BTreeSet};

use cypressvane::dump::{Pool, Share};
use serde::Serialize;

use crate::error::Error;
use crate::homes::{Homes, silent_texts};
use crate::operator::Client;
use crate::output::Output;

/// The accounts that use a service's pool, with all of its shards together.
#[derive(Debug, Serialize)]
struct SharedPool {
    service: String,
    /// Number of shards of the service.
    shards: usize,
    /// Number of shards whose homes answered.
    shards_read: usize,
    /// Number of backend servers of these shards.
    servers: usize,
    /// Sums over these shards; the weight and the age are the largest.
    accounts: Vec<Share>,
}

/// The result of the command.
#[derive(Debug, Serialize)]
struct Listing {
    pools: Vec<SharedPool>,
    /// Hosts that gave no answer, each with the error.
    silent: Vec<(String, String)>,
}

/// Shows the accounts of each pool.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let homes = Homes::read(client).await?;
    let mut services: BTreeMap<String, Vec<Pool>> = BTreeMap::new();
    for (_, pool) in homes.pools {
        services
            .entry(pool.service.to_string())
            .or_default()
            .push(pool);
    }
    let listing = Listing {
        pools: services.into_iter().map(shared_pool).collect(),
        silent: homes.silent,
    };
    output.print(&listing, || text(&listing))
}

fn shared_pool((service, parts): (String, Vec<Pool>)) -> SharedPool {
    let numbers: BTreeSet<u16> = parts.iter().map(|part| part.shard).collect();
    let shards = parts.iter().map(|part| part.shards).max();
    let mut accounts: BTreeMap<_, Share> = BTreeMap::new();
    for share in parts.iter().flat_map(|part| &part.shares) {
        accounts
            .entry(&share.account)
            .and_modify(|sum| add(sum, share))
            .or_insert_with(|| share.clone());
    }
    SharedPool {
        service,
        shards: usize::from(shards.unwrap_or_default()).max(numbers.len()),
        shards_read: numbers.len(),
        servers: parts.iter().map(|part| part.servers.len()).sum(),
        accounts: accounts.into_values().collect(),
    }
}

fn add(sum: &mut Share, share: &Share) {
    sum.weight = sum.weight.max(share.weight);
    sum.share += share.share;
    sum.used += share.used;
    sum.age_ms = sum.age_ms.max(share.age_ms);
    sum.waiting += share.waiting;
    sum.running += share.running;
    sum.refused += share.refused;
}

fn text(listing: &Listing) -> String {
    let pools = listing.pools.iter().map(pool_text);
    let texts: Vec<_> = pools.chain(silent_texts(&listing.silent)).collect();
    texts.join("\n")
}

fn pool_text(pool: &SharedPool) -> String {
    let mut lines = vec![format!(
        "{}  {} of {} shards  {} servers",
        pool.service, pool.shards_read, pool.shards, pool.servers
    )];
    if pool.accounts.is_empty() {
        lines.push("  no account shares it now".to_owned());
    }
    lines.extend(pool.accounts.iter().map(share_text));
    lines.join("\n")
}

fn share_text(share: &Share) -> String {
    let account = match &*share.account {
        "" => "(public routes)",
        account => account,
    };
    format!(
        "  {account}  weight {:.2}  share {:.2} servers  uses {:.2}  as of {} ms ago  {} waiting  {} running  {} refused",
        share.weight,
        share.share,
        share.used,
        share.age_ms,
        share.waiting,
        share.running,
        share.refused,
    )
}
