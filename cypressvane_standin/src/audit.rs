//! Compares what callers sent and received with the ledgers of the engines.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use cypressvane::client;
use cypressvane::refusal::Ran;
use cypressvane::runtime::spawn;
use smol::Task;

use crate::caller::{Answer, CompletionRequest, complete};
use crate::fleet::Fleet;

/// A request of a caller and its result.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: CompletionRequest,
    /// The answer; an error when the host could not be reached or sent no head of an answer.
    pub result: Result<Answer, client::Error>,
}

/// Sends a request in the background.
pub fn send(address: SocketAddr, completion: CompletionRequest) -> Task<Call> {
    spawn(async move {
        let result = complete(address, &completion).await;
        Call {
            request: completion,
            result,
        }
    })
}

/// Waits for the results of all requests.
pub async fn join_all(tasks: Vec<Task<Call>>) -> Vec<Call> {
    let mut calls = Vec::new();
    for task in tasks {
        calls.push(task.await);
    }
    calls
}

/// How often each request id and each idempotency key reached an engine.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Counts by request id.
    pub ids: BTreeMap<String, u64>,
    /// Counts by idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// Sums the counts of the ledgers of `engines`.
///
/// # Errors
/// When an engine does not answer.
pub async fn count_arrivals(fleet: &Fleet, engines: &[usize]) -> io::Result<Arrivals> {
    let mut arrivals = Arrivals::default();
    for engine in engines {
        let ledger = fleet.ledger(*engine).await?;
        for (id, count) in ledger.seen {
            *arrivals.ids.entry(id).or_default() += count;
        }
        for (key, count) in ledger.keys {
            *arrivals.keys.entry(key).or_default() += count;
        }
    }
    Ok(arrivals)
}

/// Lists the violations: request ids or keys that reached engines more than once, errors that claim
/// "not run" although the request reached an engine, and whole answers with the wrong text or to
/// requests that reached no engine.
#[must_use]
pub fn violations(calls: &[Call], arrivals: &Arrivals) -> Vec<String> {
    let mut violations = Vec::new();
    for (id, count) in arrivals.ids.iter().filter(|(_, count)| **count != 1) {
        violations.push(format!("request {id} reached engines {count} times"));
    }
    for (key, count) in arrivals.keys.iter().filter(|(_, count)| **count != 1) {
        violations.push(format!("key {key} reached engines {count} times"));
    }
    for call in calls {
        let Ok(answer) = &call.result else { continue };
        violations.extend(violation(call, answer, arrivals));
    }
    violations
}

fn violation(call: &Call, answer: &Answer, arrivals: &Arrivals) -> Option<String> {
    if let Some(error) = &answer.error {
        let contradicted = error.ran == Ran::No && arrivals.ids.contains_key(&error.request_id);
        return contradicted.then(|| format!("{error:?}, but the request reached an engine"));
    }
    if !answer.whole {
        return None;
    }
    if answer.text != call.request.expected() {
        return Some(format!(
            "request {} got an answer with the wrong text",
            answer.request_id
        ));
    }
    let reached = arrivals.ids.contains_key(&answer.request_id);
    (!reached).then(|| {
        format!(
            "request {} was answered but reached no engine",
            answer.request_id
        )
    })
}

/// Number of whole answers.
#[must_use]
pub fn count_whole(calls: &[Call]) -> usize {
    let is_whole = |call: &&Call| call.result.as_ref().is_ok_and(|answer| answer.whole);
    calls.iter().filter(is_whole).count()
}

/// Number of answers whose error states `ran`.
#[must_use]
pub fn count_errors(calls: &[Call], ran: Ran) -> usize {
    let errors = calls
        .iter()
        .filter_map(|call| call.result.as_ref().ok()?.error.as_ref());
    errors.filter(|error| error.ran == ran).count()
}
