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
