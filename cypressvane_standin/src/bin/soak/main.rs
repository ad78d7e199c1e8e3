//! Runs a fleet under load and random faults, and checks its invariants.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod faults;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::runtime;
use cypressvane_standin::audit::{
    Call, count_arrivals, count_errors, count_whole, join_all, send, violations,
};
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use fastrand::Rng;
use gumdrop::Options as Parse;
use smol::Timer;

use crate::faults::Faults;

/// Number of hosts.
const HOSTS: usize = 5;
/// Number of engines.
const ENGINES: usize = 4;
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Number of retries of a request with an idempotency key.
const RETRIES: usize = 2;
/// Settings of the hosts; short timeouts, so that stuck requests end during the run.
const SETTINGS: &str = "[timeouts]\nsilence_ms = 3000\ngrace_ms = 300\n[logs]\nlevel = \"error\"\n";
/// The name of the model.
const MODEL: &str = "echo";
/// Names of the tiers; each has one account with the same name and key.
const TIERS: [&str; 3] = ["urgent", "patient", "cheap"];

/// Runs a fleet under load and random faults, and checks its invariants.
#[derive(Debug, Parse)]
struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// seed of the faults and requests (default: random, and printed)
    #[options(no_short, meta = "NUMBER")]
    seed: Option<u64>,
    /// how long, in seconds
    #[options(no_short, default = "120", meta = "SECONDS")]
    seconds: u64,
}

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    runtime::start(2);
    let seed = options.seed.unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    match smol::block_on(soak(seed, Duration::from_secs(options.seconds))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A configuration that differs for each `number`.
fn configuration(number: u64) -> String {
    use cypressvane::digest::sha256_hex;
    use cypressvane_standin::fleet::OPERATOR_KEY;
    let tiers = TIERS.iter().map(|tier| {
        format!(
            "[[tiers]]\nname = \"{tier}\"\nfirst_token_ms = {}\nbetween_tokens_ms = 100\n\
             deadline_ms = 8000\n[[accounts]]\nname = \"{tier}\"\ntier = \"{tier}\"\n\
             key_sha256 = \"{}\"\n",
            1_000 + number,
            sha256_hex(tier.as_bytes())
        )
    });
    let tiers: Vec<String> = tiers.collect();
    format!(
        "{}[[services]]\nname = \"{MODEL}\"\nkind = \"model\"\nslots = 8\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        tiers.concat(),
        sha256_hex(OPERATOR_KEY.as_bytes())
    )
}

/// The addresses of the running hosts for callers.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

async fn soak(seed: u64, time: Duration) -> io::Result<bool> {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::spawn()?;
    let settings = engine::Settings {
        decode_ms: 8.0,
        ..Default::default()
    };
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        engines.push(fleet.add_engine(MODEL, &settings).await?);
    }
    let mut faults = Faults::new(&mut fleet)?;
    fleet.publish().await?;
    for _ in 0..HOSTS {
        fleet.add_host(SETTINGS).await?;
    }
    fleet.submit(0, &configuration(0)).await?;
    fleet.wait_until_linked().await?;
    let addresses: Addresses = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let load = runtime::spawn(load(Arc::clone(&addresses), Arc::clone(&stop), rng.fork()));
    let started = Instant::now();
    while started.elapsed() < time {
        *addresses.lock().unwrap_or_else(PoisonError::into_inner) =
            fleet.running().map(|index| fleet.callers(index)).collect();
        faults.inject_next(&mut fleet, &mut rng).await?;
    }
    stop.store(true, Ordering::Relaxed);
    faults.clear(&mut fleet).await?;
    let calls = load.await;
    fleet
        .wait_in_force(faults.highest_accepted_version())
        .await?;
    let mut found = violations(&calls, &count_arrivals(&fleet, &engines).await?);
    found.extend(faults.violations(&fleet).await?);
    let no = cypressvane::refusal::Ran::No;
    let unknown = cypressvane::refusal::Ran::Unknown;
    println!(
        "{} requests: {} whole, {} refused as not run, {} unknown, {} without a host; {} faults: \
         {:?}; {} versions accepted; violations: {}",
        calls.len(),
        count_whole(&calls),
        count_errors(&calls, no),
        count_errors(&calls, unknown),
        calls.iter().filter(|call| call.result.is_err()).count(),
        faults.count(),
        faults.kinds(),
        faults.highest_accepted_version(),
        found.len()
    );
    for violation in &found {
        println!("violation: {violation}");
    }
    Ok(found.is_empty())
}

/// Sends requests until `stop` is set; one with an idempotency key is retried when it fails.
async fn load(addresses: Addresses, stop: Arc<AtomicBool>, mut rng: Rng) -> Vec<Call> {
    let mut running = Vec::new();
    for number in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        Timer::after(REQUEST_INTERVAL).await;
        let tier = TIERS[rng.usize(0..TIERS.len())];
        let request = CompletionRequest::new(
            tier,
            MODEL,
            &format!("{} number-{number}", "word ".repeat(rng.usize(0..200))),
        );
        let request = if rng.bool() {
            request.streamed(rng.u32(1..60))
        } else {
            request
        };
        let keyed = rng.u8(0..5) == 0;
        let request = if keyed {
            request.with_header("idempotency-key", &format!("key-{number}"))
        } else {
            request
        };
        let retries = if keyed { RETRIES } else { 0 };
        running.push(runtime::spawn(send_with_retries(
            Arc::clone(&addresses),
            request,
            retries,
            rng.fork(),
        )));
    }
    let mut calls = Vec::new();
    for task in running {
        calls.extend(task.await);
    }
    calls
}

/// Sends a request to a random host, and retries it up to `retries` times until its answer is whole.
async fn send_with_retries(
    addresses: Addresses,
    request: CompletionRequest,
    retries: usize,
    mut rng: Rng,
) -> Vec<Call> {
    let mut all = Vec::new();
    for _ in 0..=retries {
        let addresses = addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(address) = rng.choice(addresses) else {
            break;
        };
        let calls = join_all(vec![send(address, request.clone())]).await;
        let done = count_whole(&calls) == 1;
        all.extend(calls);
        if done {
            break;
        }
    }
    all
}
