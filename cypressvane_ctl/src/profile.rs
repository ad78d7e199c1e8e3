//! `cypressvane profile`: summarizes from log files where answered requests spent their time.

mod plot;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;
use serde_json::Value;

use crate::cli::Profile as Options;
use crate::error::Error;
use crate::logs::{self, Fields};
use crate::output::Output;

/// Message of the log line at the end of a request.
const REQUEST_MESSAGE: &str = "request";
/// Outcome of a request that was answered.
const ANSWERED: &str = "answered";
/// The parts of a request's duration, in order, each with the log field that holds its end, in
/// milliseconds since the request arrived.
const PARTS: [(&str, &str); 5] = [
    ("read and admitted", "admitted_ms"),
    ("waiting for a grant", "waited_ms"),
    ("connecting", "connected_ms"),
    ("until the first answer", "first_ms"),
    ("the rest of the answer", "ms"),
];

/// The durations of the answered requests of one service.
#[derive(Debug, Serialize)]
struct Profile {
    requests: usize,
    parts: Vec<Part>,
}

/// The durations of one part, in milliseconds.
#[derive(Debug, Serialize)]
struct Part {
    name: &'static str,
    mean: f64,
    p50: u64,
    p95: u64,
    p99: u64,
}

/// Reads the files, prints the table, and draws the chart if one is requested.
pub fn run(options: &Options, output: Output) -> Result<(), Error> {
    if options.files.is_empty() {
        let message = "a log file is missing: profile FILE...".to_owned();
        return Err(Error::Usage(message));
    }
    let mut durations: BTreeMap<String, Vec<[u64; PARTS.len()]>> = BTreeMap::new();
    for path in &options.files {
        logs::read(path, |fields| {
            if let Some((service, parts)) = fields.as_ref().and_then(parts) {
                durations.entry(service).or_default().push(parts);
            }
        })?;
    }
    if durations.is_empty() {
        let message = "no line of these files tells of an answered request".to_owned();
        return Err(Error::Unexpected(message));
    }
    let profiles: BTreeMap<String, Profile> = durations
        .into_iter()
        .map(|(service, requests)| (service, summarize(&requests)))
        .collect();
    if let Some(path) = &options.plot {
        plot::draw(path, &profiles)?;
    }
    output.print(&profiles, || text(&profiles))
}

/// Returns the service of an answered request and the duration of each part, in milliseconds.
fn parts(fields: &Fields) -> Option<(String, [u64; PARTS.len()])> {
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    if text("msg") != Some(REQUEST_MESSAGE) || text("outcome") != Some(ANSWERED) {
        return None;
    }
    let mut parts = [0; PARTS.len()];
    let mut previous_end = 0;
    for (part, (_, name)) in parts.iter_mut().zip(PARTS) {
        let end = fields.get(name).and_then(Value::as_u64)?;
        // After a retry, the first answer can be older than the last grant, since it came from another server.
        *part = end.saturating_sub(previous_end);
        previous_end = end.max(previous_end);
    }
    Some((text("service")?.to_owned(), parts))
}

fn summarize(requests: &[[u64; PARTS.len()]]) -> Profile {
    let part = |index: usize| {
        let mut times: Vec<u64> = requests.iter().map(|parts| parts[index]).collect();
        times.sort_unstable();
        let at = |percent: usize| times[(times.len() - 1) * percent / 100];
        #[expect(
            clippy::cast_precision_loss,
            reason = "milliseconds of requests are far below 2^52"
        )]
        let mean = times.iter().sum::<u64>() as f64 / times.len() as f64;
        Part {
            name: PARTS[index].0,
            mean,
            p50: at(50),
            p95: at(95),
            p99: at(99),
        }
    };
    Profile {
        requests: requests.len(),
        parts: (0..PARTS.len()).map(part).collect(),
    }
}

fn text(profiles: &BTreeMap<String, Profile>) -> String {
    let mut text = String::new();
    for (service, profile) in profiles {
        let _ = writeln!(
            text,
            "{service}: {} answered requests, in ms",
            profile.requests
        );
        let _ = writeln!(
            text,
            "  {:24}{:>9}{:>8}{:>8}{:>8}",
            "", "mean", "p50", "p95", "p99"
        );
        for part in &profile.parts {
            let _ = writeln!(
                text,
                "  {:24}{:>9.1}{:>8}{:>8}{:>8}",
                part.name, part.mean, part.p50, part.p95, part.p99
            );
        }
    }
    text.truncate(text.trim_end().len());
    text
}
