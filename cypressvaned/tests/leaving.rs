//! A host that is told to leave cuts no request and ends with success.

use std::io;
use std::time::Duration;

use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, host_name};

mod common;

/// Longest time that a process may take to end.
const PATIENCE: Duration = Duration::from_secs(60);
/// Requests under way when the host is told.
const REQUESTS: usize = 24;

#[derive(Clone, Copy, Debug)]
enum Told {
    Signal,
    Order,
}

struct Case {
    name: &'static str,
    told: Told,
    /// Engine slots: fewer than requests, so that some wait when the host is told.
    batch: usize,
}

#[test]
fn leaving_cuts_no_request() {
    let cases = [
        Case {
            name: "SIGTERM with long streams",
            told: Told::Signal,
            batch: 32,
        },
        Case {
            name: "SIGTERM with requests waiting",
            told: Told::Signal,
            batch: 4,
        },
        Case {
            name: "an operator's order",
            told: Told::Order,
            batch: 32,
        },
    ];
    for case in cases {
        common::run(leave(case));
    }
}

async fn leave(case: Case) -> io::Result<()> {
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
        let request = Ask::new(common::PATIENT_KEY, "register-model", &prompt).streamed(60);
        running.push(spawn(
            async move { (ask(address, &request).await, request) },
        ));
    }
    fleet
        .until("all requests are held", async || {
            fleet
                .dump(0)
                .await
                .is_ok_and(|dump| dump.held == REQUESTS as u64)
        })
        .await?;
    match case.told {
        Told::Signal => fleet.host(0).terminate(),
        Told::Order => {
            let entry = fleet
                .entries
                .iter()
                .find(|entry| *entry.name == *host_name(0));
            let operators = entry.and_then(|entry| entry.operators);
            common::order(operators.expect("the host has a listener"), "/v1/drain").await?;
        }
    }
    for request in running {
        let (answer, request) = request.await;
        let answer = answer.map_err(io::Error::other)?;
        assert!(answer.whole, "{name}: {:?}", answer.error);
        assert_eq!(answer.text, request.expected(), "{name}");
    }
    let process = fleet.hosts[0].as_mut().expect("the host was started");
    let status = process.wait(PATIENCE).expect("the host ends");
    assert_eq!(status.code(), Some(0), "{name}");
    Ok(())
}
