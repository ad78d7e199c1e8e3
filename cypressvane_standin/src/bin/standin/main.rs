//! Runs one simulated service as a process; its first line of output is JSON with its listen address.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod cli;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cypressvane::runtime;
use cypressvane_standin::{engine, plain, platform, proxy};
use gumdrop::Options as _;
use serde_json::json;

use crate::cli::{Command, Options};

/// Number of worker threads.
const THREADS: usize = 1;
/// The exit code for a command line without a command.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    let Some(command) = options.command else {
        eprintln!("standin: a command is missing\n\n{}", Options::usage());
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    runtime::start(THREADS);
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts a service and runs it until the process ends; returns only on an error.
fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(engine) => {
            let settings = match engine.settings {
                Some(text) => serde_json::from_str(&text)?,
                None => engine::Settings::default(),
            };
            let handle = engine::bind(engine.listen, &engine.model, settings)?;
            serve(handle.address(), &handle)
        }
        Command::Plain(plain) => {
            let handle = plain::bind(plain.listen, Duration::from_millis(plain.delay_ms))?;
            serve(handle.address(), &handle)
        }
        Command::Platform(platform) => {
            let handle = platform::bind(platform.listen)?;
            serve(handle.address(), &handle)
        }
        Command::Proxy(proxy) => {
            let handle = proxy::bind(proxy.listen, proxy.target)?;
            serve(handle.address(), &handle)
        }
    }
}

/// Prints the listen address of a service and keeps the service running.
fn serve<T>(address: SocketAddr, _handle: &T) -> io::Result<()> {
    println!("{}", json!({ "address": address.to_string() }));
    smol::block_on(std::future::pending())
}
