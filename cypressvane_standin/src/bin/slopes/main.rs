//! Measures how the cost of coordination grows with hosts, requests, backend servers, accounts and offers.
//!
//! Prints each measured point, the fitted line and its largest residual. The figures in `docs/CAPACITY.md`
//! are derived from this output.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod fit;
mod sizes;
mod watch;

use std::io;
use std::process::ExitCode;

use cypressvane::runtime;

/// Number of worker threads.
const THREADS: usize = 2;
/// Numbers of idle hosts.
const HOSTS: [usize; 4] = [4, 8, 16, 32];
/// Request rates, a second at each host.
const RATES: [u32; 3] = [10, 20, 40];
/// Numbers of backend servers in the host list.
const SERVERS: [usize; 4] = [22, 340, 1_000, 3_400];
/// Numbers of client accounts.
const ACCOUNTS: [usize; 4] = [5, 1_000, 10_000, 33_000];
/// Numbers of client accounts that share a pool.
const SHARING: [usize; 3] = [16, 1_000, 10_000];
/// Numbers of offers that wait in one pool.
const WAITING: [u32; 3] = [100, 1_000, 10_000];

fn main() -> ExitCode {
    runtime::start(THREADS);
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    match smol::block_on(run(&wanted)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all measurements, or those named on the command line.
async fn run(wanted: &[String]) -> io::Result<()> {
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|wanted| wanted == name);
    if is_wanted("hosts") {
        sizes::hosts(&HOSTS).await?;
    }
    if is_wanted("requests") {
        sizes::requests(&RATES).await?;
    }
    if is_wanted("servers") {
        sizes::servers(&SERVERS).await?;
    }
    if is_wanted("accounts") {
        sizes::accounts(&ACCOUNTS).await?;
    }
    if is_wanted("decisions") {
        sizes::decisions(&SERVERS, &WAITING);
    }
    if is_wanted("shares") {
        sizes::shares(&SHARING);
    }
    Ok(())
}
