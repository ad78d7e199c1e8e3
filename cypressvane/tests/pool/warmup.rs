//! Limits of servers that may be cold after a start.
//!
//! Guards against giving a cold server more in one second than it can take, whoever knows that it is cold.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Pool, Spec, Warmup};
use quickcheck::TestResult;

use crate::common::{granted, patient_offer, spec};
use crate::seeded::quickcheck;

/// Requests per second that a cold server can take.
const PER_SECOND: u32 = 12;
/// Most requests that it may get in one second.
const MOST: u32 = 23;
/// Interval between two checks of the pool.
const TICK_MS: u64 = 20;
/// Largest difference of the times that two requests take from their grants to the server.
const DELAY_VARIATION_MS: u64 = 200;
/// Pattern's length in milliseconds.
const LENGTH_MS: u64 = 6_000;

/// Returns the entry of a server that is cold for so many milliseconds.
fn listed_server(cold_ms: u64) -> Spec {
    Spec {
        warmup: Some(Warmup {
            per_second: PER_SECOND,
            most: MOST,
            left: Duration::from_millis(cold_ms),
        }),
        ..spec(0, 1_000)
    }
}

/// A server that gets more requests than it may have.
struct Load {
    start: Instant,
    pool: Pool,
    /// Time of each grant, in milliseconds from the start.
    grants: Vec<u64>,
}

impl Load {
    fn begin(cold_ms: u64) -> Self {
        let start = Instant::now();
        let mut pool = Pool::new("register-model".into(), 10_000);
        pool.set_servers(&[listed_server(cold_ms)], start);
        for sequence in 0..1_000 {
            pool.offer(patient_offer(sequence, 0, 1, start), start);
        }
        Self {
            start,
            pool,
            grants: Vec::new(),
        }
    }

    /// Runs the pool from one time to another, in milliseconds from the start.
    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for at in (from_ms..to_ms).step_by(TICK_MS as usize) {
            let now = self.start + Duration::from_millis(at);
            let count = granted(self.pool.tick(now)).len();
            self.grants.extend(std::iter::repeat_n(at, count));
        }
    }

    fn set_servers(&mut self, servers: &[Spec], at_ms: u64) {
        let now = self.start + Duration::from_millis(at_ms);
        let actions = self.pool.set_servers(servers, now);
        let count = granted(actions).len();
        self.grants.extend(std::iter::repeat_n(at_ms, count));
    }

    /// Number of grants within `from..to`, in milliseconds from the start.
    fn grants_within(&self, from_ms: u64, to_ms: u64) -> usize {
        let within = self
            .grants
            .iter()
            .filter(|at| (from_ms..to_ms).contains(at));
        within.count()
    }
}

/// The most arrivals in any second.
fn most_in_a_second(arrivals: &mut [u64]) -> usize {
    arrivals.sort_unstable();
    let in_second = |first: &u64| {
        let later = arrivals
            .iter()
            .filter(|at| (*first..*first + 1_000).contains(at));
        later.count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

#[test]
fn a_cold_server_gets_its_rate_and_a_warm_one_the_bound() {
    struct Case {
        name: &'static str,
        cold_ms: u64,
        /// Grants from the second second to the fourth, inclusive.
        grants: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "warm",
            cold_ms: 0,
            grants: 50..=69,
        },
        Case {
            name: "cold throughout",
            cold_ms: LENGTH_MS,
            grants: 24..=36,
        },
    ];
    for case in cases {
        let mut load = Load::begin(case.cold_ms);
        load.run(0, LENGTH_MS);
        let grants = load.grants_within(2_000, 5_000);
        assert!(case.grants.contains(&grants), "{}: {grants}", case.name);
    }
}

#[test]
fn a_repeated_entry_does_not_prolong_the_cold_start() {
    let mut load = Load::begin(2_000);
    for step in 0..20 {
        let at = step * 200;
        load.set_servers(&[listed_server(2_000)], at);
        load.run(at, at + 200);
    }
    load.run(4_000, 6_000);
    assert!(load.grants_within(3_000, 6_000) > 3 * PER_SECOND as usize);
}

#[test]
fn a_server_that_turns_cold_gets_its_rate_from_then_on() {
    let mut load = Load::begin(0);
    load.run(0, 2_000);
    load.set_servers(&[listed_server(3_000)], 2_000);
    load.run(2_000, 5_000);
    assert!(load.grants_within(3_200, 4_200) <= PER_SECOND as usize);
}

#[test]
fn a_home_with_a_part_of_the_limit_gives_out_no_more() {
    let mut load = Load::begin(0);
    load.pool.set_limit_share(0.5, load.start);
    load.run(0, LENGTH_MS);
    assert!(load.grants_within(2_000, 3_000) <= (MOST / 2) as usize);
}

#[test]
fn a_new_home_assumes_that_the_server_has_just_got_a_part() {
    let mut load = Load::begin(0);
    load.run(0, 1_000);
    assert!(load.grants_within(0, 1_000) <= (MOST.div_ceil(2)) as usize);
}

#[test]
fn no_second_brings_more_than_the_bound_whatever_the_delays() {
    fn property(delays: Vec<u64>, cold_ms: u16) -> TestResult {
        if delays.is_empty() {
            return TestResult::discard();
        }
        let mut load = Load::begin(u64::from(cold_ms % 4_000));
        load.run(0, LENGTH_MS);
        let delays = delays.iter().cycle();
        let mut arrivals: Vec<u64> = load
            .grants
            .iter()
            .zip(delays)
            .map(|(at, delay)| at + delay % DELAY_VARIATION_MS)
            .collect();
        TestResult::from_bool(most_in_a_second(&mut arrivals) <= MOST as usize)
    }
    quickcheck().quickcheck(property as fn(Vec<u64>, u16) -> TestResult);
}
