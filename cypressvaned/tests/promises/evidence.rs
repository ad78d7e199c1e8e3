//! Two ledgers, the callers' and the engines', and what must hold between them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use cypressvane::client;
use cypressvane::refusal::Ran;
use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{Answer, Ask, ask};
use cypressvane_standin::fleet::Fleet;
use smol::Task;

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

/// Checks every answer against the engines' ledgers.
///
/// # Panics
/// When a request or key reached engines twice, a refusal that says "not run" is untrue, or an
/// answer that ended whole is not the caller's own.
pub fn check(name: &str, told: &[Told], seen: &Seen) {
    check_ledgers(name, told, seen);
    for answer in told.iter().filter_map(|told| told.result.as_ref().ok()) {
        assert!(
            answer.whole || answer.error.is_some(),
            "{name}: neither answer nor reason"
        );
    }
}

/// The same where the callers' host may have died, so that nobody was left to give a reason.
///
/// # Panics
/// As `check`, but for answers that broke off without a reason.
pub fn check_ledgers(name: &str, told: &[Told], seen: &Seen) {
    for (id, count) in &seen.ids {
        assert_eq!(
            *count, 1,
            "{name}: request {id} reached engines {count} times"
        );
    }
    for (key, count) in &seen.keys {
        assert_eq!(*count, 1, "{name}: key {key} reached engines {count} times");
    }
    for told in told {
        let Ok(answer) = &told.result else { continue };
        if let Some(error) = &answer.error
            && error.ran == Ran::No
        {
            let ran = seen.ids.contains_key(&error.request_id);
            assert!(!ran, "{name}: {error:?} is untrue");
        }
        if answer.whole {
            assert_eq!(
                answer.text,
                told.ask.expected(),
                "{name}: not its own answer"
            );
            assert!(
                seen.ids.contains_key(&answer.request_id),
                "{name}: answered by nobody"
            );
        }
    }
}

/// Number of whole answers.
pub fn whole(told: &[Told]) -> usize {
    let is_whole = |told: &&Told| told.result.as_ref().is_ok_and(|answer| answer.whole);
    told.iter().filter(is_whole).count()
}

/// Number of answers whose error says so of having run.
pub fn ran(told: &[Told], ran: Ran) -> usize {
    let errors = told
        .iter()
        .filter_map(|told| told.result.as_ref().ok()?.error.as_ref());
    errors.filter(|error| error.ran == ran).count()
}
