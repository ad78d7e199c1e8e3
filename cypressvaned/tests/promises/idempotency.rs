//! Tests that a request with an idempotency key runs at most once, whichever hosts it is sent to.

use std::io;
use std::time::Duration;

use cypressvane::refusal::{Code, Ran};
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::platform::{Fault, Outage};

use crate::common;
use crate::ledgers::{
    Call, check, check_ledgers, count_arrivals, count_errors, count_whole, join_all, send,
};

/// Number of hosts to which each key is sent.
const HOSTS: usize = 3;

fn keyed(key: &str) -> CompletionRequest {
    CompletionRequest::new(common::URGENT_KEY, "register-model", "permit")
        .with_header("idempotency-key", key)
}

async fn start_fleet(settings: &engine::Settings) -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(fleet.add_engine("register-model", settings).await?);
    }
    for _ in 0..HOSTS {
        fleet.add_host("").await?;
    }
    fleet.submit(0, common::CONFIGURATION).await?;
    fleet.wait_until_linked().await?;
    Ok((fleet, engines))
}

/// Sends the same keys to all hosts concurrently.
fn race(fleet: &Fleet, keys: usize, name: &str) -> Vec<smol::Task<Call>> {
    let mut tasks = Vec::new();
    for key in 0..keys {
        for host in 0..HOSTS {
            let request = keyed(&format!("{name}-{key}"));
            tasks.push(send(fleet.callers(host), request));
        }
    }
    tasks
}

struct Case {
    name: &'static str,
    fault: Fault,
    /// Whether keyed requests can run.
    runs: bool,
}

#[test]
fn a_key_runs_at_most_once_under_table_faults() {
    let cases = [
        Case {
            name: "table up",
            fault: Fault::default(),
            runs: true,
        },
        Case {
            name: "table slow",
            fault: Fault {
                delay_ms: 300,
                ..Fault::default()
            },
            runs: true,
        },
        Case {
            name: "answers of writes lost",
            fault: Fault {
                lose_write_answers: 20,
                ..Fault::default()
            },
            runs: true,
        },
        Case {
            name: "table down",
            fault: Fault {
                table: Outage::Fails,
                ..Fault::default()
            },
            runs: false,
        },
        Case {
            name: "table silent",
            fault: Fault {
                table: Outage::Hangs,
                ..Fault::default()
            },
            runs: false,
        },
    ];
    common::run(async {
        let (fleet, engines) = start_fleet(&engine::Settings::default()).await?;
        for case in cases {
            let name = case.name;
            fleet.set_fault(&case.fault).await?;
            let outcomes = join_all(race(&fleet, 10, &name.replace(' ', "-"))).await;
            check(name, &outcomes, &count_arrivals(&fleet, &engines).await?);
            if case.runs {
                assert_eq!(
                    count_whole(&outcomes),
                    10,
                    "{name}: one request per key runs"
                );
                assert_eq!(
                    count_errors(&outcomes, Ran::Unknown),
                    20,
                    "{name}: the outcome of the others is unknown"
                );
            } else {
                assert_eq!(
                    count_errors(&outcomes, Ran::No),
                    30,
                    "{name}: none runs without a claim"
                );
            }
            fleet.set_fault(&Fault::default()).await?;
        }
        // A key that ran once does not run again later on any host.
        let outcomes = join_all(race(&fleet, 10, "table-up")).await;
        check(
            "keys sent again",
            &outcomes,
            &count_arrivals(&fleet, &engines).await?,
        );
        for outcome in &outcomes {
            let answer = outcome
                .result
                .as_ref()
                .map_err(|error| io::Error::other(error.clone()))?;
            let error = answer.error.as_ref().expect("a duplicate");
            assert_eq!((error.code, error.ran), (Code::Duplicate, Ran::Unknown));
        }
        Ok(())
    });
}

#[test]
fn a_key_whose_host_was_killed_does_not_run_again() {
    common::run(async {
        let slow = engine::Settings {
            decode_ms: 50.0,
            ..Default::default()
        };
        let (mut fleet, engines) = start_fleet(&slow).await?;
        let first: Vec<_> = (0..8)
            .map(|key| send(fleet.callers(0), keyed(&format!("died-{key}")).streamed(40)))
            .collect();
        fleet
            .wait_until("the engines run the requests", async || {
                count_arrivals(&fleet, &engines)
                    .await
                    .is_ok_and(|arrivals| arrivals.keys.len() == 8)
            })
            .await?;
        fleet.hosts[0].as_mut().expect("started").kill();
        let cut = join_all(first).await;
        assert_eq!(count_whole(&cut), 0, "their host was killed");
        let mut outcomes = Vec::new();
        for host in [1, 2] {
            for key in 0..8 {
                let request = keyed(&format!("died-{key}"));
                outcomes.extend(join_all(vec![send(fleet.callers(host), request)]).await);
            }
        }
        let arrivals = count_arrivals(&fleet, &engines).await?;
        check_ledgers("the host died", &cut, &arrivals);
        check("retries", &outcomes, &arrivals);
        assert_eq!(
            count_errors(&outcomes, Ran::Unknown),
            16,
            "each retry is answered that it may have run"
        );
        Ok(())
    });
}

#[test]
fn a_key_runs_once_when_its_host_freezes_between_claim_and_dispatch() {
    common::run(async {
        let (fleet, engines) = start_fleet(&engine::Settings::default()).await?;
        // The claim is in flight when the host freezes; the table's answer waits in the socket.
        fleet
            .set_fault(&Fault {
                delay_ms: 400,
                ..Fault::default()
            })
            .await?;
        let first: Vec<_> = (0..5)
            .map(|key| send(fleet.callers(0), keyed(&format!("frozen-{key}"))))
            .collect();
        smol::Timer::after(Duration::from_millis(200)).await;
        fleet.host(0).freeze();
        smol::Timer::after(Duration::from_millis(600)).await;
        let retries: Vec<_> = (0..5)
            .map(|key| send(fleet.callers(1), keyed(&format!("frozen-{key}"))))
            .collect();
        let mut outcomes = join_all(retries).await;
        fleet.host(0).resume();
        outcomes.extend(join_all(first).await);
        check(
            "frozen",
            &outcomes,
            &count_arrivals(&fleet, &engines).await?,
        );
        assert_eq!(count_whole(&outcomes), 5, "each key runs once");
        Ok(())
    });
}
