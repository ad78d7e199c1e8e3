//! Tests that a backend server that is leaving gets no new requests after a few seconds.

use std::io;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::platform::Presence;
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::platform::{Fault, Outage};

use crate::common;
use crate::ledgers::{Call, check, count_arrivals, count_whole, join_all, send};

/// Number of hosts.
const HOSTS: usize = 2;
/// Time after which the server must get no new requests.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// How long the test watches for new requests after that.
const WATCH: Duration = Duration::from_secs(3);

async fn start_fleet() -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(
            fleet
                .add_engine("register-model", &engine::Settings::default())
                .await?,
        );
    }
    for _ in 0..HOSTS {
        fleet.add_host("").await?;
    }
    fleet.submit(0, common::CONFIGURATION).await?;
    fleet.wait_until_linked().await?;
    Ok((fleet, engines))
}

/// Sends batches of concurrent requests for `time`, so that both engines are needed.
async fn send_load(fleet: &Fleet, time: Duration) -> Vec<Call> {
    let begun = Instant::now();
    let mut outcomes = Vec::new();
    while begun.elapsed() < time {
        let tasks = (0..6).map(|index| {
            let prompt = format!("{} number-{index}", "word ".repeat(400));
            let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
            send(fleet.callers(index % HOSTS), request)
        });
        outcomes.extend(join_all(tasks.collect()).await);
    }
    outcomes
}

/// How hosts can tell that the server is leaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notice {
    /// The host list marks it as leaving.
    MarkedLeaving,
    /// The host list no longer has it.
    Unlisted,
    /// The host list gives no answer, and the server announces it in its answers.
    Announced,
}

#[test]
fn a_leaving_server_gets_no_new_requests_after_a_few_seconds() {
    common::run(async {
        for notice in [Notice::MarkedLeaving, Notice::Unlisted, Notice::Announced] {
            let (mut fleet, engines) = start_fleet().await?;
            let leaving = engines[0];
            let before = send_load(&fleet, Duration::from_millis(300)).await;
            assert_eq!(count_whole(&before), before.len(), "{notice:?}");
            match notice {
                Notice::MarkedLeaving => {
                    fleet.entries[leaving].presence = Presence::Leaving;
                    fleet.publish().await?;
                }
                Notice::Unlisted => {
                    fleet.entries.remove(leaving);
                    fleet.publish().await?;
                }
                Notice::Announced => {
                    let fault = Fault {
                        hosts: Outage::Hangs,
                        ..Fault::default()
                    };
                    fleet.set_fault(&fault).await?;
                    let draining = engine::Settings {
                        draining: engine::Draining::Refuses,
                        ..Default::default()
                    };
                    fleet.set_engine(leaving, &draining).await?;
                }
            }
            let meanwhile = send_load(&fleet, SETTLE_TIME).await;
            let settled = fleet.ledger(leaving).await?.seen.len();
            let after = send_load(&fleet, WATCH).await;
            let outcomes: Vec<Call> = before.into_iter().chain(meanwhile).chain(after).collect();
            check(
                "leaving",
                &outcomes,
                &count_arrivals(&fleet, &engines).await?,
            );
            let later = fleet.ledger(leaving).await?.seen.len();
            assert_eq!(
                later, settled,
                "{notice:?}: new requests after a few seconds"
            );
        }
        Ok(())
    });
}
