//! `cypressvane config`: submits and shows the configuration.

use std::fs;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::fleet::Fleet;
use cypressvane::manifest::Record;
use cypressvane::policy;
use http_types::Method;
use serde::Serialize;
use smol::Timer;

use crate::cli::{Config, ConfigCommand, Submit};
use crate::error::Error;
use crate::operator::{Client, parse};
use crate::output::Output;

/// Interval between two requests for the hosts' states.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The result of a submission.
#[derive(Debug, Serialize)]
pub struct Outcome {
    version: u64,
    submission: String,
    /// Seconds from acceptance until every host reported the version in force.
    seconds: f64,
    hosts: usize,
}

impl Outcome {
    /// Returns the result as a line of text.
    pub fn text(&self) -> String {
        let Self {
            version,
            hosts,
            seconds,
            ..
        } = self;
        format!("version {version} is in force on {hosts} hosts after {seconds:.1} s")
    }
}

/// Runs a subcommand.
pub async fn run(client: &Client, config: Config, output: Output) -> Result<(), Error> {
    match config.command {
        Some(ConfigCommand::Submit(submit)) => run_submit(client, &submit, output).await,
        Some(ConfigCommand::Show(_)) => {
            let reply = client.call(Method::Get, "/v1/config", "").await?;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            let fleet =
                Fleet::parse(&text).map_err(|error| Error::Unexpected(error.to_string()))?;
            output.print(&fleet, || text)
        }
        Some(ConfigCommand::History(history)) => {
            let path = format!("/v1/config/history?last={}", history.last);
            let reply = client.call(Method::Get, &path, "").await?;
            let records: Vec<Record> = parse(&reply)?;
            output.print(&records, || history_text(&records))
        }
        None => Err(Error::Usage(
            "config: submit, show or history is needed".to_owned(),
        )),
    }
}

fn history_text(records: &[Record]) -> String {
    let line = |record: &Record| {
        format!(
            "{:>8}  {}  {}  {}",
            record.version, record.accepted_at, record.author, record.submission
        )
    };
    let lines: Vec<String> = records.iter().map(line).collect();
    format!(
        " version  accepted at (Unix)  author  submission\n{}",
        lines.join("\n")
    )
}

async fn run_submit(client: &Client, submit: &Submit, output: Output) -> Result<(), Error> {
    let path = &submit.file;
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.clone(),
        source,
    })?;
    check(submit, &text)?;
    let outcome = submit_text(client, &text, submit.base, submit.wait).await?;
    output.print(&outcome, || outcome.text())
}

/// Submits a configuration and waits until it is in force on every host, for at most `wait` seconds.
///
/// # Errors
/// If it is rejected, or is not in force everywhere in time.
pub async fn submit_text(
    client: &Client,
    text: &str,
    base: Option<u64>,
    wait: u64,
) -> Result<Outcome, Error> {
    let query = base.map_or_else(String::new, |base| format!("?base={base}"));
    let reply = client
        .call(Method::Post, &format!("/v1/config{query}"), text)
        .await?;
    let record: Record = parse(&reply)?;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(wait);
    let hosts = client.hosts().await?.len();
    loop {
        let behind = hosts_behind(client, record.version).await?;
        if behind.is_empty() {
            break;
        }
        if Instant::now() >= deadline {
            return Err(Error::NotEverywhere {
                version: record.version,
                hosts: behind,
            });
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(Outcome {
        version: record.version,
        submission: record.submission,
        seconds: started.elapsed().as_secs_f64(),
        hosts,
    })
}

/// Checks the configuration and its policies before anything is sent.
fn check(submit: &Submit, text: &str) -> Result<(), Error> {
    let wrong = |cause: String| Error::Document {
        path: submit.file.clone(),
        cause,
    };
    let fleet = Fleet::parse(text).map_err(|error| wrong(error.to_string()))?;
    policy::Programs::compile(&fleet).map_err(|error| wrong(error.to_string()))?;
    Ok(())
}

/// Returns the hosts that do not report `version` or a newer one.
async fn hosts_behind(client: &Client, version: u64) -> Result<Vec<String>, Error> {
    let mut behind = Vec::new();
    for entry in client.hosts().await? {
        let state = client.state(&entry).await;
        if !state.is_ok_and(|state| state.version >= version) {
            behind.push(entry.name.to_string());
        }
    }
    Ok(behind)
}
