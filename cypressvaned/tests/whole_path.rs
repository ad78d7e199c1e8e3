//! Tests completions from a caller through a host to an engine and back, with host and engine in
//! separate processes.

use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

struct Case {
    name: &'static str,
    request: CompletionRequest,
}

#[test]
fn answers_are_whole_and_the_callers_own() {
    let cases = [
        Case {
            name: "whole answer",
            request: CompletionRequest::new(common::URGENT_KEY, "register-model", "gate 7"),
        },
        Case {
            name: "stream",
            request: CompletionRequest::new(common::PATIENT_KEY, "register-model", "lease 12")
                .streamed(40),
        },
        Case {
            name: "stream of one token",
            request: CompletionRequest::new(common::URGENT_KEY, "register-model", "muster")
                .streamed(1),
        },
    ];
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        fleet
            .add_engine("register-model", &engine::Settings::default())
            .await?;
        fleet.add_host("").await?;
        fleet.submit(0, common::CONFIGURATION).await?;
        for case in cases {
            let answer = complete(fleet.callers(0), &case.request)
                .await
                .map_err(std::io::Error::other)?;
            assert_eq!(answer.status, 200, "{}: {:?}", case.name, answer.error);
            assert!(answer.whole, "{}", case.name);
            assert_eq!(answer.text, case.request.expected(), "{}", case.name);
        }
        Ok(())
    });
}
