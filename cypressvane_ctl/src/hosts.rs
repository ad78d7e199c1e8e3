//! `cypressvane status`, `dump` and `drain`: the hosts.

use cypressvane::dump::Dump;
use cypressvane::host::State;
use http_types::Method;
use serde::Serialize;

use crate::error::Error;
use crate::operator::{Operator, parse};
use crate::output::{Output, write_line};

/// A host as the operator sees it.
#[derive(Debug, Serialize)]
struct Line {
    host: String,
    /// `None` when it gave no answer.
    state: Option<State>,
    /// Why it gave none.
    cause: Option<String>,
}

/// Shows every host's state.
pub async fn status(operator: &Operator, output: Output) -> Result<(), Error> {
    let mut lines = Vec::new();
    for entry in operator.hosts().await? {
        let state = operator.state(&entry).await;
        let cause = state.as_ref().err().map(ToString::to_string);
        lines.push(Line {
            host: entry.name.to_string(),
            state: state.ok(),
            cause,
        });
    }
    lines.sort_by(|one, other| one.host.cmp(&other.host));
    output.print(&lines, || {
        let texts: Vec<String> = lines.iter().map(text).collect();
        texts.join("\n")
    })
}

fn text(line: &Line) -> String {
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

/// Shows a host's whole state.
pub async fn dump(operator: &Operator, host: &str) -> Result<(), Error> {
    let address = operator.find(host).await?;
    let reply = operator.call_at(address, Method::Get, "/dump", "").await?;
    let dump: Dump = parse(&reply)?;
    let text = serde_json::to_string_pretty(&dump)
        .map_err(|error| Error::Unexpected(error.to_string()))?;
    write_line(&text)
}

/// Lets a host leave.
pub async fn drain(operator: &Operator, host: &str, output: Output) -> Result<(), Error> {
    let address = operator.find(host).await?;
    let reply = operator
        .call_at(address, Method::Post, "/v1/drain", "")
        .await?;
    let state: State = parse(&reply)?;
    output.print(&state, || format!("{} is draining", state.host))
}
