//! Tests the simulated engine alone: its answers, and the counts of its ledger.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Once;

use cypressvane::runtime;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine::{self, Settings};

struct Case {
    name: &'static str,
    request: CompletionRequest,
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
            request: CompletionRequest::new("", "echo", "one two"),
            settings: Settings::default(),
            whole: true,
        },
        Case {
            name: "streamed",
            request: CompletionRequest::new("", "echo", "one two").streamed(9),
            settings: Settings::default(),
            whole: true,
        },
        Case {
            name: "cut",
            request: CompletionRequest::new("", "echo", "one two").streamed(9),
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
            let request_with_id = case.request.clone().with_header("x-request-id", "some-id");
            let answer = complete(engine.address(), &request_with_id)
                .await
                .expect("an answer");
            assert_eq!(answer.whole, case.whole, "{}", case.name);
            assert_eq!(
                answer.text == case.request.expected(),
                case.whole,
                "{}",
                case.name
            );
            let ledger = engine.ledger();
            assert_eq!(ledger.seen.get("some-id"), Some(&1), "{}", case.name);
        }
    });
}
