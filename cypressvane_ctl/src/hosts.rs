//! `cypressvane status`, `dump` and `drain`: shows and drains hosts.

use std::collections::BTreeMap;

use cypressvane::dump::{Dump, Version};
use cypressvane::host::State;
use http_types::Method;
use serde::Serialize;

use crate::error::Error;
use crate::operator::{Client, parse};
use crate::output::{Output, write_line};

/// A host with its state.
#[derive(Debug, Serialize)]
struct HostStatus {
    host: String,
    /// The state; `None` if the host gave no answer.
    state: Option<State>,
    /// The error if the host gave no answer.
    cause: Option<String>,
}

/// Shows every host's state, and the software versions of each service.
pub async fn status(client: &Client, output: Output) -> Result<(), Error> {
    let mut lines = Vec::new();
    for entry in client.hosts().await? {
        let state = client.state(&entry).await;
        let cause = state.as_ref().err().map(ToString::to_string);
        lines.push(HostStatus {
            host: entry.name.to_string(),
            state: state.ok(),
            cause,
        });
    }
    lines.sort_by(|a, b| a.host.cmp(&b.host));
    output.print(&lines, || {
        let mut texts: Vec<String> = lines.iter().map(text).collect();
        let states = lines.iter().filter_map(|line| line.state.as_ref());
        texts.extend(version_texts(states.flat_map(|state| &state.versions)));
        texts.join("\n")
    })
}

fn text(line: &HostStatus) -> String {
    let Some(state) = &line.state else {
        return format!(
            "{}  {}",
            line.host,
            line.cause.as_deref().unwrap_or("no answer")
        );
    };
    let what = match (state.draining, state.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    format!("{}  {what}  version {}", line.host, state.version)
}

/// Describes the versions of each service, whose parts may have several homes.
fn version_texts<'a>(versions: impl Iterator<Item = &'a Version>) -> Vec<String> {
    let mut totals: BTreeMap<_, Version> = BTreeMap::new();
    let mut places: BTreeMap<_, u64> = BTreeMap::new();
    for part in versions {
        *places.entry(&part.service).or_default() += part.places;
        totals
            .entry((&part.service, &part.version))
            .and_modify(|total| {
                total.servers += part.servers;
                total.live += part.live;
                total.places += part.places;
                total.taken += part.taken;
            })
            .or_insert_with(|| part.clone());
    }
    let text = |total: &Version| {
        let all = places.get(&total.service).copied().unwrap_or_default();
        format!(
            "{}  version {}  {} of {} servers live  {} of {} places taken  {} % of the service's places",
            total.service,
            total.version.as_deref().unwrap_or("-"),
            total.live,
            total.servers,
            total.taken,
            total.places,
            total.places * 100 / all.max(1),
        )
    };
    totals.values().map(text).collect()
}

/// Shows the full state of a host.
pub async fn dump(client: &Client, host: &str) -> Result<(), Error> {
    let address = client.operators_address(host).await?;
    let reply = client.call_at(address, Method::Get, "/dump", "").await?;
    let dump: Dump = parse(&reply)?;
    let text = serde_json::to_string_pretty(&dump)
        .map_err(|error| Error::Unexpected(error.to_string()))?;
    write_line(&text)
}

/// Orders a host to drain.
pub async fn drain(client: &Client, host: &str, output: Output) -> Result<(), Error> {
    let address = client.operators_address(host).await?;
    let reply = client
        .call_at(address, Method::Post, "/v1/drain", "")
        .await?;
    let state: State = parse(&reply)?;
    output.print(&state, || format!("{} is draining", state.host))
}
