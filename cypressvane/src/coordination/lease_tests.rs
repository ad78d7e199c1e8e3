//! Validity of a lease over time, with timestamps supplied by the test.

use std::time::Duration;

use super::Lease;
use crate::state::clock::Instant;

#[test]
fn a_lease_expires_unless_it_is_confirmed() {
    struct Case {
        name: &'static str,
        /// Length, in milliseconds.
        length: Option<u64>,
        /// Times of the confirmations, in milliseconds.
        confirmed: &'static [u64],
        /// Time at which it is checked, in milliseconds.
        at: u64,
        holds: bool,
    }
    let cases = [
        Case {
            name: "never confirmed",
            length: Some(4_000),
            confirmed: &[],
            at: 0,
            holds: false,
        },
        Case {
            name: "for ever",
            length: None,
            confirmed: &[],
            at: 0,
            holds: true,
        },
        Case {
            name: "confirmed lately",
            length: Some(4_000),
            confirmed: &[100],
            at: 4_099,
            holds: true,
        },
        Case {
            name: "asked about after its holder stood still",
            length: Some(4_000),
            confirmed: &[100],
            at: 8_000,
            holds: false,
        },
        Case {
            name: "at its very end",
            length: Some(4_000),
            confirmed: &[100],
            at: 4_100,
            holds: false,
        },
        Case {
            name: "an answer that was made before the standstill, and read after it",
            length: Some(4_000),
            confirmed: &[100, 900],
            at: 8_000,
            holds: false,
        },
        Case {
            name: "confirmed again afterwards",
            length: Some(4_000),
            confirmed: &[100, 8_001],
            at: 8_002,
            holds: true,
        },
        Case {
            name: "an older confirmation that comes late",
            length: Some(4_000),
            confirmed: &[5_000, 100],
            at: 8_000,
            holds: true,
        },
    ];
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    for case in cases {
        let mut lease = Lease::new(case.length.map(Duration::from_millis));
        for moment in case.confirmed {
            lease.confirm(at(*moment));
        }
        assert_eq!(lease.holds(at(case.at)), case.holds, "{}", case.name);
    }
}
