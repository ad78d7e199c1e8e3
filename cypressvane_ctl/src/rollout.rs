//! `cypressvane rollout`: lists the orders to move a service's traffic to another version.

use cypressvane::dump::Rollout;
use cypressvane::platform::{Entry, Kind};
use http_types::Method;

use crate::error::Error;
use crate::operator::{Client, parse};
use crate::output::Output;

/// Path of the roll-outs on the listener for operators.
const PATH: &str = "/v1/rollouts";

/// Lists the roll-outs, each with the evidence from its coordinator.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let reply = client.call(Method::Get, PATH, "").await?;
    let mut list: Vec<Rollout> = parse(&reply)?;
    let hosts = client.hosts().await?;
    for rollout in &mut list {
        if rollout.evidence.is_none()
            && let Some(fetched) = fetch_from_coordinator(client, &hosts, rollout).await?
        {
            *rollout = fetched;
        }
    }
    output.print(&list, || text(&list))
}

/// Fetches the roll-out from its coordinator; `None` if the coordinator has no address or does not list it.
async fn fetch_from_coordinator(
    client: &Client,
    hosts: &[Entry],
    rollout: &Rollout,
) -> Result<Option<Rollout>, Error> {
    let is_coordinator =
        |entry: &&Entry| entry.kind == Kind::Entry && entry.name == rollout.coordinator;
    let Some(address) = hosts
        .iter()
        .find(is_coordinator)
        .and_then(|entry| entry.operators)
    else {
        return Ok(None);
    };
    let reply = client.call_at(address, Method::Get, PATH, "").await?;
    let list: Vec<Rollout> = parse(&reply)?;
    let is_same =
        |other: &Rollout| other.service == rollout.service && other.number == rollout.number;
    Ok(list.into_iter().find(is_same))
}

fn text(list: &[Rollout]) -> String {
    if list.is_empty() {
        return "no roll-out was ordered".to_owned();
    }
    let lines: Vec<String> = list.iter().map(line).collect();
    lines.join("\n")
}

fn line(rollout: &Rollout) -> String {
    let from = rollout.from.as_deref().unwrap_or("-");
    let mut line = format!(
        "{}  to {}  {}  serving {from}  decided by {}",
        rollout.service,
        rollout.to,
        rollout.stage.text(),
        rollout.coordinator,
    );
    if let Some(evidence) = &rollout.evidence {
        let summary = format!(
            "  phase {}  {} of {} requests allowed  {} answers  {} failures",
            evidence.phase, evidence.dealt, evidence.requests, evidence.answers, evidence.failures,
        );
        line.push_str(&summary);
        if !evidence.why.is_empty() {
            line.push_str("  ");
            line.push_str(&evidence.why);
        }
    }
    line
}
