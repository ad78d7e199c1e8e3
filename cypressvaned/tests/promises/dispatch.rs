//! Tests that a request is dispatched at most once.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::proxy::{self, Fault, Transfer};

use crate::common;
use crate::ledgers::{check, count_arrivals, count_errors, count_whole, join_all, send};
use cypressvane::refusal::Ran;

/// A short silence timeout keeps the test short.
const SETTINGS: &str = "[timeouts]\nsilence_ms = 1500\n";
/// Number of requests per case.
const REQUESTS: usize = 12;

struct Case {
    name: &'static str,
    fault: Fault,
    silent: bool,
    stream: bool,
    /// Whether all requests are answered whole.
    answers: bool,
}

fn cut_request(bytes: u64) -> Fault {
    Fault {
        to_target: Transfer::CutAfter(bytes),
        ..Fault::default()
    }
}

fn cut_answer(bytes: u64) -> Fault {
    Fault {
        to_client: Transfer::CutAfter(bytes),
        ..Fault::default()
    }
}

#[test]
fn a_request_on_a_cut_or_silent_connection_is_never_retried() {
    let case = |name, fault, stream| Case {
        name,
        fault,
        silent: false,
        stream,
        answers: false,
    };
    let cases = [
        Case {
            name: "no fault",
            answers: true,
            ..case("", Fault::default(), true)
        },
        case(
            "closed at once",
            Fault {
                refuse: true,
                ..Fault::default()
            },
            false,
        ),
        case("cut before the first byte", cut_request(0), false),
        case("cut in the head", cut_request(40), false),
        case("cut in the body", cut_request(200), false),
        case("cut before the answer", cut_answer(0), false),
        case("cut in the head of the answer", cut_answer(30), false),
        case("cut in the body of the answer", cut_answer(250), false),
        case("cut in the stream", cut_answer(600), true),
        case(
            "request frozen",
            Fault {
                to_target: Transfer::Freeze,
                ..Fault::default()
            },
            false,
        ),
        case(
            "answer frozen",
            Fault {
                to_client: Transfer::Freeze,
                ..Fault::default()
            },
            true,
        ),
        Case {
            silent: true,
            ..case("accepted and silent", Fault::default(), false)
        },
    ];
    common::run(async {
        for case in cases {
            run_case(case).await?;
        }
        Ok(())
    });
}

async fn run_case(case: Case) -> io::Result<()> {
    let name = case.name;
    let mut fleet = Fleet::spawn()?;
    let settings = engine::Settings {
        silent: case.silent,
        ..Default::default()
    };
    let mut proxies = Vec::new();
    let mut engines = Vec::new();
    for _ in 0..2 {
        let engine = fleet.add_engine("register-model", &settings).await?;
        proxies.push(proxy_backend(&mut fleet, engine)?);
        engines.push(engine);
    }
    fleet.publish().await?;
    fleet.add_host(SETTINGS).await?;
    fleet.submit(0, common::CONFIGURATION).await?;
    for proxy in &proxies {
        proxy.set_fault(case.fault);
    }
    let mut tasks = Vec::new();
    for index in 0..REQUESTS {
        let prompt = format!("question number-{index}");
        let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt)
            .with_header("cypressvane-deadline-ms", "4000");
        let request = if case.stream {
            request.streamed(12)
        } else {
            request
        };
        tasks.push(send(fleet.callers(0), request));
    }
    let outcomes = join_all(tasks).await;
    // Frozen bytes are delivered now, so that the ledgers are complete.
    for proxy in &proxies {
        proxy.set_fault(Fault::default());
    }
    smol::Timer::after(Duration::from_millis(200)).await;
    check(name, &outcomes, &count_arrivals(&fleet, &engines).await?);
    assert_eq!(count_whole(&outcomes) == REQUESTS, case.answers, "{name}");
    if !case.answers {
        assert!(
            count_errors(&outcomes, Ran::Unknown) > 0,
            "{name}: some errors report an unknown outcome"
        );
    }
    Ok(())
}

/// Puts a proxy in front of a backend server. The caller must publish the host list afterwards.
pub fn proxy_backend(fleet: &mut Fleet, backend: usize) -> io::Result<proxy::Handle> {
    let target = fleet.backends[backend].address("address");
    let proxy = proxy::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target)?;
    let entry = fleet
        .entries
        .iter_mut()
        .find(|entry| entry.address == target);
    entry.expect("the backend server is listed").address = proxy.address();
    Ok(proxy)
}

#[test]
fn a_refused_connection_leaves_a_request_waiting_for_another_server() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let gone = fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        let engine = fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        fleet.add_host("").await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        fleet.backends[gone].kill();
        let mut tasks = Vec::new();
        for index in 0..REQUESTS {
            let prompt = format!("question number-{index}");
            let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
            tasks.push(send(fleet.callers(0), request));
        }
        let outcomes = join_all(tasks).await;
        check(
            "an engine is gone",
            &outcomes,
            &count_arrivals(&fleet, &[engine]).await?,
        );
        assert_eq!(count_whole(&outcomes), REQUESTS);
        Ok(())
    });
}

#[test]
fn a_frozen_and_resumed_host_dispatches_nothing_twice() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let slow = engine::Settings {
            decode_ms: 40.0,
            batch: 4,
            ..Default::default()
        };
        let engine = fleet.add_engine("register-model", &slow).await?;
        for _ in 0..3 {
            fleet.add_host("").await?;
        }
        let configuration = common::CONFIGURATION.replace("\"model\"", "\"model\"\nslots = 4");
        fleet.submit(0, &configuration).await?;
        fleet.wait_until_linked().await?;
        let mut tasks = Vec::new();
        for index in 0..30 {
            let prompt = format!("question number-{index}");
            let request =
                CompletionRequest::new(common::PATIENT_KEY, "register-model", &prompt).streamed(8);
            tasks.push(send(fleet.callers(index % 3), request));
        }
        // Each host in turn is frozen for longer than the others wait before they continue without it.
        for index in 0..3 {
            fleet.host(index).freeze();
            smol::Timer::after(Duration::from_millis(2500)).await;
            fleet.host(index).resume();
        }
        let outcomes = join_all(tasks).await;
        check(
            "frozen hosts",
            &outcomes,
            &count_arrivals(&fleet, &[engine]).await?,
        );
        assert_eq!(count_whole(&outcomes), 30, "a frozen host loses nothing");
        Ok(())
    });
}
