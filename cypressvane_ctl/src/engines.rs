//! `cypressvane engines`: lists the backend servers as known to the homes of their pools.

use std::fmt::Write as _;
use std::time::Duration;

use cypressvane::dump::{Limit, Server};
use serde::Serialize;

use crate::error::Error;
use crate::homes::{Homes, silent_texts};
use crate::operator::Client;
use crate::output::Output;

/// A backend server with the home of its pool.
#[derive(Debug, Serialize)]
struct ListedServer {
    service: String,
    home: String,
    #[serde(flatten)]
    server: Server,
}

/// The result of the command.
#[derive(Debug, Serialize)]
struct Listing {
    servers: Vec<ListedServer>,
    /// Hosts that gave no answer, each with the error.
    silent: Vec<(String, String)>,
}

/// Lists all backend servers with their state, load and rate limit.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let homes = Homes::read(client).await?;
    let mut servers = Vec::new();
    for (home, pool) in homes.pools {
        let service = pool.service;
        let listed = |server| ListedServer {
            service: service.to_string(),
            home: home.clone(),
            server,
        };
        servers.extend(pool.servers.into_iter().map(listed));
    }
    servers.sort_by(|a, b| (&a.service, &a.server.name).cmp(&(&b.service, &b.server.name)));
    let listing = Listing {
        servers,
        silent: homes.silent,
    };
    output.print(&listing, || text(&listing))
}

fn text(listing: &Listing) -> String {
    let servers = listing.servers.iter().map(server_text);
    let texts: Vec<_> = servers.chain(silent_texts(&listing.silent)).collect();
    texts.join("\n")
}

fn server_text(listed: &ListedServer) -> String {
    let server = &listed.server;
    let mut text = format!(
        "{}  {}  {} for {} s  {} of {} places taken  home {}",
        listed.service,
        server.name,
        server.state,
        Duration::from_millis(server.since_ms).as_secs(),
        server.running,
        server.slots,
        listed.home,
    );
    if let Some(version) = &server.version {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "  version {version}");
    }
    if let Some(host) = &server.heard_by {
        let _ = write!(text, "  as it states, heard by {host}");
    }
    if let Some(silent_ms) = server.silent_ms {
        let _ = write!(text, "  heard by no host for {silent_ms} ms");
    }
    if let Some(rest_ms) = server.rest_ms {
        let _ = write!(text, "  rests for another {rest_ms} ms");
    }
    if let Some(tolerance) = server.brittle {
        let _ = write!(text, "  brittle: can turn away {tolerance} a second");
    }
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
