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
/// Requests that run at once: two at each of two engines.
const RUNNING: usize = 4;
/// Rank of the lowest tier.
const LOWEST: usize = 2;
/// Requests of the highest tier: as many as the queue holds.
const URGENT: usize = 12;

fn slow() -> engine::Settings {
    engine::Settings {
        decode_ms: 40.0,
        ..Default::default()
    }
}

async fn fleet_of() -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(fleet.add_engine("register-model", &slow()).await?);
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

/// Slots of all servers as the first home has them; `None` while there is no pool.
async fn slots(fleet: &Fleet) -> Option<usize> {
    for index in fleet.running() {
        let dump = fleet.dump(index).await.ok()?;
        let mut pools = dump.pools.iter();
        if let Some(pool) = pools.find(|pool| &*pool.service == "register-model") {
            let slots: u32 = pool.servers.iter().map(|server| server.slots).sum();
            return usize::try_from(slots).ok();
        }
    }
    None
}

/// Requests that wait in all queues at `rank` and below.
async fn waiting(fleet: &Fleet, rank: usize) -> usize {
    let mut waiting = 0;
    for index in fleet.running() {
        let Ok(dump) = fleet.dump(index).await else {
            return 0;
        };
        let queues = dump.pools.iter().flat_map(|pool| &pool.waiting);
        let queues = queues.filter(|waiting| waiting.rank >= rank);
        waiting += queues.map(|waiting| waiting.requests).sum::<u64>();
    }
    usize::try_from(waiting).unwrap_or(usize::MAX)
}

#[test]
fn a_burst_of_the_highest_tier_at_one_host_displaces_the_lowest_at_others() {
    common::run(async {
        let (fleet, engines) = fleet_of().await?;
        // Nothing ends while the tiers meet, so that what makes room for what is the home's doing.
        let halted = engine::Settings {
            decode_ms: 4_000.0,
            ..Default::default()
        };
        for engine in &engines {
            fleet.set_engine(*engine, &halted).await?;
        }
        fleet
            .until("the home knows the servers' slots", async || {
                slots(&fleet).await == Some(RUNNING)
            })
            .await?;
        let cheap = burst(&fleet, common::CHEAP_KEY, CHEAP, &[1, 2]);
        fleet
            .until("the queue is full of the lowest tier", async || {
                waiting(&fleet, LOWEST).await == WAITING
            })
            .await?;
        let urgent = burst(&fleet, common::URGENT_KEY, URGENT, &[0]);
        fleet
            .until("the highest tier took its places", async || {
                waiting(&fleet, LOWEST).await == WAITING - URGENT
            })
            .await?;
        for engine in &engines {
            fleet.set_engine(*engine, &slow()).await?;
        }
        let urgent = gather(urgent).await;
        let cheap = gather(cheap).await;
        let seen = seen(&fleet, &engines).await?;
        check("urgent", &urgent, &seen);
        check("cheap", &cheap, &seen);
        assert_eq!(whole(&urgent), URGENT, "the highest tier is answered");
        let kept = WAITING - URGENT + RUNNING;
        assert_eq!(overloaded(&cheap), CHEAP - kept, "the lowest made room");
        assert_eq!(whole(&cheap), kept, "and only as much as was needed");
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
