//! `cypressvane servers`: shows how fast each backend server is, as learned and as it states.

use std::fmt::Write as _;

use cypressvane::dump::{Server, StatedPace};
use serde::Serialize;

use crate::error::Error;
use crate::homes::{Homes, silent_texts};
use crate::operator::Client;
use crate::output::Output;

/// A backend server with what the home of its pool knows of its speed.
#[derive(Debug, Serialize)]
struct ListedServer {
    service: String,
    server: String,
    state: String,
    slots: u32,
    running: u64,
    /// Number of requests that it may be granted beyond its slots.
    further: u32,
    /// Mean running time of its plain calls, in milliseconds; `None` if none was observed.
    call_ms: Option<u64>,
    /// Learned ratio of that time to the usual one of the pool, in percent.
    learned_pace: Option<u32>,
    /// The pace that it states, with its age and its weight in forecasts.
    stated_pace: Option<StatedPace>,
}

/// The result of the command.
#[derive(Debug, Serialize)]
struct Listing {
    servers: Vec<ListedServer>,
    /// Hosts that gave no answer, each with the error.
    silent: Vec<(String, String)>,
}

/// Lists all backend servers with their speed.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let homes = Homes::read(client).await?;
    let mut servers = Vec::new();
    for (_, pool) in homes.pools {
        let service = pool.service.to_string();
        let servers_of_pool = pool.servers.into_iter();
        servers.extend(servers_of_pool.map(|server| listed(&service, server)));
    }
    servers.sort_by(|a, b| (&a.service, &a.server).cmp(&(&b.service, &b.server)));
    let listing = Listing {
        servers,
        silent: homes.silent,
    };
    output.print(&listing, || text(&listing))
}

fn listed(service: &str, server: Server) -> ListedServer {
    ListedServer {
        service: service.to_owned(),
        server: server.name.to_string(),
        state: server.state,
        slots: server.slots,
        running: server.running,
        further: server.further,
        call_ms: server.call_ms,
        learned_pace: server.learned_pace,
        stated_pace: server.stated_pace,
    }
}

fn text(listing: &Listing) -> String {
    let servers = listing.servers.iter().map(server_text);
    let texts: Vec<_> = servers.chain(silent_texts(&listing.silent)).collect();
    texts.join("\n")
}

fn server_text(server: &ListedServer) -> String {
    let mut text = format!(
        "{}  {}  {}  {} of {} slots taken  {} further",
        server.service, server.server, server.state, server.running, server.slots, server.further,
    );
    // Writing to a `String` cannot fail.
    if let Some(call_ms) = server.call_ms {
        let _ = write!(text, "  calls run for {call_ms} ms");
    }
    if let Some(pace) = server.learned_pace {
        let _ = write!(text, "  learned pace {pace}");
    }
    if let Some(stated) = &server.stated_pace {
        let _ = write!(
            text,
            "  stated pace {}, {} ms old, weight {:.2}",
            stated.pace, stated.age_ms, stated.weight
        );
    }
    text
}
