//! Tests that a caller gets the whole answer to its own request, or an error.

use std::io;

use cypressvane::refusal::{Code, Ran};
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::proxy::{Fault, Transfer};

use crate::common;
use crate::dispatch::proxy_backend;
use crate::ledgers::{check, count_arrivals, join_all, send};

struct Case {
    name: &'static str,
    settings: engine::Settings,
    stream: bool,
    code: Code,
}

#[test]
fn a_foreign_or_incomplete_answer_is_reported_as_an_error() {
    let settings = engine::Settings::default;
    let cases = [
        Case {
            name: "another request's answer",
            settings: engine::Settings {
                wrong_id: Some("other".to_owned()),
                ..settings()
            },
            stream: false,
            code: Code::AnswerMismatch,
        },
        Case {
            name: "another request's stream",
            settings: engine::Settings {
                wrong_id: Some("other".to_owned()),
                ..settings()
            },
            stream: true,
            code: Code::AnswerMismatch,
        },
        Case {
            name: "a stream that breaks off at once",
            settings: engine::Settings {
                cut_after: Some(0),
                ..settings()
            },
            stream: true,
            code: Code::BackendFailed,
        },
        Case {
            name: "a stream that breaks off",
            settings: engine::Settings {
                cut_after: Some(5),
                ..settings()
            },
            stream: true,
            code: Code::BackendFailed,
        },
        Case {
            name: "a stream without its last event",
            settings: engine::Settings {
                end_after: Some(5),
                ..settings()
            },
            stream: true,
            code: Code::BackendFailed,
        },
        Case {
            name: "an engine that is leaving",
            settings: engine::Settings {
                draining: engine::Draining::Refuses,
                ..settings()
            },
            stream: false,
            code: Code::BackendFailed,
        },
    ];
    common::run(async {
        for case in cases {
            let mut fleet = Fleet::spawn()?;
            let engine = fleet.add_engine("register-model", &case.settings).await?;
            fleet.add_host("").await?;
            fleet.submit(0, common::CONFIGURATION).await?;
            let request = CompletionRequest::new(common::URGENT_KEY, "register-model", "mine");
            let request = if case.stream {
                request.streamed(9)
            } else {
                request
            };
            let outcomes = join_all(vec![send(fleet.callers(0), request)]).await;
            check(
                case.name,
                &outcomes,
                &count_arrivals(&fleet, &[engine]).await?,
            );
            let answer = outcomes[0]
                .result
                .as_ref()
                .map_err(|error| io::Error::other(error.clone()))?;
            let error = answer
                .error
                .as_ref()
                .unwrap_or_else(|| panic!("{}: no error", case.name));
            assert_eq!(
                (error.code, error.ran),
                (case.code, Ran::Unknown),
                "{}",
                case.name
            );
            assert!(!answer.whole, "{}", case.name);
        }
        Ok(())
    });
}

#[test]
fn an_answer_cut_at_any_byte_is_never_reported_as_whole() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let engine = fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        let proxy = proxy_backend(&mut fleet, engine)?;
        fleet.publish().await?;
        fleet.add_host("").await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        let mut outcomes = Vec::new();
        for stream in [false, true] {
            for bytes in (0..900).step_by(23) {
                proxy.set_fault(Fault {
                    to_client: Transfer::CutAfter(bytes),
                    ..Fault::default()
                });
                let prompt = format!("question number-{bytes}-{stream}");
                let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
                let request = if stream { request.streamed(6) } else { request };
                // A server that keeps failing gets no requests for a while; the deadline is longer than that.
                outcomes.extend(join_all(vec![send(fleet.callers(0), request)]).await);
                proxy.set_fault(Fault::default());
                let good = CompletionRequest::new(common::URGENT_KEY, "register-model", "between");
                outcomes.extend(join_all(vec![send(fleet.callers(0), good)]).await);
            }
        }
        check(
            "cut at any byte",
            &outcomes,
            &count_arrivals(&fleet, &[engine]).await?,
        );
        Ok(())
    });
}

#[test]
fn a_late_answer_reaches_no_other_caller() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let slow = engine::Settings {
            delay_ms: 700,
            ..Default::default()
        };
        let engine = fleet.add_engine("register-model", &slow).await?;
        fleet.add_host("[timeouts]\nsilence_ms = 300\n").await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        let mut tasks = Vec::new();
        for index in 0..8 {
            let prompt = format!("question number-{index}");
            let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
            tasks.push(send(fleet.callers(0), request));
        }
        let mut outcomes = join_all(tasks).await;
        fleet
            .set_engine(engine, &engine::Settings::default())
            .await?;
        for index in 8..16 {
            let prompt = format!("question number-{index}");
            let request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
            outcomes.extend(join_all(vec![send(fleet.callers(0), request)]).await);
        }
        check(
            "late answers",
            &outcomes,
            &count_arrivals(&fleet, &[engine]).await?,
        );
        let late = outcomes[..8]
            .iter()
            .filter_map(|outcome| outcome.result.as_ref().ok()?.error.as_ref());
        assert!(late.clone().count() > 0);
        assert!(
            late.into_iter()
                .all(|error| error.ran == Ran::Unknown || error.ran == Ran::No)
        );
        Ok(())
    });
}
