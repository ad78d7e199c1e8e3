//! Tests what a host that leaves may still send.
//!
//! Guards against requests that are taken late in the grace period and cut off when the process ends.

use std::time::Duration;

use super::{DELIVERY_TIME, Departure, Durations};
use crate::state::clock::Instant;

struct Case {
    name: &'static str,
    /// Milliseconds until every request must have its answer.
    left: u64,
    /// Milliseconds until the request's deadline.
    deadline: u64,
    longest: Option<u64>,
    wait_left: Option<u64>,
}

const CASES: [Case; 7] = [
    Case {
        name: "the deadline comes first",
        left: 5_000,
        deadline: 1_500,
        longest: None,
        wait_left: None,
    },
    Case {
        name: "the deadline comes at the same moment",
        left: 1_500,
        deadline: 1_500,
        longest: Some(100),
        wait_left: None,
    },
    Case {
        name: "short answers",
        left: 5_000,
        deadline: 10_000,
        longest: Some(200),
        wait_left: Some(4_800),
    },
    Case {
        name: "answers that take what is left",
        left: 2_000,
        deadline: 10_000,
        longest: Some(2_000),
        wait_left: Some(0),
    },
    Case {
        name: "answers that take longer than what is left",
        left: 2_000,
        deadline: 10_000,
        longest: Some(4_000),
        wait_left: Some(0),
    },
    Case {
        name: "answers that may take until the deadline",
        left: 5_000,
        deadline: 10_000,
        longest: None,
        wait_left: Some(0),
    },
    Case {
        name: "nothing is left",
        left: 0,
        deadline: 100,
        longest: Some(1),
        wait_left: Some(0),
    },
];

#[test]
fn a_request_is_sent_only_if_it_ends_before_the_process() {
    for case in &CASES {
        let now = Instant::now();
        let after = |ms| now + Duration::from_millis(ms);
        let stays_for = Duration::from_millis(case.left) + DELIVERY_TIME;
        let departure = Departure::begin(stays_for, now);
        let longest = case.longest.map(Duration::from_millis);
        let wait_left = departure.wait_left(after(case.deadline), longest, now);
        let expected = case.wait_left.map(Duration::from_millis);
        assert_eq!(wait_left, expected, "{}", case.name);
    }
}

#[test]
fn durations_are_known_by_kind_and_cover_the_long_ones() {
    let mut durations = Durations::default();
    let (chat, report) = ("chat".into(), "report".into());
    assert_eq!(durations.longest(&chat), None);
    for index in 0..100 {
        durations.note(&chat, Duration::from_millis(100 + 10 * (index % 10)));
    }
    let longest = durations.longest(&chat).expect("it is known");
    assert!(longest >= Duration::from_millis(190), "{longest:?}");
    assert!(longest <= Duration::from_millis(400), "{longest:?}");
    assert_eq!(durations.longest(&report), None);
}
