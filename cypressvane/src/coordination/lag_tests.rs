//! How far a host is behind, by a clock that the test moves.

use std::time::Duration;

use super::Lag;
use crate::state::clock::Instant;

const PERIOD: Duration = Duration::from_millis(250);

struct Case {
    name: &'static str,
    /// Milliseconds from the start at which the task had its turns.
    turns: &'static [u64],
    asked: u64,
    lag: u64,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing had a turn yet",
        turns: &[],
        asked: 1_000,
        lag: 0,
    },
    Case {
        name: "each turn came on time",
        turns: &[0, 250, 500, 750],
        asked: 900,
        lag: 0,
    },
    Case {
        name: "one turn came late",
        turns: &[0, 350],
        asked: 360,
        lag: 100,
    },
    Case {
        name: "a turn is overdue",
        turns: &[0, 250],
        asked: 900,
        lag: 400,
    },
    Case {
        name: "a late turn counts on in the next span",
        turns: &[0, 400, 650, 900],
        asked: 950,
        lag: 150,
    },
    Case {
        name: "and is forgotten after it",
        turns: &[0, 400, 650, 900, 1_150],
        asked: 1_200,
        lag: 0,
    },
];

#[test]
fn the_longest_delay_of_late_counts() {
    for case in CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut lag = Lag::of(PERIOD);
        for turn in case.turns {
            lag.turn(at(*turn));
        }
        let expected = Duration::from_millis(case.lag);
        assert_eq!(lag.recent(at(case.asked)), expected, "{}", case.name);
    }
}
