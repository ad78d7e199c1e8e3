//! One function for each thing that grows.

use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::platform::{Entry, Kind, Presence};
use cypressvane::pool::{Action, End, Offer, Pool, Spec, Ticket};
use cypressvane::{digest, runtime};
use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY, REGION};
use smol::Timer;

use crate::fit::Series;
use crate::watch::{Used, count, real, watch};

/// How long idle hosts are watched.
const IDLE: Duration = Duration::from_secs(6);
/// How long hosts under load are watched.
const LOADED: Duration = Duration::from_secs(6);
/// Rest before hosts are watched, so that start-up is over.
const SETTLE: Duration = Duration::from_secs(3);
/// Hosts under load.
const LOAD_HOSTS: usize = 7;
/// Engines under load.
const LOAD_ENGINES: usize = 6;
/// Decisions that are timed at each size.
const DECISIONS: u32 = 20_000;
/// The model.
const MODEL: &str = "echo";
/// The callers' key.
const KEY: &str = "account-0";

/// A configuration with so many accounts, whose keys are their names.
fn configuration(accounts: usize, requests_per_second: u32) -> String {
    let mut text = format!(
        "[[tiers]]\nname = \"only\"\nfirst_token_ms = 460\nbetween_tokens_ms = 41\n\
         [[services]]\nname = \"{MODEL}\"\nkind = \"model\"\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::hex(OPERATOR_KEY.as_bytes())
    );
    for index in 0..accounts {
        let name = format!("account-{index}");
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[accounts]]\nname = \"{name}\"\ntier = \"only\"\nkey_sha256 = \"{}\"\n\
             requests_per_second = {requests_per_second}\n",
            digest::hex(name.as_bytes())
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

/// The three series that every part prints.
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

    fn add(&mut self, size: f64, used: &Used) {
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

/// Idle hosts of one region that keep links to each other.
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
        fleet.linked().await?;
        Timer::after(SETTLE).await;
        let used = watch(&fleet, IDLE).await?;
        costs.add(real(*size), &used);
        reads.add(real(*size), used.reads);
        lists.add(real(*size), used.lists);
    }
    costs.print();
    reads.print();
    lists.print();
    Ok(())
}

/// Requests over seven hosts, whose homes are mostly other hosts, and over one, its own home.
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
    fleet.linked().await?;
    for at_one in [0].iter().chain(rates) {
        let addresses: Vec<SocketAddr> = (0..hosts).map(|index| fleet.callers(index)).collect();
        let all = at_one * u32::try_from(hosts).unwrap_or(1);
        let load = runtime::spawn(load(addresses, all, SETTLE + LOADED + SETTLE));
        Timer::after(SETTLE).await;
        let used = watch(&fleet, LOADED).await?;
        load.await?;
        costs.add(f64::from(*at_one), &used);
        messages.add(f64::from(*at_one), used.peer_messages);
    }
    costs.print();
    messages.print();
    Ok(())
}

/// Sends so many requests a second in all, by the schedule, for a while.
async fn load(addresses: Vec<SocketAddr>, rate: u32, time: Duration) -> io::Result<()> {
    let begun = Instant::now();
    let mut running = Vec::new();
    let mut sent = 0_u32;
    while rate > 0 && begun.elapsed() < time {
        let address = addresses[sent as usize % addresses.len()];
        let request = Ask::new(KEY, MODEL, "a request of a few words").streamed(8);
        running.push(runtime::spawn(async move { ask(address, &request).await }));
        sent += 1;
        let due = Duration::from_secs(1) * sent / rate;
        Timer::after(due.saturating_sub(begun.elapsed())).await;
    }
    for request in running {
        let answer = request.await.map_err(io::Error::other)?;
        if !answer.whole {
            return Err(io::Error::other(format!(
                "an answer is not whole: {:?}",
                answer.error
            )));
        }
    }
    Ok(())
}

/// Backend servers in the host list of one host.
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
            });
        }
        fleet.publish().await?;
        list.add(real(*size), real(serde_json::to_vec(&fleet.entries)?.len()));
        Timer::after(SETTLE).await;
        let used = watch(&fleet, IDLE).await?;
        costs.add(real(*size), &used);
    }
    costs.print();
    list.print();
    Ok(())
}

/// Client accounts of the configuration.
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
    let mut moved = Series::new("bytes that one host reads for a change", "client accounts");
    for size in sizes {
        let fleet = fleet_of(2).await?;
        fleet.submit(0, &configuration(*size, 1_000)).await?;
        Timer::after(SETTLE).await;
        costs.add(real(*size), &watch(&fleet, IDLE).await?);
        let changed = configuration(*size, 1_000).replacen("= 1000\n", "= 999\n", 1);
        let before = fleet.stats().await?;
        let begun = Instant::now();
        fleet.submit(0, &changed).await?;
        let time = begun.elapsed();
        let after = fleet.stats().await?;
        applied.add(real(*size), time.as_secs_f64() * 1e3);
        let polls = time.as_secs_f64().ceil() * 2.0;
        reads.add(
            real(*size),
            (count(after.reads - before.reads) - polls).max(0.0) / 2.0,
        );
        moved.add(
            real(*size),
            count(after.read_bytes - before.read_bytes) / 2.0,
        );
    }
    costs.print();
    applied.print();
    reads.print();
    moved.print();
    Ok(())
}

/// Decisions of one home, without sockets.
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
            let mut times = timed(*size, *waiting);
            times.sort();
            let at = |share: usize| times[times.len() * share / 100].as_secs_f64() * 1e6;
            p50.add(real(*size), at(50));
            p99.add(real(*size), at(99));
        }
        println!("\n== {waiting} waiting");
        p50.print();
        p99.print();
    }
}

/// Times offers while so many others wait: each is one offer, one first token and one end.
fn timed(servers: usize, waiting: u32) -> Vec<Duration> {
    let now = Instant::now();
    let mut pool = Pool::new(MODEL.into(), waiting as usize + 10);
    let spec = |index: usize| Spec {
        name: format!("server-{index}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: None,
        slots: 1,
        leaving: false,
        started_ms: None,
    };
    let specs: Vec<Spec> = (0..servers).map(spec).collect();
    pool.set_servers(&specs, now);
    let mut running = Vec::new();
    let mut next = 0;
    let mut offer = |pool: &mut Pool, running: &mut Vec<Ticket>| {
        next += 1;
        let ticket = Ticket {
            holder: "host".into(),
            incarnation: 1,
            sequence: next,
        };
        let offer = Offer {
            ticket,
            rank: usize::from(next % 5 == 0),
            priority: 0,
            prompt_tokens: 200,
            arrived: now,
            first_token_deadline: now + Duration::from_secs(3600),
            first_token_target: Duration::from_millis(460),
            pause: Duration::ZERO,
            answer_tokens: 0,
            answer_deadline: now + Duration::from_secs(3600),
            avoid: None,
            early: false,
            returning: false,
            late: false,
            mark: None,
            opening: None,
            data_centre: None,
        };
        take(pool.offer(offer, now), running);
    };
    while pool.waiting() < waiting as usize {
        offer(&mut pool, &mut running);
    }
    let mut times = Vec::new();
    for _ in 0..DECISIONS {
        let begun = Instant::now();
        offer(&mut pool, &mut running);
        if !running.is_empty() {
            let ticket = running.swap_remove(0);
            take(pool.note_first_token(&ticket, now), &mut running);
            take(pool.finish(&ticket, End::Whole, now), &mut running);
        }
        times.push(begun.elapsed());
    }
    times
}

fn take(actions: Vec<Action>, running: &mut Vec<Ticket>) {
    for action in actions {
        if let Action::Grant { ticket, .. } = action {
            running.push(ticket);
        }
    }
}
