//! Tests that a host that is ordered to drain cuts no request and exits with status 0.

use std::io;
use std::time::Duration;

use cypressvane::refusal::Ran;
use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, host_name};

mod common;

/// Longest time that a process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Requests that the host holds when the drain starts.
const REQUESTS: usize = 24;

#[derive(Clone, Copy, Debug)]
enum Trigger {
    Signal,
    Order,
}

struct Case {
    name: &'static str,
    trigger: Trigger,
    /// Slots of the engine; with fewer slots than requests, some wait when the drain starts.
    batch: usize,
}

#[test]
fn draining_cuts_no_request() {
    let cases = [
        Case {
            name: "SIGTERM with long streams",
            trigger: Trigger::Signal,
            batch: 32,
        },
        Case {
            name: "SIGTERM with requests waiting",
            trigger: Trigger::Signal,
            batch: 4,
        },
        Case {
            name: "an operator's order",
            trigger: Trigger::Order,
            batch: 32,
        },
    ];
    for case in cases {
        common::run(run_case(case));
    }
}

async fn run_case(case: Case) -> io::Result<()> {
    let name = case.name;
    let mut fleet = Fleet::spawn()?;
    let settings = engine::Settings {
        batch: case.batch,
        decode_ms: 5.0,
        ..Default::default()
    };
    fleet.add_engine("register-model", &settings).await?;
    fleet.add_host("[timeouts]\ngrace_ms = 300\n").await?;
    let configuration = common::CONFIGURATION.replace(
        "kind = \"model\"",
        &format!("kind = \"model\"\nslots = {}", case.batch),
    );
    fleet.submit(0, &configuration).await?;
    let address = fleet.callers(0);
    let mut running = Vec::new();
    for index in 0..REQUESTS {
        let prompt = format!("request number-{index}");
        let request =
            CompletionRequest::new(common::PATIENT_KEY, "register-model", &prompt).streamed(60);
        running.push(spawn(async move {
            (complete(address, &request).await, request)
        }));
    }
    fleet
        .wait_until("all requests are held", async || {
            fleet
                .dump(0)
                .await
                .is_ok_and(|dump| dump.held == REQUESTS as u64)
        })
        .await?;
    match case.trigger {
        Trigger::Signal => fleet.host(0).terminate(),
        Trigger::Order => {
            let entry = fleet
                .entries
                .iter()
                .find(|entry| *entry.name == *host_name(0));
            let operators = entry.and_then(|entry| entry.operators);
            common::post_order(operators.expect("the host has a listener"), "/v1/drain").await?;
        }
    }
    for request in running {
        let (answer, request) = request.await;
        let answer = answer.map_err(io::Error::other)?;
        assert!(answer.whole, "{name}: {:?}", answer.error);
        assert_eq!(answer.text, request.expected(), "{name}");
    }
    let process = fleet.hosts[0].as_mut().expect("the host was started");
    let status = process.wait(EXIT_TIMEOUT).expect("the host exits");
    assert_eq!(status.code(), Some(0), "{name}");
    Ok(())
}

/// Guards against requests that are cut off when the process ends, at the listener for completions: some run for longer
/// than the drain takes, and the others wait behind them.
#[test]
fn requests_that_outlast_the_drain_are_answered_before_the_process_ends() {
    const BATCH: usize = 2;
    common::run(async {
        for streamed in [false, true] {
            let mut fleet = Fleet::spawn()?;
            let settings = engine::Settings {
                batch: BATCH,
                decode_ms: 200.0,
                ..Default::default()
            };
            fleet.add_engine("register-model", &settings).await?;
            fleet
                .add_host("[timeouts]\ngrace_ms = 300\ndrain_ms = 1500\n")
                .await?;
            let slots = format!("kind = \"model\"\nslots = {BATCH}");
            let configuration = common::CONFIGURATION.replace("kind = \"model\"", &slots);
            fleet.submit(0, &configuration).await?;
            let address = fleet.callers(0);
            let mut running = Vec::new();
            for index in 0..2 * BATCH {
                let prompt = format!("request number-{index}");
                let request =
                    CompletionRequest::new(common::PATIENT_KEY, "register-model", &prompt);
                let request = CompletionRequest {
                    max_tokens: 100,
                    stream: streamed,
                    ..request
                };
                running.push(spawn(async move { complete(address, &request).await }));
            }
            fleet
                .wait_until("all requests are held", async || {
                    let dump = fleet.dump(0).await;
                    dump.is_ok_and(|dump| dump.held == 2 * BATCH as u64)
                })
                .await?;
            fleet.host(0).terminate();
            let mut refused = 0;
            for request in running {
                let answer = request.await.map_err(io::Error::other)?;
                let error = answer.error.expect("no answer ends in time");
                refused += usize::from(answer.status == 503 && error.ran == Ran::No);
                assert!(error.ran != Ran::Yes, "streamed {streamed}: {error:?}");
            }
            assert_eq!(refused, BATCH, "streamed {streamed}");
            let process = fleet.hosts[0].as_mut().expect("the host was started");
            let status = process.wait(EXIT_TIMEOUT).expect("the host exits");
            assert_eq!(status.code(), Some(0), "streamed {streamed}");
        }
        Ok(())
    });
}
