//! Tests that a request whose caller disconnects leaves the queue, or is cancelled at its engine.

use cypressvane::client;
use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

struct Case {
    name: &'static str,
    slots: u32,
    stream: bool,
    /// Whether the request has reached the engine when its caller disconnects.
    running: bool,
}

#[test]
fn a_request_of_a_disconnected_caller_is_removed_or_cancelled() {
    let cases = [
        Case {
            name: "waiting",
            slots: 1,
            stream: false,
            running: false,
        },
        Case {
            name: "streaming",
            slots: 2,
            stream: true,
            running: true,
        },
        Case {
            name: "before its whole answer",
            slots: 2,
            stream: false,
            running: true,
        },
    ];
    common::run(async {
        for case in cases {
            let name = case.name;
            let mut fleet = Fleet::spawn()?;
            let slow = engine::Settings {
                decode_ms: 20.0,
                ..Default::default()
            };
            let engine = fleet.add_engine("register-model", &slow).await?;
            fleet.add_host("").await?;
            let slots = format!("kind = \"model\"\nslots = {}", case.slots);
            fleet
                .submit(
                    0,
                    &common::CONFIGURATION.replace("kind = \"model\"", &slots),
                )
                .await?;
            let address = fleet.callers(0);
            let long =
                CompletionRequest::new(common::URGENT_KEY, "register-model", "long").streamed(150);
            let first = spawn(async move { complete(address, &long).await });
            let reached = async |count: usize| {
                fleet
                    .ledger(engine)
                    .await
                    .is_ok_and(|ledger| ledger.seen.len() == count)
            };
            fleet
                .wait_until("the first runs", async || reached(1).await)
                .await?;
            let mut gone =
                CompletionRequest::new(common::URGENT_KEY, "register-model", "gone").streamed(150);
            gone.stream = case.stream;
            let second = spawn(async move { complete(address, &gone).await });
            let held = async |count| fleet.dump(0).await.is_ok_and(|dump| dump.held == count);
            fleet
                .wait_until("both are held", async || held(2).await)
                .await?;
            if case.running {
                fleet
                    .wait_until("the second runs", async || reached(2).await)
                    .await?;
            }
            second.cancel().await;
            fleet
                .wait_until("the second is released", async || held(1).await)
                .await?;
            if case.running {
                fleet
                    .wait_until("the engine has cancelled it", async || {
                        fleet
                            .ledger(engine)
                            .await
                            .is_ok_and(|ledger| ledger.cancelled == 1)
                    })
                    .await?;
            }
            let answer: Result<_, client::Error> = first.await;
            assert!(
                answer.is_ok_and(|answer| answer.whole),
                "{name}: the first is whole"
            );
            let ledger = fleet.ledger(engine).await?;
            assert_eq!(
                ledger.seen.len(),
                if case.running { 2 } else { 1 },
                "{name}"
            );
        }
        Ok(())
    });
}
