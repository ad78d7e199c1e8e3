//! A backend server that is leaving gets no new work after a few seconds.

use std::io;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::platform::Presence;
use cypressvane_standin::caller::Ask;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::platform::{Fault, Trouble};

use crate::common;
use crate::evidence::{Told, check, gather, seen, send, whole};

/// Hosts of the fleet.
const HOSTS: usize = 2;
/// Seconds after which no new work may come.
const A_FEW_SECONDS: Duration = Duration::from_secs(4);
/// Longest time that work is watched for.
const WATCH: Duration = Duration::from_secs(3);

async fn fleet_of() -> io::Result<(Fleet, Vec<usize>)> {
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
    fleet.linked().await?;
    Ok((fleet, engines))
}

/// Sends requests for a while, some together, so that both engines are wanted.
async fn work(fleet: &Fleet, time: Duration) -> Vec<Told> {
    let begun = Instant::now();
    let mut told = Vec::new();
    while begun.elapsed() < time {
        let tasks = (0..6).map(|index| {
            let prompt = format!("{} number-{index}", "word ".repeat(400));
            let ask = Ask::new(common::URGENT_KEY, "register-model", &prompt);
            send(fleet.callers(index % HOSTS), ask)
        });
        told.extend(gather(tasks.collect()).await);
    }
    told
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Sign {
    /// The host list says that it is leaving.
    List,
    /// The host list no longer has it.
    Gone,
    /// The list hangs, and the server says itself that it is leaving.
    Itself,
}

#[test]
fn a_leaving_server_gets_no_new_work_after_a_few_seconds() {
    common::run(async {
        for sign in [Sign::List, Sign::Gone, Sign::Itself] {
            let (mut fleet, engines) = fleet_of().await?;
            let leaving = engines[0];
            let before = work(&fleet, Duration::from_millis(300)).await;
            assert_eq!(whole(&before), before.len(), "{sign:?}");
            match sign {
                Sign::List => {
                    fleet.entries[leaving].presence = Presence::Leaving;
                    fleet.publish().await?;
                }
                Sign::Gone => {
                    fleet.entries.remove(leaving);
                    fleet.publish().await?;
                }
                Sign::Itself => {
                    let fault = Fault {
                        hosts: Trouble::Hangs,
                        ..Fault::default()
                    };
                    fleet.set_fault(&fault).await?;
                    let draining = engine::Settings {
                        draining: true,
                        ..Default::default()
                    };
                    fleet.set_engine(leaving, &draining).await?;
                }
            }
            let meanwhile = work(&fleet, A_FEW_SECONDS).await;
            let at_rest = fleet.ledger(leaving).await?.seen.len();
            let after = work(&fleet, WATCH).await;
            let told: Vec<Told> = before.into_iter().chain(meanwhile).chain(after).collect();
            check("leaving", &told, &seen(&fleet, &engines).await?);
            let later = fleet.ledger(leaving).await?.seen.len();
            assert_eq!(later, at_rest, "{sign:?}: new work after a few seconds");
        }
        Ok(())
    });
}
