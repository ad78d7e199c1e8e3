//! Tests completions from a caller through a host to an engine and back, with host and engine in
//! separate processes.

use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

struct Case {
    name: &'static str,
    ask: Ask,
}

#[test]
fn answers_are_whole_and_the_callers_own() {
    let cases = [
        Case {
            name: "whole answer",
            ask: Ask::new(common::URGENT_KEY, "register-model", "gate 7"),
        },
        Case {
            name: "stream",
            ask: Ask::new(common::PATIENT_KEY, "register-model", "lease 12").streamed(40),
        },
        Case {
            name: "stream of one token",
            ask: Ask::new(common::URGENT_KEY, "register-model", "muster").streamed(1),
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
            let answer = ask(fleet.callers(0), &case.ask)
                .await
                .map_err(std::io::Error::other)?;
            assert_eq!(answer.status, 200, "{}: {:?}", case.name, answer.error);
            assert!(answer.whole, "{}", case.name);
            assert_eq!(answer.text, case.ask.expected(), "{}", case.name);
        }
        Ok(())
    });
}
