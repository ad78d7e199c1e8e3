//! The operators' command-line tool.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod cli;
mod config;
mod engine;
mod engines;
mod error;
mod evacuate;
mod explain;
mod homes;
mod hosts;
mod logs;
mod operator;
mod output;
mod policy;
mod profile;
mod quarantine;
mod rollout;
mod servers;
mod shares;

use std::process::ExitCode;

use cypressvane::runtime;
use gumdrop::Options as _;

use crate::cli::{Command, Options};
use crate::error::Error;
use crate::operator::Client;
use crate::output::Output;

/// Number of worker threads; a command waits for only a few answers at a time.
const THREADS: usize = 1;

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cypressvane: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(options: Options) -> Result<(), Error> {
    if options.version {
        println!("cypressvane {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let output = Output::new(options.output);
    let Some(command) = options.command else {
        let commands = Options::command_list().unwrap_or_default();
        return Err(Error::Usage(format!(
            "a command is missing; there are:\n{commands}"
        )));
    };
    if let Command::Policy(policy) = &command {
        return policy::run(policy, output);
    }
    if let Command::Explain(explain) = &command {
        return explain::run(explain, output);
    }
    if let Command::Profile(profile) = &command {
        return profile::run(profile, output);
    }
    let client = Client::new(options.host, options.key)?;
    runtime::start(THREADS);
    smol::block_on(async {
        match command {
            Command::Config(config) => config::run(&client, config, output).await,
            Command::Status(_) => hosts::status(&client, output).await,
            Command::Dump(dump) => hosts::dump(&client, &dump.host).await,
            Command::Drain(drain) => hosts::drain(&client, &drain.host, output).await,
            Command::Engine(engine) => engine::run(&client, engine, output).await,
            Command::Engines(_) => engines::run(&client, output).await,
            Command::Servers(_) => servers::run(&client, output).await,
            Command::Shares(_) => shares::run(&client, output).await,
            Command::Quarantine(quarantine) => quarantine::run(&client, quarantine, output).await,
            Command::Evacuate(evacuate) => evacuate::run(&client, evacuate, output).await,
            Command::Rollout(_) => rollout::run(&client, output).await,
            Command::Policy(_) | Command::Explain(_) | Command::Profile(_) => Ok(()),
        }
    })
}
