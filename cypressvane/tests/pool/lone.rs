//! A pool that has one server left.
//!
//! Seen: a plain service whose other servers had left was given two requests in 18 s, though its one server was well,
//! and everybody else was refused. Some of its requests take longer than their route allows, and one was answered 500
//! twice; three such ends in a row took the server down, and each trial that met one made the rest longer, up
//! to five seconds. Proved by the log: trial and down in turn, each time a second after a silent request was sent.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool};

use crate::common::{granted, patient, spec, ticket};

#[test]
fn the_only_server_of_a_pool_is_given_work_though_single_requests_failed_there() {
    let mut now = Instant::now();
    let mut pool = Pool::new("desk".into(), 16);
    pool.set_servers(&[spec(0, 8)], now);
    for sequence in 1..=3 {
        assert_eq!(
            granted(pool.offer(patient(sequence, 0, 1, now), now)),
            [sequence]
        );
    }
    for sequence in 1..=3 {
        now += Duration::from_millis(50);
        pool.finish(&ticket(sequence), End::Broken, now);
    }
    // There is no other server that could do better.
    let next = granted(pool.offer(patient(4, 0, 1, now), now));
    assert_eq!(next, [4]);
}

struct Case {
    name: &'static str,
    ends: &'static [End],
    /// How many of three requests that come then it is given at once.
    given: usize,
}

#[test]
fn the_only_server_is_tried_one_by_one_while_it_fails_and_rests_only_if_nothing_listens() {
    let cases = [
        Case {
            name: "three failures in a row",
            ends: &[End::Broken; 3],
            given: 1,
        },
        Case {
            name: "failures on trial",
            ends: &[End::Broken; 9],
            given: 1,
        },
        Case {
            name: "a whole answer on trial",
            ends: &[End::Broken, End::Broken, End::Broken, End::Whole],
            given: 3,
        },
        Case {
            name: "nothing listens",
            ends: &[End::Unreachable],
            given: 0,
        },
        Case {
            name: "nothing listens any more",
            ends: &[End::Broken, End::Broken, End::Broken, End::Unreachable],
            given: 0,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = Pool::new("desk".into(), 16);
        pool.set_servers(&[spec(0, 8)], now);
        for (sequence, end) in (0..).zip(case.ends) {
            let given = granted(pool.offer(patient(sequence, 0, 1, now), now));
            assert_eq!(given, [sequence], "{}", case.name);
            pool.finish(&ticket(sequence), *end, now);
        }
        let offers = (50..53).map(|sequence| patient(sequence, 0, 1, now));
        let given: Vec<u64> = offers
            .flat_map(|offer| granted(pool.offer(offer, now)))
            .collect();
        assert_eq!(given.len(), case.given, "{}", case.name);
    }
}

#[test]
fn one_of_several_failing_servers_is_still_tried() {
    let now = Instant::now();
    let mut pool = Pool::new("desk".into(), 64);
    pool.set_servers(&[spec(0, 1), spec(1, 1), spec(2, 1)], now);
    for sequence in 0..30 {
        let given = granted(pool.offer(patient(sequence, 0, 1, now), now));
        assert_eq!(given, [sequence]);
        pool.finish(&ticket(sequence), End::Broken, now);
    }
}
