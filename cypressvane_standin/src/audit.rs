//! Compares what callers sent and received with the ledgers of the engines.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use cypressvane::client;
use cypressvane::refusal::Ran;
use cypressvane::runtime::spawn;
use smol::Task;

use crate::caller::{Answer, Ask, ask};
use crate::fleet::Fleet;

/// A request of a caller and its result.
#[derive(Debug)]
pub struct Told {
    /// The request.
    pub ask: Ask,
    /// The answer; an error when the host could not be reached or sent no head of an answer.
    pub result: Result<Answer, client::Error>,
}

/// Sends a request in the background.
pub fn send(address: SocketAddr, request: Ask) -> Task<Told> {
    spawn(async move {
        let result = ask(address, &request).await;
        Told {
            ask: request,
            result,
        }
    })
}

/// Waits for the results of all requests.
pub async fn gather(tasks: Vec<Task<Told>>) -> Vec<Told> {
    let mut calls = Vec::new();
    for task in tasks {
        calls.push(task.await);
    }
    calls
}

/// How often each request id and each idempotency key reached an engine.
#[derive(Debug, Default)]
pub struct Seen {
    /// Counts by request id.
    pub ids: BTreeMap<String, u64>,
    /// Counts by idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// Sums the counts of the ledgers of `engines`.
///
/// # Errors
/// When an engine does not answer.
pub async fn seen(fleet: &Fleet, engines: &[usize]) -> io::Result<Seen> {
    let mut seen = Seen::default();
    for engine in engines {
        let ledger = fleet.ledger(*engine).await?;
        for (id, count) in ledger.seen {
            *seen.ids.entry(id).or_default() += count;
        }
        for (key, count) in ledger.keys {
            *seen.keys.entry(key).or_default() += count;
        }
    }
    Ok(seen)
}

/// Lists the violations: request ids or keys that reached engines more than once, errors that claim
/// "not run" although the request reached an engine, and whole answers with the wrong text or to
/// requests that reached no engine.
#[must_use]
pub fn violations(calls: &[Told], seen: &Seen) -> Vec<String> {
    let mut violations = Vec::new();
    for (id, count) in seen.ids.iter().filter(|(_, count)| **count != 1) {
        violations.push(format!("request {id} reached engines {count} times"));
    }
    for (key, count) in seen.keys.iter().filter(|(_, count)| **count != 1) {
        violations.push(format!("key {key} reached engines {count} times"));
    }
    for call in calls {
        let Ok(answer) = &call.result else { continue };
        violations.extend(violation(call, answer, seen));
    }
    violations
}

fn violation(call: &Told, answer: &Answer, seen: &Seen) -> Option<String> {
    if let Some(error) = &answer.error {
        let contradicted = error.ran == Ran::No && seen.ids.contains_key(&error.request_id);
        return contradicted.then(|| format!("{error:?}, but the request reached an engine"));
    }
    if !answer.whole {
        return None;
    }
    if answer.text != call.ask.expected() {
        return Some(format!(
            "request {} got an answer with the wrong text",
            answer.request_id
        ));
    }
    let reached = seen.ids.contains_key(&answer.request_id);
    (!reached).then(|| {
        format!(
            "request {} was answered but reached no engine",
            answer.request_id
        )
    })
}

/// Number of whole answers.
#[must_use]
pub fn whole(calls: &[Told]) -> usize {
    let is_whole = |call: &&Told| call.result.as_ref().is_ok_and(|answer| answer.whole);
    calls.iter().filter(is_whole).count()
}

/// Number of answers whose error states `ran`.
#[must_use]
pub fn ran(calls: &[Told], ran: Ran) -> usize {
    let errors = calls
        .iter()
        .filter_map(|call| call.result.as_ref().ok()?.error.as_ref());
    errors.filter(|error| error.ran == ran).count()
}
