//! Two ledgers, the callers' and the engines', and what must hold between them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use cypressvane::client;
use cypressvane::refusal::Ran;
use cypressvane::runtime::spawn;
use smol::Task;

use crate::caller::{Answer, Ask, ask};
use crate::fleet::Fleet;

/// What a caller asked and what came of it.
#[derive(Debug)]
pub struct Told {
    /// What it asked.
    pub ask: Ask,
    /// What came back; an error when the host itself was gone.
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

/// Waits for all answers.
pub async fn gather(tasks: Vec<Task<Told>>) -> Vec<Told> {
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await);
    }
    told
}

/// How often each request id, and each idempotency key, reached an engine.
#[derive(Debug, Default)]
pub struct Seen {
    /// By request id.
    pub ids: BTreeMap<String, u64>,
    /// By idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// Adds the ledgers of engines up.
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

/// Says what does not hold between the ledgers: requests or keys that reached engines twice,
/// refusals that say "not run" and are untrue, whole answers that are not the caller's own.
#[must_use]
pub fn violations(told: &[Told], seen: &Seen) -> Vec<String> {
    let mut found = Vec::new();
    for (id, count) in seen.ids.iter().filter(|(_, count)| **count != 1) {
        found.push(format!("request {id} reached engines {count} times"));
    }
    for (key, count) in seen.keys.iter().filter(|(_, count)| **count != 1) {
        found.push(format!("key {key} reached engines {count} times"));
    }
    for told in told {
        let Ok(answer) = &told.result else { continue };
        found.extend(violation(told, answer, seen));
    }
    found
}

fn violation(told: &Told, answer: &Answer, seen: &Seen) -> Option<String> {
    if let Some(error) = &answer.error {
        let untrue = error.ran == Ran::No && seen.ids.contains_key(&error.request_id);
        return untrue.then(|| format!("{error:?} is untrue"));
    }
    if !answer.whole {
        return None;
    }
    if answer.text != told.ask.expected() {
        return Some(format!("{} is not its own answer", answer.request_id));
    }
    let answered = seen.ids.contains_key(&answer.request_id);
    (!answered).then(|| format!("{} was answered by nobody", answer.request_id))
}

/// Number of whole answers.
#[must_use]
pub fn whole(told: &[Told]) -> usize {
    let is_whole = |told: &&Told| told.result.as_ref().is_ok_and(|answer| answer.whole);
    told.iter().filter(is_whole).count()
}

/// Number of answers whose error says so of having run.
#[must_use]
pub fn ran(told: &[Told], ran: Ran) -> usize {
    let errors = told
        .iter()
        .filter_map(|told| told.result.as_ref().ok()?.error.as_ref());
    errors.filter(|error| error.ran == ran).count()
}
