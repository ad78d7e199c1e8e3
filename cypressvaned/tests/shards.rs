//! A pool that is cut into shards: each has a home of its own, and no request hangs on one of them.

use std::collections::BTreeMap;
use std::io;

use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

const HOSTS: usize = 4;
/// More than a pool that stays whole has.
const ENGINES: usize = 36;
const SHARDS: u16 = 2;
/// Enough that each shard is offered some, whatever the numbers drawn.
const REQUESTS: usize = 60;
const MODEL: &str = "register-model";
/// Homes do not move while the test lasts.
const SETTINGS: &str = "[timeouts]\nsuspect_ms = 3600000\n";

/// The host that keeps each shard; `None` until all are kept once.
async fn homes(fleet: &Fleet) -> Option<BTreeMap<u16, usize>> {
    let mut homes = BTreeMap::new();
    for index in fleet.running() {
        let dump = fleet.dump(index).await.ok()?;
        let own = dump.pools.iter().filter(|pool| &*pool.service == MODEL);
        for pool in own.filter(|pool| pool.home && pool.shards == SHARDS) {
            if homes.insert(pool.shard, index).is_some() {
                return None;
            }
        }
    }
    (homes.len() == usize::from(SHARDS)).then_some(homes)
}

#[test]
fn a_home_that_gives_no_word_holds_up_no_request() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let settings = engine::Settings {
            decode_ms: 2.0,
            ..Default::default()
        };
        for _ in 0..ENGINES {
            fleet.add_engine(MODEL, &settings).await?;
        }
        for _ in 0..HOSTS {
            fleet.add_host(SETTINGS).await?;
        }
        fleet.submit(0, common::CONFIGURATION).await?;
        fleet.linked().await?;
        fleet
            .until("each shard has one home", async || {
                homes(&fleet).await.is_some()
            })
            .await?;
        let homes = homes(&fleet).await.expect("they were there just now");
        let (frozen, kept) = (homes[&1], homes[&0]);
        assert_ne!(frozen, kept, "the names of hosts give two homes");
        fleet.host(frozen).freeze();
        let holder = (0..HOSTS).find(|host| *host != frozen && *host != kept);
        let address = fleet.callers(holder.expect("there are four"));
        let asked = (0..REQUESTS).map(|index| {
            let request = Ask::new(common::URGENT_KEY, MODEL, &format!("number-{index}"));
            spawn(async move { (ask(address, &request).await, request) })
        });
        let asked: Vec<_> = asked.collect();
        for answer in asked {
            let (answer, request) = answer.await;
            let answer = answer.map_err(io::Error::other)?;
            assert!(answer.whole, "{:?}", answer.error);
            assert_eq!(answer.text, request.expected());
        }
        fleet.host(frozen).resume();
        Ok(())
    });
}
