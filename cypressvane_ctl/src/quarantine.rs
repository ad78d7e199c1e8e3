//! `cypressvane quarantine`: requests during which backend servers ended.

use std::time::Duration;

use cypressvane::dump::Quarantined;
use cypressvane::fingerprint::Fingerprint;
use http_types::Method;

use crate::cli::{Quarantine, QuarantineCommand};
use crate::error::Error;
use crate::operator::{Client, parse};
use crate::output::Output;

/// Path of the quarantine on the listener for operators.
const PATH: &str = "/v1/quarantine";

/// Runs a subcommand.
pub async fn run(client: &Client, quarantine: Quarantine, output: Output) -> Result<(), Error> {
    let (method, path) = match quarantine.command {
        None | Some(QuarantineCommand::List(_)) => (Method::Get, PATH.to_owned()),
        Some(QuarantineCommand::Release(release)) => {
            let fingerprint = fingerprint(&release.fingerprint)?;
            (Method::Delete, format!("{PATH}/{fingerprint}"))
        }
    };
    let reply = client.call(method, &path, "").await?;
    let list: Vec<Quarantined> = parse(&reply)?;
    output.print(&list, || text(&list))
}

fn fingerprint(text: &str) -> Result<Fingerprint, Error> {
    let invalid = || {
        Error::Usage(format!(
            "a fingerprint: {text:?} found, 32 hexadecimal digits allowed"
        ))
    };
    Fingerprint::parse(text).ok_or_else(invalid)
}

fn text(list: &[Quarantined]) -> String {
    if list.is_empty() {
        return "no request is kept from the backend servers, and none is a suspect".to_owned();
    }
    let lines: Vec<String> = list.iter().map(line).collect();
    lines.join("\n")
}

fn line(request: &Quarantined) -> String {
    let state = if request.kept { "kept back" } else { "suspect" };
    let account = request.account.as_deref().unwrap_or("-");
    let part = request
        .part
        .as_deref()
        .map_or_else(String::new, |part| format!("  part {part}"));
    let along_with = if request.along_with.is_empty() {
        String::new()
    } else {
        format!("  along with {}", request.along_with.join(", "))
    };
    let ends = request
        .ends
        .map_or_else(String::new, |ends| format!("  ends {ends}"));
    let seconds = Duration::from_millis(request.since_ms).as_secs();
    format!(
        "{}  {state}  for {seconds} s{part}{along_with}{ends}  account {account}  path {}  servers {}",
        request.fingerprint,
        request.path,
        request.servers.join(", ")
    )
}
