//! Grants that their holders do not know of.
//!
//! Seen: after faults were over a pool gave nothing to four well servers for 60 s, and would not have again.
//! Each had a grant that had been lost on its way: a link had fallen silent. The holder never had a request running in
//! that pool, so it had nothing to reconcile with its home, and the grant stayed for good; a server on trial
//! takes no other meanwhile. Proved by the home's own words: four running, one waiting, no grants, in each
//! of the last twelve looks.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool};

use crate::common::{granted, patient, spec, ticket};

/// Time without a word of its holder after which a grant is taken as lost.
const UNCONFIRMED: Duration = Duration::from_secs(6);

#[test]
fn a_grant_that_its_holder_never_confirms_is_lost() {
    struct Case {
        name: &'static str,
        /// When its holder lists it as running, in seconds.
        confirmed: &'static [u64],
        /// When it is looked at.
        at: u64,
        /// Whether the place is free again.
        lost: bool,
    }
    let cases = [
        Case {
            name: "just granted",
            confirmed: &[],
            at: 5,
            lost: false,
        },
        Case {
            name: "never confirmed",
            confirmed: &[],
            at: 6,
            lost: true,
        },
        Case {
            name: "confirmed each two seconds",
            confirmed: &[2, 4, 6, 8, 10],
            at: 12,
            lost: false,
        },
        Case {
            name: "confirmed until its holder was cut off",
            confirmed: &[2, 4],
            at: 10,
            lost: true,
        },
    ];
    for case in cases {
        let began = Instant::now();
        let at = |seconds| began + Duration::from_secs(seconds);
        let mut pool = Pool::new("desk".into(), 16);
        pool.set_servers(&[spec(0, 1)], began);
        assert_eq!(granted(pool.offer(patient(1, 0, 1, began), began)), [1]);
        for seconds in case.confirmed {
            let holder = "host-0".into();
            let now = at(*seconds);
            pool.reconcile(&holder, 1, &[1], Duration::from_secs(2), now);
        }
        let now = at(case.at);
        assert!(pool.offer(patient(2, 0, 1, now), now).is_empty());
        let next = granted(pool.forget_unconfirmed(UNCONFIRMED, now));
        let expected: &[u64] = if case.lost { &[2] } else { &[] };
        assert_eq!(next, expected, "{}", case.name);
    }
}

#[test]
fn a_server_on_trial_is_not_kept_from_work_by_a_lost_grant() {
    let began = Instant::now();
    let mut pool = Pool::new("desk".into(), 16);
    pool.set_servers(&[spec(0, 8)], began);
    assert_eq!(granted(pool.offer(patient(1, 0, 1, began), began)), [1]);
    pool.finish(&ticket(1), End::Unreachable, began);
    // Back after its rest, on trial, with a grant that is lost on its way.
    let back = began + Duration::from_secs(1);
    assert_eq!(granted(pool.offer(patient(2, 0, 1, back), back)), [2]);
    let later = back + UNCONFIRMED;
    assert!(pool.offer(patient(3, 0, 1, later), later).is_empty());
    assert_eq!(granted(pool.forget_unconfirmed(UNCONFIRMED, later)), [3]);
    pool.finish(&ticket(3), End::Whole, later);
    assert_eq!(granted(pool.offer(patient(4, 0, 1, later), later)), [4]);
}
