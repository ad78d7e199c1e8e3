//! `cypressvane quarantine`: requests under which backend servers ended.

use std::time::Duration;

use cypressvane::dump::Quarantined;
use cypressvane::fingerprint::Fingerprint;
use http_types::Method;

use crate::cli::{Quarantine, QuarantineCommand};
use crate::error::Error;
use crate::operator::{Operator, parse};
use crate::output::Output;

/// Where hosts tell of them.
const PATH: &str = "/v1/quarantine";

/// Runs a subcommand.
pub async fn run(operator: &Operator, what: Quarantine, output: Output) -> Result<(), Error> {
    let (method, path) = match what.command {
        None | Some(QuarantineCommand::List(_)) => (Method::Get, PATH.to_owned()),
        Some(QuarantineCommand::Release(release)) => {
            let fingerprint = fingerprint(&release.fingerprint)?;
            (Method::Delete, format!("{PATH}/{fingerprint}"))
        }
    };
    let reply = operator.call(method, &path, "").await?;
    let list: Vec<Quarantined> = parse(&reply)?;
    output.print(&list, || text(&list))
}

fn fingerprint(text: &str) -> Result<Fingerprint, Error> {
    let wrong = || {
        Error::Usage(format!(
            "a fingerprint: {text:?} found, 32 hexadecimal digits allowed"
        ))
    };
    Fingerprint::parse(text).ok_or_else(wrong)
}

fn text(list: &[Quarantined]) -> String {
    if list.is_empty() {
        return "no request is kept from the backend servers, and none is a suspect".to_owned();
    }
    let lines: Vec<String> = list.iter().map(line).collect();
    lines.join("\n")
}

fn line(one: &Quarantined) -> String {
    let state = if one.kept { "kept back" } else { "suspect" };
    let account = one.account.as_deref().unwrap_or("-");
    let seconds = Duration::from_millis(one.since_ms).as_secs();
    format!(
        "{}  {state}  for {seconds} s  account {account}  path {}  servers {}",
        one.fingerprint,
        one.path,
        one.servers.join(", ")
    )
}
