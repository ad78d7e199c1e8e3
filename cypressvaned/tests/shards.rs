//! Tests a pool that is split into shards: each shard has its own home, and no request depends on a single home.

use std::collections::BTreeMap;
use std::io;

use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

const HOSTS: usize = 4;
/// More servers than a pool with a single shard has.
const ENGINES: usize = 36;
const SHARDS: u16 = 2;
/// Enough that each shard is offered some requests, whatever random numbers are drawn.
const REQUESTS: usize = 60;
const MODEL: &str = "register-model";
/// A long suspect timeout, so that homes do not move during the test.
const SETTINGS: &str = "[timeouts]\nsuspect_ms = 3600000\n";

/// Returns the home of each shard; `None` unless each shard has exactly one home.
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
fn a_home_that_does_not_answer_blocks_no_request() {
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
        fleet.wait_until_linked().await?;
        fleet
            .wait_until("each shard has one home", async || {
                homes(&fleet).await.is_some()
            })
            .await?;
        let homes = homes(&fleet).await.expect("each shard had a home just now");
        let (frozen, live) = (homes[&1], homes[&0]);
        assert_ne!(
            frozen, live,
            "with these host names the shards have different homes"
        );
        fleet.host(frozen).freeze();
        let holder = (0..HOSTS).find(|host| *host != frozen && *host != live);
        let address = fleet.callers(holder.expect("there are four"));
        let answers = (0..REQUESTS).map(|index| {
            let request =
                CompletionRequest::new(common::URGENT_KEY, MODEL, &format!("number-{index}"));
            spawn(async move { (complete(address, &request).await, request) })
        });
        let answers: Vec<_> = answers.collect();
        for answer in answers {
            let (answer, request) = answer.await;
            let answer = answer.map_err(io::Error::other)?;
            assert!(answer.whole, "{:?}", answer.error);
            assert_eq!(answer.text, request.expected());
        }
        fleet.host(frozen).resume();
        Ok(())
    });
}
