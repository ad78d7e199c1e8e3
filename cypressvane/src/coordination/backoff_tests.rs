use std::time::Duration;

use super::Backoff;

const FIRST: Duration = Duration::from_millis(50);

/// Calls that fail in an outage, the first of them at its beginning.
fn calls(outage: Duration, for_all: bool) -> u32 {
    let mut backoff = Backoff::new(FIRST);
    let (mut calls, mut passed) = (0, Duration::ZERO);
    while passed < outage {
        calls += 1;
        passed += backoff.failed(for_all);
    }
    calls
}

#[test]
fn a_host_that_is_told_what_others_see_asks_seldom_while_it_is_refused() {
    struct Case {
        name: &'static str,
        outage_ms: u64,
        for_all: bool,
        calls: u32,
    }
    let cases = [
        Case {
            name: "a short outage, for all",
            outage_ms: 100,
            for_all: true,
            calls: 2,
        },
        Case {
            name: "a short outage, one of the others",
            outage_ms: 100,
            for_all: false,
            calls: 2,
        },
        Case {
            name: "eight seconds, for all",
            outage_ms: 8_000,
            for_all: true,
            calls: 23,
        },
        Case {
            name: "eight seconds, one of the others",
            outage_ms: 8_000,
            for_all: false,
            calls: 8,
        },
    ];
    for case in cases {
        let outage = Duration::from_millis(case.outage_ms);
        assert_eq!(calls(outage, case.for_all), case.calls, "{}", case.name);
    }
}

#[test]
fn rests_begin_anew_after_an_answer_and_shorten_for_one_that_asks_for_all() {
    let mut backoff = Backoff::new(FIRST);
    for _ in 0..10 {
        backoff.failed(false);
    }
    // It has become one of those that others wait for.
    assert_eq!(backoff.failed(true), Duration::from_millis(400));
    backoff.answered();
    assert_eq!(backoff.failed(true), FIRST);
}
