//! `cypressvane engines`: the backend servers as the homes of their pools see them.

use std::time::Duration;

use cypressvane::dump::{Dump, Limit, Server};
use serde::Serialize;

use crate::error::Error;
use crate::operator::Operator;
use crate::output::Output;

/// A backend server and the home that it is of.
#[derive(Debug, Serialize)]
struct Line {
    service: String,
    home: String,
    #[serde(flatten)]
    server: Server,
}

/// What was found out.
#[derive(Debug, Serialize)]
struct Listing {
    servers: Vec<Line>,
    /// Hosts that gave no answer, each with the cause.
    silent: Vec<(String, String)>,
}

/// Lists all backend servers with their state, load and limit.
pub async fn run(operator: &Operator, output: Output) -> Result<(), Error> {
    let mut listing = Listing {
        servers: Vec::new(),
        silent: Vec::new(),
    };
    for entry in operator.hosts().await? {
        match operator.dump(&entry).await {
            Ok(dump) => listing.servers.extend(lines(dump)),
            Err(error) => listing
                .silent
                .push((entry.name.to_string(), error.to_string())),
        }
    }
    listing.servers.sort_by(|one, other| {
        (&one.service, &one.server.name).cmp(&(&other.service, &other.server.name))
    });
    output.print(&listing, || text(&listing))
}

/// The servers of the pools whose home a host is.
fn lines(dump: Dump) -> Vec<Line> {
    let host = dump.host.to_string();
    let pools = dump.pools.into_iter().filter(|pool| pool.home);
    let servers = pools.flat_map(|pool| {
        let service = pool.service.to_string();
        pool.servers
            .into_iter()
            .map(move |server| (service.clone(), server))
    });
    let line = |(service, server)| Line {
        service,
        home: host.clone(),
        server,
    };
    servers.map(line).collect()
}

fn text(listing: &Listing) -> String {
    let servers = listing.servers.iter().map(server_text);
    let silent = listing
        .silent
        .iter()
        .map(|(host, cause)| format!("{host}  {cause}"));
    servers.chain(silent).collect::<Vec<_>>().join("\n")
}

fn server_text(line: &Line) -> String {
    let server = &line.server;
    let mut text = format!(
        "{}  {}  {} for {} s  {} of {} places taken  home {}",
        line.service,
        server.name,
        server.state,
        Duration::from_millis(server.since_ms).as_secs(),
        server.running,
        server.slots,
        line.home,
    );
    if let Some(limit) = &server.limit {
        text.push_str(&limit_text(limit));
    }
    text
}

fn limit_text(limit: &Limit) -> String {
    format!(
        "  limit {} requests a second, heard by {}, limited for {} s",
        limit.per_second,
        limit.heard_by,
        Duration::from_millis(limit.since_ms).as_secs(),
    )
}
