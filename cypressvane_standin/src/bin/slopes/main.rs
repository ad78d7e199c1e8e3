//! Measures how the cost of control grows: with hosts, requests, servers, accounts and changes.
//!
//! Prints each measured point, the line through them and how far they lie off it. `docs/CAPACITY.md`
//! is worked out from what this prints.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod fit;
mod sizes;
mod watch;

use std::io;
use std::process::ExitCode;

use cypressvane::runtime;

/// Worker threads of the measuring process.
const THREADS: usize = 2;
/// Hosts that idle together.
const HOSTS: [usize; 4] = [4, 8, 16, 32];
/// Requests a second at each host.
const RATES: [u32; 3] = [10, 20, 40];
/// Backend servers in the host list.
const SERVERS: [usize; 4] = [22, 340, 1_000, 3_400];
/// Client accounts.
const ACCOUNTS: [usize; 4] = [5, 1_000, 10_000, 33_000];
/// Offers that wait in one pool.
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

/// Runs all parts, or those named on the command line.
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
    Ok(())
}
