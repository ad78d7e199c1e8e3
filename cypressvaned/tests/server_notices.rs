//! Guards against a host that sends completions, whole or streamed, to an engine whose answers announce that it is
//! leaving, or that asked for rest.

mod common;

use std::io;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

const MODEL: &str = "register-model";
/// Rest that the engine asks for, in seconds: longer than the test.
const REST_S: f64 = 600.0;
/// Requests per case: enough that both engines would get some.
const REQUESTS: usize = 20;

#[test]
fn an_engine_that_wants_no_completions_gets_none() {
    struct Case {
        name: &'static str,
        settings: engine::Settings,
        state: &'static str,
    }
    let cases = [
        Case {
            name: "leaving",
            settings: engine::Settings {
                draining: engine::Draining::Serves,
                ..engine::Settings::default()
            },
            state: "leaving",
        },
        Case {
            name: "resting",
            settings: engine::Settings {
                rest_s: Some(REST_S),
                ..engine::Settings::default()
            },
            state: "resting",
        },
    ];
    common::run(async {
        for case in cases {
            for completion in common::COMPLETIONS {
                let mut fleet = Fleet::spawn()?;
                fleet.add_host("").await?;
                fleet.submit(0, common::CONFIGURATION).await?;
                let barred = fleet.add_engine(MODEL, &case.settings).await?;
                let mut request = CompletionRequest::new(common::URGENT_KEY, MODEL, "a prompt");
                request.max_tokens = 2;
                request.stream = completion.stream;
                let is_known = async || {
                    // The first answers tell the host.
                    let _ = complete(fleet.callers(0), &request).await;
                    state(&fleet).await.as_deref() == Some(case.state)
                };
                fleet.wait_until("the host knows", is_known).await?;
                let before = fleet.ledger(barred).await?.seen.len();
                fleet
                    .add_engine(MODEL, &engine::Settings::default())
                    .await?;
                let is_whole = async || {
                    let answer = complete(fleet.callers(0), &request).await;
                    answer.is_ok_and(|answer| answer.whole)
                };
                fleet
                    .wait_until("the other engine serves", is_whole)
                    .await?;
                for _ in 0..REQUESTS {
                    let answer = complete(fleet.callers(0), &request).await;
                    let is_whole = answer.is_ok_and(|answer| answer.whole);
                    assert!(is_whole, "{} {}", case.name, completion.name);
                }
                let after = fleet.ledger(barred).await?.seen.len();
                assert_eq!(after, before, "{} {}", case.name, completion.name);
            }
        }
        Ok::<_, io::Error>(())
    });
}

/// Returns the state of the first engine as known to its pool's home.
async fn state(fleet: &Fleet) -> Option<String> {
    let dump = fleet.dump(0).await.ok()?;
    let mut servers = dump.pools.iter().flat_map(|pool| &pool.servers);
    servers.next().map(|server| server.state.clone())
}

/// Guards against dropping an answer that is whole because it announces that its engine is leaving.
#[test]
fn an_answer_that_announces_leaving_is_delivered() {
    common::run(async {
        for completion in common::COMPLETIONS {
            let mut fleet = Fleet::spawn()?;
            fleet.add_host("").await?;
            fleet.submit(0, common::CONFIGURATION).await?;
            let settings = engine::Settings {
                draining: engine::Draining::Serves,
                ..engine::Settings::default()
            };
            let engine = fleet.add_engine(MODEL, &settings).await?;
            let mut request = CompletionRequest::new(common::URGENT_KEY, MODEL, "a prompt");
            request.max_tokens = 2;
            request.stream = completion.stream;
            let end = Instant::now() + Duration::from_secs(30);
            while fleet.ledger(engine).await?.seen.is_empty() {
                assert!(Instant::now() < end, "the engine gets a request");
                let answer = complete(fleet.callers(0), &request).await;
                if !fleet.ledger(engine).await?.seen.is_empty() {
                    let is_whole = answer.is_ok_and(|answer| answer.whole);
                    assert!(is_whole, "{}", completion.name);
                }
            }
        }
        Ok::<_, io::Error>(())
    });
}
