//! A pool with a single remaining server.
//!
//! Guards against taking that server down for requests that fail by themselves. Some requests of a plain service took
//! longer than their route allows, and one was answered 500 twice. Three such failures in a row took the healthy
//! server down, and each failed trial lengthened the backoff, up to 5 s: the server got two requests in 18 s, and all
//! others were refused. The log showed trial and down in turn, each a second after a request without an answer.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool};

use crate::common::{granted, patient_offer, spec, ticket};

#[test]
fn the_only_server_of_a_pool_gets_requests_after_some_have_failed() {
    let mut now = Instant::now();
    let mut pool = Pool::new("desk".into(), 16);
    pool.set_servers(&[spec(0, 8)], now);
    for sequence in 1..=3 {
        assert_eq!(
            granted(pool.offer(patient_offer(sequence, 0, 1, now), now)),
            [sequence]
        );
    }
    for sequence in 1..=3 {
        now += Duration::from_millis(50);
        pool.finish(&ticket(sequence), End::Broken, now);
    }
    // No other server could do better.
    let next = granted(pool.offer(patient_offer(4, 0, 1, now), now));
    assert_eq!(next, [4]);
}

struct Case {
    name: &'static str,
    ends: &'static [End],
    /// How many of three further requests are granted at once.
    granted_at_once: usize,
}

#[test]
fn the_only_server_gets_one_request_at_a_time_while_it_fails_and_none_if_it_is_unreachable() {
    let cases = [
        Case {
            name: "three failures in a row",
            ends: &[End::Broken; 3],
            granted_at_once: 1,
        },
        Case {
            name: "failures on trial",
            ends: &[End::Broken; 9],
            granted_at_once: 1,
        },
        Case {
            name: "a complete answer on trial",
            ends: &[End::Broken, End::Broken, End::Broken, End::Whole],
            granted_at_once: 3,
        },
        Case {
            name: "connection refused",
            ends: &[End::Unreachable],
            granted_at_once: 0,
        },
        Case {
            name: "connection refused on trial",
            ends: &[End::Broken, End::Broken, End::Broken, End::Unreachable],
            granted_at_once: 0,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = Pool::new("desk".into(), 16);
        pool.set_servers(&[spec(0, 8)], now);
        for (sequence, end) in (0..).zip(case.ends) {
            let grants = granted(pool.offer(patient_offer(sequence, 0, 1, now), now));
            assert_eq!(grants, [sequence], "{}", case.name);
            pool.finish(&ticket(sequence), *end, now);
        }
        let offers = (50..53).map(|sequence| patient_offer(sequence, 0, 1, now));
        let grants: Vec<u64> = offers
            .flat_map(|offer| granted(pool.offer(offer, now)))
            .collect();
        assert_eq!(grants.len(), case.granted_at_once, "{}", case.name);
    }
}

#[test]
fn one_of_several_failing_servers_is_still_tried() {
    let now = Instant::now();
    let mut pool = Pool::new("desk".into(), 64);
    pool.set_servers(&[spec(0, 1), spec(1, 1), spec(2, 1)], now);
    for sequence in 0..30 {
        let grants = granted(pool.offer(patient_offer(sequence, 0, 1, now), now));
        assert_eq!(grants, [sequence]);
        pool.finish(&ticket(sequence), End::Broken, now);
    }
}
