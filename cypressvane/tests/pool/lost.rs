//! Grants that never reach their holders.
//!
//! Guards against such a grant occupying its server for good. A grant was lost on a link that had gone silent, and
//! its holder had no request running in the pool, so it had nothing to reconcile with the home. A server on trial
//! takes one request at a time, so four healthy servers with a lost grant each got no requests in the 60 s after the
//! faults, and would have got none later. Each of the last twelve polls of the home showed four running, one
//! waiting and no grants.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool};

use crate::common::{granted, patient_offer, spec, ticket};

/// Time without a confirmation by its holder after which a grant counts as lost.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(6);

#[test]
fn a_grant_that_its_holder_does_not_confirm_is_released() {
    struct Case {
        name: &'static str,
        /// Seconds at which the holder lists it as running.
        confirmed: &'static [u64],
        /// Second at which it is checked.
        at: u64,
        /// Whether its slot is free again.
        is_lost: bool,
    }
    let cases = [
        Case {
            name: "just granted",
            confirmed: &[],
            at: 5,
            is_lost: false,
        },
        Case {
            name: "never confirmed",
            confirmed: &[],
            at: 6,
            is_lost: true,
        },
        Case {
            name: "confirmed every two seconds",
            confirmed: &[2, 4, 6, 8, 10],
            at: 12,
            is_lost: false,
        },
        Case {
            name: "confirmed until its holder was cut off",
            confirmed: &[2, 4],
            at: 10,
            is_lost: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |seconds| start + Duration::from_secs(seconds);
        let mut pool = Pool::new("desk".into(), 16);
        pool.set_servers(&[spec(0, 1)], start);
        assert_eq!(
            granted(pool.offer(patient_offer(1, 0, 1, start), start)),
            [1]
        );
        for seconds in case.confirmed {
            let holder = "host-0".into();
            let now = at(*seconds);
            pool.reconcile(&holder, 1, &[1], Duration::from_secs(2), now);
        }
        let now = at(case.at);
        assert!(pool.offer(patient_offer(2, 0, 1, now), now).is_empty());
        let next = granted(pool.forget_unconfirmed(CONFIRMATION_TIMEOUT, now));
        let expected: &[u64] = if case.is_lost { &[2] } else { &[] };
        assert_eq!(next, expected, "{}", case.name);
    }
}

#[test]
fn a_lost_grant_does_not_block_a_server_on_trial() {
    let start = Instant::now();
    let mut pool = Pool::new("desk".into(), 16);
    pool.set_servers(&[spec(0, 8)], start);
    assert_eq!(
        granted(pool.offer(patient_offer(1, 0, 1, start), start)),
        [1]
    );
    pool.finish(&ticket(1), End::Unreachable, start);
    // The server is on trial after its backoff, and its one grant is lost on the way to the holder.
    let after_backoff = start + Duration::from_secs(1);
    assert_eq!(
        granted(pool.offer(patient_offer(2, 0, 1, after_backoff), after_backoff)),
        [2]
    );
    let later = after_backoff + CONFIRMATION_TIMEOUT;
    assert!(pool.offer(patient_offer(3, 0, 1, later), later).is_empty());
    assert_eq!(
        granted(pool.forget_unconfirmed(CONFIRMATION_TIMEOUT, later)),
        [3]
    );
    pool.finish(&ticket(3), End::Whole, later);
    assert_eq!(
        granted(pool.offer(patient_offer(4, 0, 1, later), later)),
        [4]
    );
}
