//! `cypressvane evacuate`: data centres whose backend servers get no new requests.

use std::collections::BTreeMap;

use cypressvane::fleet::Fleet;
use cypressvane::name::Name;
use http_types::Method;
use serde::Serialize;

use crate::cli::{Evacuate, EvacuateCommand, EvacuationChange};
use crate::config;
use crate::error::Error;
use crate::operator::Client;
use crate::output::Output;

/// Header with the version of a configuration.
const VERSION_HEADER: &str = "cypressvane-version";

/// An evacuated data centre.
#[derive(Debug, Serialize)]
struct Evacuated {
    data_centre: Name,
    /// Hosts on which the evacuation is in force.
    hosts: usize,
    /// Hosts that were asked.
    asked: usize,
    /// Hosts that gave no answer.
    unanswered: usize,
}

/// Runs a subcommand.
pub async fn run(client: &Client, evacuate: Evacuate, output: Output) -> Result<(), Error> {
    match evacuate.command {
        None | Some(EvacuateCommand::List(_)) => list(client, output).await,
        Some(EvacuateCommand::Start(change)) => {
            submit(client, &change, output, |evacuated, name| {
                if !evacuated.contains(&name) {
                    evacuated.push(name);
                }
            })
            .await
        }
        Some(EvacuateCommand::End(change)) => {
            submit(client, &change, output, |evacuated, name| {
                evacuated.retain(|other| *other != name);
            })
            .await
        }
    }
}

/// Lists the evacuated data centres, each with the number of hosts on which that is in force.
async fn list(client: &Client, output: Output) -> Result<(), Error> {
    let hosts = client.hosts().await?;
    let mut in_force: BTreeMap<Name, usize> = BTreeMap::new();
    let mut unanswered = 0;
    for entry in &hosts {
        let Ok(state) = client.state(entry).await else {
            unanswered += 1;
            continue;
        };
        for data_centre in state.evacuated {
            *in_force.entry(data_centre).or_default() += 1;
        }
    }
    let evacuated = in_force.into_iter().map(|(data_centre, count)| Evacuated {
        data_centre,
        hosts: count,
        asked: hosts.len(),
        unanswered,
    });
    let evacuated: Vec<Evacuated> = evacuated.collect();
    output.print(&evacuated, || text(&evacuated))
}

fn text(evacuated: &[Evacuated]) -> String {
    if evacuated.is_empty() {
        return "no data centre is evacuated".to_owned();
    }
    let line = |evacuated: &Evacuated| {
        format!(
            "{}  in force on {} of {} hosts, {} of which gave no answer",
            evacuated.data_centre, evacuated.hosts, evacuated.asked, evacuated.unanswered
        )
    };
    let lines: Vec<String> = evacuated.iter().map(line).collect();
    lines.join("\n")
}

/// Submits the configuration in force with another list of evacuated data centres.
async fn submit(
    client: &Client,
    change: &EvacuationChange,
    output: Output,
    apply: impl FnOnce(&mut Vec<Name>, Name),
) -> Result<(), Error> {
    let reply = client.call(Method::Get, "/v1/config", "").await?;
    let unexpected = |cause: String| Error::Unexpected(cause);
    let version = reply.head.header(VERSION_HEADER);
    let version = version.and_then(|version| version.as_str().parse().ok());
    let text = String::from_utf8_lossy(&reply.body);
    let mut fleet = Fleet::parse(&text).map_err(|error| unexpected(error.to_string()))?;
    apply(&mut fleet.evacuated, change.data_centre.as_str().into());
    let text = toml::to_string(&fleet).map_err(|error| unexpected(error.to_string()))?;
    let outcome = config::submit_text(client, &text, version, change.wait).await?;
    output.print(&outcome, || outcome.text())
}
