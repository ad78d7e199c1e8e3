//! A higher tier is never shed before a lower one.

use std::io;

use cypressvane::refusal::Code;
use cypressvane_standin::caller::Ask;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

use crate::common;
use crate::evidence::{Told, check, gather, seen, send, whole};

/// Hosts of the fleet.
const HOSTS: usize = 3;
/// Places of the queue.
const WAITING: usize = 16;
/// Requests of the lowest tier: as many as wait, and more.
const CHEAP: usize = 24;
/// Requests of the highest tier: as many as the queue holds.
const URGENT: usize = 12;

async fn fleet_of() -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let slow = engine::Settings {
        decode_ms: 40.0,
        ..Default::default()
    };
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(fleet.add_engine("register-model", &slow).await?);
    }
    for _ in 0..HOSTS {
        fleet
            .add_host(&format!("[limits]\nwaiting = {WAITING}\n"))
            .await?;
    }
    let configuration = common::CONFIGURATION.replace("\"model\"", "\"model\"\nslots = 2");
    fleet.submit(0, &configuration).await?;
    fleet.linked().await?;
    Ok((fleet, engines))
}

fn burst(fleet: &Fleet, key: &str, count: usize, hosts: &[usize]) -> Vec<smol::Task<Told>> {
    let ask = |index: usize| {
        let prompt = format!("question number-{index}");
        Ask::new(key, "register-model", &prompt).streamed(15)
    };
    let tasks = (0..count).map(|index| send(fleet.callers(hosts[index % hosts.len()]), ask(index)));
    tasks.collect()
}

fn overloaded(told: &[Told]) -> usize {
    let errors = told
        .iter()
        .filter_map(|told| told.result.as_ref().ok()?.error.as_ref());
    errors
        .filter(|error| error.code == Code::Overloaded)
        .count()
}

/// The host that keeps the pool's queue.
async fn home(fleet: &Fleet) -> io::Result<usize> {
    for index in fleet.running() {
        let dump = fleet.dump(index).await?;
        if dump.pools.iter().any(|pool| pool.waiting_tokens > 0) {
            return Ok(index);
        }
    }
    Err(io::Error::other("nothing waits anywhere"))
}

#[test]
fn a_burst_of_the_highest_tier_at_one_host_displaces_the_lowest_at_others() {
    common::run(async {
        let (fleet, engines) = fleet_of().await?;
        let cheap = burst(&fleet, common::CHEAP_KEY, CHEAP, &[1, 2]);
        fleet
            .until("the queue is full of the lowest tier", async || {
                let mut waiting = 0;
                for index in 0..HOSTS {
                    let Ok(dump) = fleet.dump(index).await else {
                        return false;
                    };
                    let queues = dump.pools.iter().flat_map(|pool| &pool.waiting);
                    waiting += queues.map(|waiting| waiting.requests).sum::<u64>();
                }
                waiting >= WAITING as u64
            })
            .await?;
        let urgent = gather(burst(&fleet, common::URGENT_KEY, URGENT, &[0])).await;
        let cheap = gather(cheap).await;
        let seen = seen(&fleet, &engines).await?;
        check("urgent", &urgent, &seen);
        check("cheap", &cheap, &seen);
        assert_eq!(whole(&urgent), URGENT, "the highest tier is answered");
        assert!(overloaded(&cheap) >= URGENT, "the lowest made room");
        Ok(())
    });
}

#[test]
fn a_home_that_dies_sheds_no_higher_tier() {
    common::run(async {
        let (mut fleet, engines) = fleet_of().await?;
        let others =
            |home: usize| -> Vec<usize> { (0..HOSTS).filter(|host| *host != home).collect() };
        let probe = burst(&fleet, common::CHEAP_KEY, 12, &[0, 1, 2]);
        fleet
            .until("requests wait", async || home(&fleet).await.is_ok())
            .await?;
        let dying = home(&fleet).await?;
        gather(probe).await;
        let cheap = burst(&fleet, common::CHEAP_KEY, CHEAP, &others(dying));
        fleet
            .until("requests wait", async || home(&fleet).await.is_ok())
            .await?;
        let urgent = burst(&fleet, common::URGENT_KEY, URGENT, &others(dying));
        fleet.hosts[dying].as_mut().expect("started").kill();
        let urgent = gather(urgent).await;
        let cheap = gather(cheap).await;
        let seen = seen(&fleet, &engines).await?;
        check("urgent", &urgent, &seen);
        check("cheap", &cheap, &seen);
        assert_eq!(whole(&urgent), URGENT, "the highest tier is answered");
        Ok(())
    });
}
