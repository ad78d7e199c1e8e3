//! Number of calls during an outage, and the reset of the delay.

use std::time::Duration;

use super::Backoff;

const FIRST: Duration = Duration::from_millis(50);

/// Number of calls that fail during an outage, the first at its start.
fn calls(outage: Duration, is_poller: bool) -> u32 {
    let mut backoff = Backoff::new(FIRST);
    let (mut calls, mut passed) = (0, Duration::ZERO);
    while passed < outage {
        calls += 1;
        passed += backoff.next_delay(is_poller);
    }
    calls
}

#[test]
fn hosts_that_do_not_poll_for_others_call_less_often_in_an_outage() {
    struct Case {
        name: &'static str,
        outage_ms: u64,
        is_poller: bool,
        calls: u32,
    }
    let cases = [
        Case {
            name: "short outage, polling host",
            outage_ms: 100,
            is_poller: true,
            calls: 2,
        },
        Case {
            name: "short outage, other host",
            outage_ms: 100,
            is_poller: false,
            calls: 2,
        },
        Case {
            name: "eight seconds, polling host",
            outage_ms: 8_000,
            is_poller: true,
            calls: 23,
        },
        Case {
            name: "eight seconds, other host",
            outage_ms: 8_000,
            is_poller: false,
            calls: 8,
        },
    ];
    for case in cases {
        let outage = Duration::from_millis(case.outage_ms);
        assert_eq!(calls(outage, case.is_poller), case.calls, "{}", case.name);
    }
}

#[test]
fn the_delay_resets_after_an_answer_and_shortens_for_a_polling_host() {
    let mut backoff = Backoff::new(FIRST);
    for _ in 0..10 {
        backoff.next_delay(false);
    }
    // The host has become a polling host.
    assert_eq!(backoff.next_delay(true), Duration::from_millis(400));
    backoff.reset();
    assert_eq!(backoff.next_delay(true), FIRST);
}
