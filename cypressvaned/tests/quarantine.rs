//! Tests that a completion during which engines keep ending is quarantined on every host.

mod common;

use std::io;

use cypressvane_standin::caller::{Answer, CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use futures_lite::future;

/// Number of engines that end during the request until it is quarantined.
const ENDS_MAX: usize = 3;
/// Number of hosts; the request is sent to each in turn.
const HOSTS: usize = 2;
const MODEL: &str = "register-model";

/// Waits until another request to a host is answered.
async fn serves_others(fleet: &Fleet, host: usize) -> io::Result<()> {
    let other = CompletionRequest::new(common::URGENT_KEY, MODEL, "another prompt");
    let answered = async || {
        let answer = complete(fleet.callers(host), &other).await;
        answer.is_ok_and(|answer| answer.whole)
    };
    fleet
        .wait_until("other requests are answered", answered)
        .await
}

/// Sends a request to a host and kills the newest engine once it runs the request.
async fn complete_and_kill(
    fleet: &mut Fleet,
    host: usize,
    request: &CompletionRequest,
) -> io::Result<Answer> {
    let engine = fleet.backends.len() - 1;
    serves_others(fleet, host).await?;
    let before = fleet.ledger(engine).await?.seen.len();
    let callers = fleet.callers(host);
    let completing = async { complete(callers, request).await.map_err(io::Error::other) };
    let killing = async {
        let runs = async || {
            let ledger = fleet.ledger(engine).await;
            ledger.is_ok_and(|ledger| ledger.seen.len() > before)
        };
        fleet
            .wait_until("the engine runs the request", runs)
            .await?;
        fleet.backends[engine].kill();
        Ok::<_, io::Error>(())
    };
    let (answer, killed) = future::zip(completing, killing).await;
    killed?;
    answer
}

#[test]
fn a_completion_during_which_engines_end_reaches_no_further_engine() {
    common::run(async {
        for case in common::COMPLETIONS {
            // The answer is long enough that the engine is killed in the middle of it.
            let settings = engine::Settings::default();
            let mut fatal =
                CompletionRequest::new(common::URGENT_KEY, MODEL, "a prompt that ends engines");
            fatal.max_tokens = 4_000;
            fatal.stream = case.stream;
            let mut fleet = Fleet::spawn()?;
            for _ in 0..HOSTS {
                fleet.add_host("").await?;
            }
            fleet.submit(0, common::CONFIGURATION).await?;
            fleet.wait_until_linked().await?;
            for attempt in 0..ENDS_MAX {
                fleet.add_engine(MODEL, &settings).await?;
                let answer = complete_and_kill(&mut fleet, attempt % HOSTS, &fatal).await?;
                assert!(!answer.whole, "{}: attempt {attempt}", case.name);
            }
            let last = fleet.add_engine(MODEL, &settings).await?;
            let mut refused = Vec::new();
            for host in 0..HOSTS {
                let answer = complete(fleet.callers(host), &fatal).await;
                let answer = answer.map_err(io::Error::other)?;
                let code = answer.error.map(|error| error.code.text());
                let found = (answer.status, code);
                assert_eq!(
                    found,
                    (502, Some("ends_servers")),
                    "{}: host {host}",
                    case.name
                );
                refused.push(answer.request_id);
                serves_others(&fleet, host).await?;
            }
            let seen = fleet.ledger(last).await?.seen;
            assert!(!seen.is_empty(), "{}", case.name);
            assert!(
                refused.iter().all(|id| !seen.contains_key(id)),
                "{}",
                case.name
            );
        }
        Ok(())
    });
}
