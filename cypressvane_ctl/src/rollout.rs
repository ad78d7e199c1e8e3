//! `cypressvane rollout`: orders to move services' traffic to other versions.

use cypressvane::dump::Rollout;
use cypressvane::platform::{Entry, Kind};
use http_types::Method;

use crate::error::Error;
use crate::operator::{Operator, parse};
use crate::output::Output;

/// Where hosts tell of them.
const PATH: &str = "/v1/rollouts";

/// Lists them, each with the evidence that its coordinator has.
pub async fn run(operator: &Operator, output: Output) -> Result<(), Error> {
    let reply = operator.call(Method::Get, PATH, "").await?;
    let mut list: Vec<Rollout> = parse(&reply)?;
    let hosts = operator.hosts().await?;
    for rollout in &mut list {
        if rollout.evidence.is_none()
            && let Some(told) = told_by_coordinator(operator, &hosts, rollout).await?
        {
            *rollout = told;
        }
    }
    output.print(&list, || text(&list))
}

/// The same roll-out as the host tells of it that decides on it.
async fn told_by_coordinator(
    operator: &Operator,
    hosts: &[Entry],
    rollout: &Rollout,
) -> Result<Option<Rollout>, Error> {
    let is_it = |entry: &&Entry| entry.kind == Kind::Entry && entry.name == rollout.coordinator;
    let Some(address) = hosts.iter().find(is_it).and_then(|entry| entry.operators) else {
        return Ok(None);
    };
    let reply = operator.call_at(address, Method::Get, PATH, "").await?;
    let list: Vec<Rollout> = parse(&reply)?;
    let same = |told: &Rollout| told.service == rollout.service && told.number == rollout.number;
    Ok(list.into_iter().find(same))
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
        let told = format!(
            "  phase {}  {} of {} requests allowed  {} answers  {} failures",
            evidence.phase, evidence.dealt, evidence.requests, evidence.answers, evidence.failures,
        );
        line.push_str(&told);
        if !evidence.why.is_empty() {
            line.push_str("  ");
            line.push_str(&evidence.why);
        }
    }
    line
}
