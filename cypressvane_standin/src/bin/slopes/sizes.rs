//! The measurements, one function for each quantity that is varied.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::name::Name;
use cypressvane::platform::{Entry, Kind, Presence};
use cypressvane::pool::{Action, Constraint, End, Offer, Pool, Spec, Ticket};
use cypressvane::{digest, runtime};
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY, REGION};
use smol::Timer;

use crate::fit::Series;
use crate::watch::{HostUsage, count_to_f64, measure, to_f64};

/// Measuring time of idle hosts.
const IDLE: Duration = Duration::from_secs(6);
/// Measuring time of hosts under load.
const LOADED: Duration = Duration::from_secs(6);
/// Pause before a measurement, so that start-up is over; also the time that load lasts after it.
const SETTLE: Duration = Duration::from_secs(3);
/// Number of hosts under load.
const LOAD_HOSTS: usize = 7;
/// Number of engines under load.
const LOAD_ENGINES: usize = 6;
/// Number of timed decisions for each size.
const DECISIONS: u32 = 20_000;
/// Backend servers of a full shard, and their slots.
const SHARE_SERVERS: usize = 32;
const SHARE_SLOTS: u32 = 8;
/// Number of offers of each account that wait.
const SHARE_WAITING: usize = 3;
/// Time between two decisions: 1,000 requests a second.
const SHARE_STEP: Duration = Duration::from_millis(1);
/// The name of the model.
const MODEL: &str = "echo";
/// The key of the caller's account.
const KEY: &str = "account-0";

/// A configuration with `accounts` accounts, whose keys are their names.
fn configuration(accounts: usize, requests_per_second: u32) -> String {
    let mut text = format!(
        "[[tiers]]\nname = \"only\"\nfirst_token_ms = 460\nbetween_tokens_ms = 41\n\
         [[services]]\nname = \"{MODEL}\"\nkind = \"model\"\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::sha256_hex(OPERATOR_KEY.as_bytes())
    );
    for index in 0..accounts {
        let name = format!("account-{index}");
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[accounts]]\nname = \"{name}\"\ntier = \"only\"\nkey_sha256 = \"{}\"\n\
             requests_per_second = {requests_per_second}\n",
            digest::sha256_hex(name.as_bytes())
        );
    }
    text
}

async fn fleet_of(hosts: usize) -> io::Result<Fleet> {
    let mut fleet = Fleet::spawn()?;
    fleet.poll_ms = 1_000;
    for _ in 0..hosts {
        fleet.add_host("[logs]\nlevel = \"error\"\n").await?;
    }
    Ok(fleet)
}

/// The three series that are common to all measurements of hosts.
struct Costs {
    processor: Series,
    memory: Series,
    bytes: Series,
}

impl Costs {
    fn new(size: &'static str) -> Self {
        Self {
            processor: Series::new("processor of a host, % of a core", size),
            memory: Series::new("resident memory of a host, MB", size),
            bytes: Series::new("bytes to other hosts, a second from one host", size),
        }
    }

    fn add(&mut self, size: f64, used: &HostUsage) {
        self.processor.add(size, used.processor_percent);
        self.memory.add(size, used.resident_mb);
        self.bytes.add(size, used.peer_bytes);
    }

    fn print(&self) {
        self.processor.print();
        self.memory.print();
        self.bytes.print();
    }
}

/// Measures idle hosts of one region, which keep links to each other.
pub async fn hosts(sizes: &[usize]) -> io::Result<()> {
    let mut costs = Costs::new("hosts of a region");
    let mut reads = Series::new(
        "reads of the table, a second from one host",
        "hosts of a region",
    );
    let mut lists = Series::new(
        "reads of the host list, a second from one host",
        "hosts of a region",
    );
    for size in sizes {
        let fleet = fleet_of(*size).await?;
        fleet.submit(0, &configuration(5, 1_000)).await?;
        fleet.wait_until_linked().await?;
        Timer::after(SETTLE).await;
        let used = measure(&fleet, IDLE).await?;
        costs.add(to_f64(*size), &used);
        reads.add(to_f64(*size), used.reads);
        lists.add(to_f64(*size), used.lists);
    }
    costs.print();
    reads.print();
    lists.print();
    Ok(())
}

/// Measures requests at seven hosts, where homes are mostly on other hosts, and at one, where they are local.
pub async fn requests(rates: &[u32]) -> io::Result<()> {
    for hosts in [LOAD_HOSTS, 1] {
        println!("\n== {hosts} hosts");
        requests_over(hosts, rates).await?;
    }
    Ok(())
}

async fn requests_over(hosts: usize, rates: &[u32]) -> io::Result<()> {
    let size = "requests a second at one host";
    let mut costs = Costs::new(size);
    let mut messages = Series::new("messages to other hosts, a second from one host", size);
    let mut fleet = fleet_of(hosts).await?;
    let settings = engine::Settings {
        prefill_rate: 1e6,
        decode_ms: 1.0,
        ..Default::default()
    };
    for _ in 0..LOAD_ENGINES {
        fleet.add_engine(MODEL, &settings).await?;
    }
    fleet.submit(0, &configuration(5, 1_000_000)).await?;
    fleet.wait_until_linked().await?;
    for at_one in [0].iter().chain(rates) {
        let addresses: Vec<SocketAddr> = (0..hosts).map(|index| fleet.callers(index)).collect();
        let total_rate = at_one * u32::try_from(hosts).unwrap_or(1);
        let load = runtime::spawn(load(addresses, total_rate, SETTLE + LOADED + SETTLE));
        Timer::after(SETTLE).await;
        let used = measure(&fleet, LOADED).await?;
        load.await?;
        costs.add(f64::from(*at_one), &used);
        messages.add(f64::from(*at_one), used.peer_messages);
    }
    costs.print();
    messages.print();
    Ok(())
}

/// Sends `rate` requests a second on schedule for `time`, to the addresses in turn.
async fn load(addresses: Vec<SocketAddr>, rate: u32, time: Duration) -> io::Result<()> {
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut sent = 0_u32;
    while rate > 0 && begun.elapsed() < time {
        let address = addresses[sent as usize % addresses.len()];
        let request = CompletionRequest::new(KEY, MODEL, "a request of a few words").streamed(8);
        tasks.push(runtime::spawn(
            async move { complete(address, &request).await },
        ));
        sent += 1;
        let due = Duration::from_secs(1) * sent / rate;
        Timer::after(due.saturating_sub(begun.elapsed())).await;
    }
    for task in tasks {
        let answer = task.await.map_err(io::Error::other)?;
        if !answer.whole {
            return Err(io::Error::other(format!(
                "an answer is incomplete: {:?}",
                answer.error
            )));
        }
    }
    Ok(())
}

/// Measures one idle host by the number of backend servers in the host list.
pub async fn servers(sizes: &[usize]) -> io::Result<()> {
    let mut costs = Costs::new("backend servers in the host list");
    let mut list = Series::new("bytes of the host list", "backend servers in the host list");
    for size in sizes {
        let mut fleet = fleet_of(1).await?;
        fleet.submit(0, &configuration(5, 1_000)).await?;
        for index in 0..*size {
            fleet.entries.push(Entry {
                name: format!("server-{index}").into(),
                kind: Kind::Backend,
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                operators: None,
                service: Some(MODEL.into()),
                data_centre: "hut-north".into(),
                region: REGION.into(),
                presence: Presence::Live,
                version: None,
                slots: None,
                started_ms: None,
                cold_ms: None,
            });
        }
        fleet.publish().await?;
        list.add(
            to_f64(*size),
            to_f64(serde_json::to_vec(&fleet.entries)?.len()),
        );
        Timer::after(SETTLE).await;
        let used = measure(&fleet, IDLE).await?;
        costs.add(to_f64(*size), &used);
    }
    costs.print();
    list.print();
    Ok(())
}

/// Measures two hosts by the number of client accounts: idle, and during a change of the configuration.
pub async fn accounts(sizes: &[usize]) -> io::Result<()> {
    let mut costs = Costs::new("client accounts");
    let mut applied = Series::new(
        "time until two hosts have a change in force, ms",
        "client accounts",
    );
    let mut reads = Series::new(
        "reads of the table for a change, by one host",
        "client accounts",
    );
    let mut read_bytes = Series::new("bytes that one host reads for a change", "client accounts");
    for size in sizes {
        let fleet = fleet_of(2).await?;
        fleet.submit(0, &configuration(*size, 1_000)).await?;
        Timer::after(SETTLE).await;
        costs.add(to_f64(*size), &measure(&fleet, IDLE).await?);
        let changed = configuration(*size, 1_000).replacen("= 1000\n", "= 999\n", 1);
        let before = fleet.stats().await?;
        let begun = Instant::now();
        fleet.submit(0, &changed).await?;
        let time = begun.elapsed();
        let after = fleet.stats().await?;
        applied.add(to_f64(*size), time.as_secs_f64() * 1e3);
        let polls = time.as_secs_f64().ceil() * 2.0;
        reads.add(
            to_f64(*size),
            (count_to_f64(after.reads - before.reads) - polls).max(0.0) / 2.0,
        );
        read_bytes.add(
            to_f64(*size),
            count_to_f64(after.read_bytes - before.read_bytes) / 2.0,
        );
    }
    costs.print();
    applied.print();
    reads.print();
    read_bytes.print();
    Ok(())
}

/// Measures the time of decisions of one pool at its home, without sockets.
pub fn decisions(servers: &[usize], waiting: &[u32]) {
    for waiting in waiting {
        let mut p50 = Series::new(
            "time of an offer with its grant, p50, us",
            "backend servers in view",
        );
        let mut p99 = Series::new(
            "time of an offer with its grant, p99, us",
            "backend servers in view",
        );
        for size in servers {
            let mut times = time_decisions(*size, *waiting);
            times.sort();
            let at = |share: usize| times[times.len() * share / 100].as_secs_f64() * 1e6;
            p50.add(to_f64(*size), at(50));
            p99.add(to_f64(*size), at(99));
        }
        println!("\n== {waiting} waiting");
        p50.print();
        p99.print();
    }
}

/// Times decisions while `waiting` offers wait; each decision is one offer, one first token and one end.
fn time_decisions(servers: usize, waiting: u32) -> Vec<Duration> {
    let now = Instant::now();
    let mut pool = Pool::new(MODEL.into(), waiting as usize + 10);
    pool.set_servers(&specs(servers, 1), now);
    let mut granted = Vec::new();
    let mut next = 0;
    let mut offer = |pool: &mut Pool, granted: &mut Vec<Ticket>| {
        next += 1;
        let offer = Offer {
            rank: usize::from(next % 5 == 0),
            ..patient_offer(next, now)
        };
        collect_grants(pool.offer(offer, now), granted);
    };
    while pool.waiting() < waiting as usize {
        offer(&mut pool, &mut granted);
    }
    let mut times = Vec::new();
    for _ in 0..DECISIONS {
        let begun = Instant::now();
        offer(&mut pool, &mut granted);
        if !granted.is_empty() {
            let ticket = granted.swap_remove(0);
            collect_grants(pool.note_first_token(&ticket, now), &mut granted);
            collect_grants(pool.finish(&ticket, End::Whole, now), &mut granted);
        }
        times.push(begun.elapsed());
    }
    times
}

/// Servers of a pool, with their slots.
fn specs(servers: usize, slots: u32) -> Vec<Spec> {
    let spec = |index: usize| Spec {
        name: format!("server-{index}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: None,
        slots,
        version: None,
        tried: false,
        settling: false,
        leaving: false,
        started_ms: None,
        warmup: None,
    };
    (0..servers).map(spec).collect()
}

/// An offer that waits for an hour.
fn patient_offer(sequence: u64, now: Instant) -> Offer {
    let deadline = now + Duration::from_secs(3600);
    Offer {
        ticket: Ticket {
            holder: "host".into(),
            incarnation: 1,
            sequence,
        },
        rank: 0,
        priority: 0,
        account: "".into(),
        weight: 1.0,
        prompt_tokens: 200,
        arrived: now,
        first_token_deadline: deadline,
        first_token_target: Duration::from_millis(460),
        pause: Duration::ZERO,
        answer_tokens: 0,
        answer_deadline: deadline,
        avoid: None,
        early: false,
        returning: false,
        late: false,
        reserved: false,
        mark: None,
        opening: None,
        data_centre: None,
        versions: Constraint::Any,
    }
}

/// Measures the time of decisions of one shard by the number of client accounts that use it, without sockets.
pub fn shares(accounts: &[usize]) {
    for is_shared in [false, true] {
        let quantity = |share: &'static str| match (is_shared, share) {
            (false, "mean") => "time of an offer, grant and end, mean, us",
            (false, _) => "time of an offer, grant and end, p99, us",
            (true, "mean") => "time of an offer, grant and end, shared, mean, us",
            (true, _) => "time of an offer, grant and end, shared, p99, us",
        };
        let mut mean = Series::new(quantity("mean"), "client accounts");
        let mut p99 = Series::new(quantity("p99"), "client accounts");
        for size in accounts {
            let mut times = time_shares(*size, is_shared);
            times.sort();
            let sum: Duration = times.iter().sum();
            mean.add(to_f64(*size), sum.as_secs_f64() * 1e6 / to_f64(times.len()));
            p99.add(
                to_f64(*size),
                times[times.len() * 99 / 100].as_secs_f64() * 1e6,
            );
        }
        mean.print();
        p99.print();
    }
}

/// Times decisions of a full shard while `SHARE_WAITING` offers of each account wait; each decision is one offer, one
/// end and the grant that follows. The clock moves by `SHARE_STEP` for each, so that shares are computed anew as often
/// as under that load.
fn time_shares(accounts: usize, is_shared: bool) -> Vec<Duration> {
    let mut now = Instant::now();
    let names: Vec<Name> = (0..accounts)
        .map(|index| format!("account-{index}").into())
        .collect();
    let mut pool = Pool::new(MODEL.into(), (accounts + 1) * SHARE_WAITING + 10);
    if is_shared {
        pool = pool.shared_between_accounts();
    }
    pool.set_servers(&specs(SHARE_SERVERS, SHARE_SLOTS), now);
    let mut granted = VecDeque::new();
    let mut grants = Vec::new();
    let mut sequence = 0;
    let mut accounts_in_turn = names.iter().cycle();
    let mut next_offer = |now| {
        sequence += 1;
        let account = accounts_in_turn.next().cloned().unwrap_or_default();
        Offer {
            account,
            ..patient_offer(sequence, now)
        }
    };
    while pool.waiting() < accounts * SHARE_WAITING {
        collect_grants(pool.offer(next_offer(now), now), &mut grants);
        granted.extend(grants.drain(..));
    }
    let mut times = Vec::new();
    for _ in 0..DECISIONS {
        now += SHARE_STEP;
        let offer = next_offer(now);
        let begun = Instant::now();
        collect_grants(pool.offer(offer, now), &mut grants);
        if let Some(ticket) = granted.pop_front() {
            collect_grants(pool.finish(&ticket, End::Whole, now), &mut grants);
        }
        times.push(begun.elapsed());
        granted.extend(grants.drain(..));
    }
    times
}

fn collect_grants(actions: Vec<Action>, granted: &mut Vec<Ticket>) {
    for action in actions {
        if let Action::Grant { ticket, .. } = action {
            granted.push(ticket);
        }
    }
}
