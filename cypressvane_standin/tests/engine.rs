//! Tests the simulated engine alone: its answers, and the counts of its ledger.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Once;

use cypressvane::runtime;
use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine::{self, Settings};

struct Case {
    name: &'static str,
    ask: Ask,
    settings: Settings,
    whole: bool,
}

#[test]
fn answers_and_cuts_streams_as_configured() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| runtime::start(2));
    let cases = [
        Case {
            name: "whole",
            ask: Ask::new("", "echo", "one two"),
            settings: Settings::default(),
            whole: true,
        },
        Case {
            name: "streamed",
            ask: Ask::new("", "echo", "one two").streamed(9),
            settings: Settings::default(),
            whole: true,
        },
        Case {
            name: "cut",
            ask: Ask::new("", "echo", "one two").streamed(9),
            settings: Settings {
                cut_after: Some(3),
                ..Settings::default()
            },
            whole: false,
        },
    ];
    smol::block_on(async {
        for case in cases {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let engine = engine::bind(address, "echo", case.settings).expect("a free port");
            let ask_with_id = case.ask.clone().with("x-request-id", "some-id");
            let answer = ask(engine.address(), &ask_with_id)
                .await
                .expect("an answer");
            assert_eq!(answer.whole, case.whole, "{}", case.name);
            assert_eq!(
                answer.text == case.ask.expected(),
                case.whole,
                "{}",
                case.name
            );
            let ledger = engine.ledger();
            assert_eq!(ledger.seen.get("some-id"), Some(&1), "{}", case.name);
        }
    });
}
