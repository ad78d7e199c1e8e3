//! The limits of client accounts, by a clock that the test moves.

use std::time::{Duration, Instant};

use cypressvane::fleet::Account;
use cypressvane::limit::{Ledger, Over};
use quickcheck::QuickCheck;

fn account() -> Account {
    Account {
        name: "rangers".into(),
        key_sha256: String::new(),
        tier: "urgent".into(),
        ..Account::default()
    }
}

struct Case {
    name: &'static str,
    account: Account,
    hosts: u32,
    /// Milliseconds from the beginning, tokens, and whether it is admitted.
    requests: &'static [(u64, u32, bool)],
}

#[test]
fn a_limit_holds_over_time() {
    let cases = [
        Case {
            name: "no limit",
            account: account(),
            hosts: 1,
            requests: &[(0, 1_000_000, true), (0, 1_000_000, true)],
        },
        Case {
            name: "requests a second",
            account: Account {
                requests_per_second: Some(2),
                ..account()
            },
            hosts: 1,
            requests: &[
                (0, 1, true),
                (0, 1, true),
                (0, 1, false),
                (400, 1, false),
                (500, 1, true),
                (600, 1, false),
                (5000, 1, true),
                (5000, 1, true),
                (5000, 1, false),
            ],
        },
        Case {
            name: "a host's share",
            account: Account {
                requests_per_second: Some(14),
                ..account()
            },
            hosts: 7,
            requests: &[(0, 1, true), (0, 1, true), (0, 1, false)],
        },
        Case {
            name: "a share is never zero",
            account: Account {
                in_flight: Some(1),
                ..account()
            },
            hosts: 7,
            requests: &[(0, 1, true), (0, 1, false)],
        },
        Case {
            name: "tokens a second: a long request passes once and is paid for afterwards",
            account: Account {
                tokens_per_second: Some(100),
                ..account()
            },
            hosts: 1,
            requests: &[
                (0, 300, true),
                (0, 1, false),
                (1900, 1, false),
                (2100, 1, true),
            ],
        },
    ];
    for case in cases {
        let begin = Instant::now();
        let mut ledger = Ledger::default();
        for (index, (millis, tokens, admitted)) in case.requests.iter().enumerate() {
            let now = begin + Duration::from_millis(*millis);
            let result = ledger.admit(&case.account, *tokens, case.hosts, now);
            assert_eq!(
                result.is_ok(),
                *admitted,
                "{}: request {index}: {result:?}",
                case.name
            );
        }
    }
}

#[test]
fn a_released_request_makes_room() {
    let account = Account {
        in_flight: Some(1),
        ..account()
    };
    let now = Instant::now();
    let mut ledger = Ledger::default();
    assert_eq!(ledger.admit(&account, 1, 1, now), Ok(()));
    assert_eq!(ledger.admit(&account, 1, 1, now), Err(Over::InFlight));
    ledger.release(&account.name);
    assert_eq!(ledger.admit(&account, 1, 1, now), Ok(()));
}

#[test]
fn the_wait_that_is_told_is_enough() {
    fn property(rate: u8, before: u8) -> bool {
        let rate = u32::from(rate) + 1;
        let account = Account {
            requests_per_second: Some(rate),
            ..account()
        };
        let begin = Instant::now();
        let mut ledger = Ledger::default();
        for _ in 0..before {
            let _ = ledger.admit(&account, 1, 1, begin);
        }
        match ledger.admit(&account, 1, 1, begin) {
            Ok(()) => true,
            // A microsecond covers the rounding of durations.
            Err(Over::Requests(wait)) => {
                let later = begin + wait + Duration::from_micros(1);
                ledger.admit(&account, 1, 1, later).is_ok()
            }
            Err(_) => false,
        }
    }
    QuickCheck::new().quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn idle_accounts_are_forgotten_and_busy_ones_kept() {
    let begin = Instant::now();
    let mut ledger = Ledger::default();
    let busy = Account {
        name: "busy".into(),
        ..account()
    };
    ledger.admit(&account(), 1, 1, begin).expect("no limit");
    ledger.admit(&busy, 1, 1, begin).expect("no limit");
    ledger.release(&account().name);
    ledger.sweep(begin + Duration::from_secs(60));
    assert_eq!(ledger.len(), 1);
}
