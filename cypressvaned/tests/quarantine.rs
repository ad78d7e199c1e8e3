//! A completion under which model engines end reaches no more of them, on whichever host it comes.

mod common;

use std::io;

use cypressvane_standin::caller::{Answer, Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use futures_lite::future;

/// Engines that may end under one request.
const MOST_ENDS: usize = 3;
/// The host that is asked first; the others in turn.
const HOSTS: usize = 2;
const MODEL: &str = "register-model";

/// Waits until a host has another request answered.
async fn serves_others(fleet: &Fleet, host: usize) -> io::Result<()> {
    let other = Ask::new(common::URGENT_KEY, MODEL, "another prompt");
    let answered = async || {
        let answer = ask(fleet.callers(host), &other).await;
        answer.is_ok_and(|answer| answer.whole)
    };
    fleet.until("others are answered", answered).await
}

/// Asks a host, and kills the newest engine once it runs the request.
async fn ask_and_kill(fleet: &mut Fleet, host: usize, what: &Ask) -> io::Result<Answer> {
    let engine = fleet.backends.len() - 1;
    serves_others(fleet, host).await?;
    let before = fleet.ledger(engine).await?.seen.len();
    let callers = fleet.callers(host);
    let asking = async { ask(callers, what).await.map_err(io::Error::other) };
    let killing = async {
        let runs = async || {
            let ledger = fleet.ledger(engine).await;
            ledger.is_ok_and(|ledger| ledger.seen.len() > before)
        };
        fleet.until("the engine runs the request", runs).await?;
        fleet.backends[engine].kill();
        Ok::<_, io::Error>(())
    };
    let (answer, killed) = future::zip(asking, killing).await;
    killed?;
    answer
}

#[test]
fn a_completion_under_which_engines_end_reaches_no_more_of_them() {
    common::run(async {
        for case in common::COMPLETIONS {
            // Long enough that an engine ends in the middle of it.
            let settings = engine::Settings::default();
            let mut ending = Ask::new(common::URGENT_KEY, MODEL, "a prompt that ends engines");
            ending.max_tokens = 4_000;
            ending.stream = case.stream;
            let mut fleet = Fleet::spawn()?;
            for _ in 0..HOSTS {
                fleet.add_host("").await?;
            }
            fleet.submit(0, common::CONFIGURATION).await?;
            fleet.linked().await?;
            for attempt in 0..MOST_ENDS {
                fleet.add_engine(MODEL, &settings).await?;
                let answer = ask_and_kill(&mut fleet, attempt % HOSTS, &ending).await?;
                assert!(!answer.whole, "{}: attempt {attempt}", case.name);
            }
            let last = fleet.add_engine(MODEL, &settings).await?;
            let mut refused = Vec::new();
            for host in 0..HOSTS {
                let answer = ask(fleet.callers(host), &ending).await;
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
