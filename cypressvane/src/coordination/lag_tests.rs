//! Delay of a periodic task, with timestamps supplied by the test.

use std::time::Duration;

use super::Lag;
use crate::state::clock::Instant;

const PERIOD: Duration = Duration::from_millis(250);

struct Case {
    name: &'static str,
    /// Milliseconds from the start at which the task ran.
    runs: &'static [u64],
    /// Time of the measurement, and the expected lag, in milliseconds.
    measured_at: u64,
    lag: u64,
}

const CASES: [Case; 6] = [
    Case {
        name: "the task has not run yet",
        runs: &[],
        measured_at: 1_000,
        lag: 0,
    },
    Case {
        name: "every run was on time",
        runs: &[0, 250, 500, 750],
        measured_at: 900,
        lag: 0,
    },
    Case {
        name: "one run was late",
        runs: &[0, 350],
        measured_at: 360,
        lag: 100,
    },
    Case {
        name: "a run is overdue",
        runs: &[0, 250],
        measured_at: 900,
        lag: 400,
    },
    Case {
        name: "a late run still counts in the next span",
        runs: &[0, 400, 650, 900],
        measured_at: 950,
        lag: 150,
    },
    Case {
        name: "a late run is forgotten after the next span",
        runs: &[0, 400, 650, 900, 1_150],
        measured_at: 1_200,
        lag: 0,
    },
];

#[test]
fn the_longest_recent_delay_counts() {
    for case in CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut lag = Lag::new(PERIOD);
        for run in case.runs {
            lag.record_run(at(*run));
        }
        let expected = Duration::from_millis(case.lag);
        assert_eq!(lag.longest(at(case.measured_at)), expected, "{}", case.name);
    }
}
