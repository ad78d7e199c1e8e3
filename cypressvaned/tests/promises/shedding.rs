//! Tests that a higher tier is never shed before a lower one.

use std::io;

use cypressvane::refusal::Code;
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

use crate::common;
use crate::ledgers::{Call, check, count_arrivals, count_whole, join_all, send};

/// Number of hosts.
const HOSTS: usize = 3;
/// Most requests that the queue holds.
const QUEUE_LIMIT: usize = 16;
/// Requests of the lowest tier; more than run and wait together.
const CHEAP_REQUESTS: usize = 24;
/// Requests that run concurrently: two at each of two engines.
const SLOTS: usize = 4;
/// Rank of the lowest tier.
const LOWEST_RANK: usize = 2;
/// Requests of the highest tier; fewer than the queue holds.
const URGENT_REQUESTS: usize = 12;

fn slow_engine() -> engine::Settings {
    engine::Settings {
        decode_ms: 40.0,
        ..Default::default()
    }
}

async fn start_fleet() -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(fleet.add_engine("register-model", &slow_engine()).await?);
    }
    for _ in 0..HOSTS {
        fleet
            .add_host(&format!("[limits]\nwaiting = {QUEUE_LIMIT}\n"))
            .await?;
    }
    let configuration = common::CONFIGURATION.replace("\"model\"", "\"model\"\nslots = 2");
    fleet.submit(0, &configuration).await?;
    fleet.wait_until_linked().await?;
    Ok((fleet, engines))
}

fn burst(fleet: &Fleet, key: &str, count: usize, hosts: &[usize]) -> Vec<smol::Task<Call>> {
    let request = |index: usize| {
        let prompt = format!("question number-{index}");
        CompletionRequest::new(key, "register-model", &prompt).streamed(15)
    };
    let tasks =
        (0..count).map(|index| send(fleet.callers(hosts[index % hosts.len()]), request(index)));
    tasks.collect()
}

fn overloaded(outcomes: &[Call]) -> usize {
    let errors = outcomes
        .iter()
        .filter_map(|outcome| outcome.result.as_ref().ok()?.error.as_ref());
    errors
        .filter(|error| error.code == Code::Overloaded)
        .count()
}

/// Returns the first host with waiting prompt tokens, which is the home of the pool.
async fn home(fleet: &Fleet) -> io::Result<usize> {
    for index in fleet.running() {
        let dump = fleet.dump(index).await?;
        if dump.pools.iter().any(|pool| pool.waiting_tokens > 0) {
            return Ok(index);
        }
    }
    Err(io::Error::other("no host has waiting requests"))
}

/// Returns the slots of all servers as reported by the first host with the pool; `None` if no host has it.
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

/// Returns the number of requests that wait in all queues at `rank` and in lower tiers; 0 if a host gives
/// no dump.
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
fn a_burst_of_the_highest_tier_on_one_host_displaces_the_lowest_on_others() {
    common::run(async {
        let (fleet, engines) = start_fleet().await?;
        // No request finishes while both tiers wait, so that only displacement by the home makes room.
        let halted = engine::Settings {
            decode_ms: 4_000.0,
            ..Default::default()
        };
        for engine in &engines {
            fleet.set_engine(*engine, &halted).await?;
        }
        fleet
            .wait_until("the home knows the servers' slots", async || {
                slots(&fleet).await == Some(SLOTS)
            })
            .await?;
        let cheap = burst(&fleet, common::CHEAP_KEY, CHEAP_REQUESTS, &[1, 2]);
        fleet
            .wait_until("the queue is full of the lowest tier", async || {
                waiting(&fleet, LOWEST_RANK).await == QUEUE_LIMIT
            })
            .await?;
        let urgent = burst(&fleet, common::URGENT_KEY, URGENT_REQUESTS, &[0]);
        fleet
            .wait_until(
                "the highest tier displaced requests of the lowest",
                async || waiting(&fleet, LOWEST_RANK).await == QUEUE_LIMIT - URGENT_REQUESTS,
            )
            .await?;
        for engine in &engines {
            fleet.set_engine(*engine, &slow_engine()).await?;
        }
        let urgent = join_all(urgent).await;
        let cheap = join_all(cheap).await;
        let arrivals = count_arrivals(&fleet, &engines).await?;
        check("urgent", &urgent, &arrivals);
        check("cheap", &cheap, &arrivals);
        assert_eq!(
            count_whole(&urgent),
            URGENT_REQUESTS,
            "the highest tier is answered"
        );
        let kept = QUEUE_LIMIT - URGENT_REQUESTS + SLOTS;
        assert_eq!(
            overloaded(&cheap),
            CHEAP_REQUESTS - kept,
            "the lowest tier was displaced"
        );
        assert_eq!(
            count_whole(&cheap),
            kept,
            "no more than needed was displaced"
        );
        Ok(())
    });
}

#[test]
fn the_death_of_a_home_sheds_no_higher_tier() {
    common::run(async {
        let (mut fleet, engines) = start_fleet().await?;
        let others =
            |home: usize| -> Vec<usize> { (0..HOSTS).filter(|host| *host != home).collect() };
        let probe = burst(&fleet, common::CHEAP_KEY, 12, &[0, 1, 2]);
        fleet
            .wait_until("requests wait", async || home(&fleet).await.is_ok())
            .await?;
        let dying = home(&fleet).await?;
        join_all(probe).await;
        let cheap = burst(&fleet, common::CHEAP_KEY, CHEAP_REQUESTS, &others(dying));
        fleet
            .wait_until("requests wait", async || home(&fleet).await.is_ok())
            .await?;
        let urgent = burst(&fleet, common::URGENT_KEY, URGENT_REQUESTS, &others(dying));
        fleet.hosts[dying].as_mut().expect("started").kill();
        let urgent = join_all(urgent).await;
        let cheap = join_all(cheap).await;
        let arrivals = count_arrivals(&fleet, &engines).await?;
        check("urgent", &urgent, &arrivals);
        check("cheap", &cheap, &arrivals);
        assert_eq!(
            count_whole(&urgent),
            URGENT_REQUESTS,
            "the highest tier is answered"
        );
        Ok(())
    });
}
