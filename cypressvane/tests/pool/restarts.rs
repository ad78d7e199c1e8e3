//! Guards against: what was believed of a server before it was started again, under its name, is believed of it still.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool, Spec, Told};

use crate::common::{granted, patient, spec, ticket};

/// The only server as an entry of the host list has it.
fn started(started_ms: Option<u64>) -> Spec {
    Spec {
        started_ms,
        ..spec(0, 2)
    }
}

/// A pool whose only server is full: requests 1 and 2 run there, and 3 waits.
fn full(now: Instant) -> Pool {
    let mut pool = Pool::new("register-model".into(), 100);
    pool.set_servers(&[started(Some(1_000))], now);
    for sequence in 1..=3 {
        pool.offer(patient(sequence, 0, 100, now), now);
    }
    assert_eq!((pool.running(), pool.waiting()), (2, 1));
    pool
}

#[test]
fn an_entry_of_a_later_start_ends_what_ran_before() {
    struct Case {
        name: &'static str,
        told: Option<u64>,
        grants: &'static [u64],
    }
    let cases = [
        Case {
            name: "a later start",
            told: Some(2_000),
            grants: &[3],
        },
        Case {
            name: "the same start",
            told: Some(1_000),
            grants: &[],
        },
        Case {
            name: "an earlier start, told late",
            told: Some(500),
            grants: &[],
        },
        Case {
            name: "none told",
            told: None,
            grants: &[],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = full(now);
        let actions = pool.set_servers(&[started(case.told)], now);
        assert_eq!(granted(actions), case.grants, "{}", case.name);
    }
}

#[test]
fn an_end_from_before_says_nothing_of_the_server() {
    let now = Instant::now();
    let mut pool = full(now);
    pool.set_servers(&[started(Some(2_000))], now);
    pool.finish(&ticket(1), End::Unreachable, now);
    pool.finish(&ticket(2), End::Leaving, now);
    let actions = pool.offer(patient(4, 0, 100, now), now);
    assert_eq!(granted(actions), [4]);
}

#[test]
fn a_leave_of_an_earlier_start_does_not_bind_the_next() {
    let now = Instant::now();
    let mut pool = full(now);
    let leaving = Spec {
        leaving: true,
        ..started(Some(1_000))
    };
    pool.set_servers(std::slice::from_ref(&leaving), now);
    let actions = pool.set_servers(&[started(Some(2_000))], now);
    assert_eq!(granted(actions), [3]);
    // The entry of before, told late, undoes nothing.
    pool.set_servers(&[leaving], now);
    let actions = pool.offer(patient(4, 0, 100, now), now);
    assert_eq!(granted(actions), [4]);
}

#[test]
fn a_limit_ends_with_the_start_that_named_it() {
    let now = Instant::now();
    let mut pool = full(now);
    let server = spec(0, 2).name;
    pool.hear_limit(&ticket(1), &server, Some(1.0), now);
    assert_eq!(pool.limited(), 1);
    let later = now + Duration::from_millis(100);
    pool.set_servers(&[started(Some(2_000))], later);
    assert_eq!(pool.limited(), 0);
    // What another host heard of the start before.
    let told = Told {
        per_second: 1.0,
        heard: now,
        heard_by: "host-1".into(),
    };
    pool.hear_earlier_limit(&server, told, later);
    assert_eq!(pool.limited(), 0);
}
