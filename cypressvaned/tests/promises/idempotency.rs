//! A request with an idempotency key runs at most once, whatever host it is sent to.

use std::io;
use std::time::Duration;

use cypressvane::refusal::{Code, Ran};
use cypressvane_standin::caller::Ask;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::platform::{Fault, Trouble};

use crate::common;
use crate::evidence::{Told, check, check_ledgers, gather, ran, seen, send, whole};

/// Hosts to which a key is sent.
const HOSTS: usize = 3;

fn keyed(key: &str) -> Ask {
    Ask::new(common::URGENT_KEY, "register-model", "permit").with("idempotency-key", key)
}

async fn fleet_of(settings: &engine::Settings) -> io::Result<(Fleet, Vec<usize>)> {
    let mut fleet = Fleet::spawn()?;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(fleet.add_engine("register-model", settings).await?);
    }
    for _ in 0..HOSTS {
        fleet.add_host("").await?;
    }
    fleet.submit(0, common::CONFIGURATION).await?;
    fleet.linked().await?;
    Ok((fleet, engines))
}

/// Sends the same keys to all hosts at the same moment.
fn race(fleet: &Fleet, keys: usize, name: &str) -> Vec<smol::Task<Told>> {
    let mut tasks = Vec::new();
    for key in 0..keys {
        for host in 0..HOSTS {
            let ask = keyed(&format!("{name}-{key}"));
            tasks.push(send(fleet.callers(host), ask));
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
fn a_key_runs_at_most_once_whatever_the_table_does() {
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
                table: Trouble::Fails,
                ..Fault::default()
            },
            runs: false,
        },
        Case {
            name: "table silent",
            fault: Fault {
                table: Trouble::Hangs,
                ..Fault::default()
            },
            runs: false,
        },
    ];
    common::run(async {
        let (fleet, engines) = fleet_of(&engine::Settings::default()).await?;
        for case in cases {
            let name = case.name;
            fleet.set_fault(&case.fault).await?;
            let told = gather(race(&fleet, 10, &name.replace(' ', "-"))).await;
            check(name, &told, &seen(&fleet, &engines).await?);
            if case.runs {
                assert_eq!(whole(&told), 10, "{name}: one of each race runs");
                assert_eq!(ran(&told, Ran::Unknown), 20, "{name}: the others are told");
            } else {
                assert_eq!(ran(&told, Ran::No), 30, "{name}: none runs on hope");
            }
            fleet.set_fault(&Fault::default()).await?;
        }
        // What ran once does not run again later, at any host.
        let told = gather(race(&fleet, 10, "table-up")).await;
        check("asked again", &told, &seen(&fleet, &engines).await?);
        for told in &told {
            let answer = told
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
fn a_key_whose_host_died_does_not_run_again() {
    common::run(async {
        let slow = engine::Settings {
            decode_ms: 50.0,
            ..Default::default()
        };
        let (mut fleet, engines) = fleet_of(&slow).await?;
        let first: Vec<_> = (0..8)
            .map(|key| send(fleet.callers(0), keyed(&format!("died-{key}")).streamed(40)))
            .collect();
        fleet
            .until("the engines work on them", async || {
                seen(&fleet, &engines)
                    .await
                    .is_ok_and(|seen| seen.keys.len() == 8)
            })
            .await?;
        fleet.hosts[0].as_mut().expect("started").kill();
        let cut = gather(first).await;
        assert_eq!(whole(&cut), 0, "their host is gone");
        let mut told = Vec::new();
        for host in [1, 2] {
            for key in 0..8 {
                let ask = keyed(&format!("died-{key}"));
                told.extend(gather(vec![send(fleet.callers(host), ask)]).await);
            }
        }
        let seen = seen(&fleet, &engines).await?;
        check_ledgers("the host died", &cut, &seen);
        check("retries", &told, &seen);
        assert_eq!(
            ran(&told, Ran::Unknown),
            16,
            "each retry is told that it may have run"
        );
        Ok(())
    });
}

#[test]
fn a_host_frozen_between_claim_and_dispatch_runs_it_once() {
    common::run(async {
        let (fleet, engines) = fleet_of(&engine::Settings::default()).await?;
        // The claim is under way while the host stops; its answer waits in the socket.
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
        let mut told = gather(retries).await;
        fleet.host(0).resume();
        told.extend(gather(first).await);
        check("frozen", &told, &seen(&fleet, &engines).await?);
        assert_eq!(whole(&told), 5, "each key runs once");
        Ok(())
    });
}
