//! The limits of client accounts, by a clock that the test moves.

use std::time::{Duration, Instant};

use cypressvane::fleet::Account;
use cypressvane::limit::{Ledger, Over, Share, Spent, Tolerance};
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

/// What a host that hears others does: who says what, and whether a request is then admitted.
struct Shared {
    name: &'static str,
    share: Share,
    /// Milliseconds, incarnation of the other host, and the tokens that it has admitted.
    told: &'static [(u64, u64, u64)],
    /// Milliseconds, tokens, and whether they are admitted.
    requests: &'static [(u64, u32, bool)],
}

#[test]
fn hosts_that_hear_each_other_keep_one_limit() {
    let all = Share {
        heard: 2,
        known: 2,
        spread: 2,
        told_every: Duration::ZERO,
    };
    let cases = [
        Shared {
            name: "one host may give out all where the other admits nothing",
            share: all,
            told: &[],
            requests: &[(0, 900, true), (0, 200, true), (0, 1, false)],
        },
        Shared {
            name: "what the other host admitted is gone here",
            share: all,
            told: &[(0, 1, 1_000)],
            requests: &[(1, 1, false)],
        },
        Shared {
            name: "a total that is told again counts once",
            share: all,
            told: &[(0, 1, 600), (0, 1, 600)],
            requests: &[(1, 300, true), (1, 300, true), (1, 1, false)],
        },
        Shared {
            name: "a host that began anew counts from nothing",
            share: all,
            told: &[(0, 1, 500), (0, 2, 500)],
            requests: &[(1, 1, false)],
        },
        Shared {
            name: "an older incarnation is not listened to",
            share: all,
            told: &[(0, 2, 500), (0, 1, 5_000)],
            requests: &[(1, 400, true), (1, 200, true), (1, 1, false)],
        },
        Shared {
            name: "a silent host may have its part",
            share: Share { heard: 1, ..all },
            told: &[],
            requests: &[(0, 500, true), (0, 1, false), (500, 200, true)],
        },
    ];
    for case in cases {
        let account = Account {
            tokens_per_second: Some(1_000),
            ..account()
        };
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let other = "other".into();
        let mut ledger = Ledger::default();
        for (millis, incarnation, tokens) in case.told {
            let spent = Spent {
                requests: 0,
                tokens: *tokens,
            };
            let spent = [(account.name.clone(), spent)];
            ledger.hear(&other, *incarnation, &spent, at(*millis));
        }
        for (index, (millis, tokens, admitted)) in case.requests.iter().enumerate() {
            let outcome = ledger.admit(&account, *tokens, case.share, at(*millis));
            assert_eq!(outcome.is_ok(), *admitted, "{}: request {index}", case.name);
        }
    }
}

#[test]
fn no_window_sees_more_than_the_limit_and_its_tolerance_however_hosts_restart() {
    fn property(moves: Vec<(u8, u16, bool)>, told_ms: u16) -> bool {
        let tolerance = Tolerance {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 2_000.0,
        };
        let account = Account {
            tokens_per_second: Some(1_000),
            burst_tokens: Some(3_000),
            ..account()
        };
        let share = Share {
            heard: 1,
            known: 1,
            spread: 1,
            told_every: Duration::from_millis(told_ms.into()),
        };
        let start = Instant::now();
        let mut now = start;
        let mut ledger = Ledger::within(tolerance, now);
        let mut admitted: Vec<(Instant, u32)> = Vec::new();
        let (limit, largest) = ((8_000.0 + 3_000.0) * 1.1 + 2_000.0, 600);
        moves.into_iter().all(|(rest, tokens, restarts)| {
            now += Duration::from_millis(u64::from(rest) * 4);
            if restarts && tokens % 8 == 0 {
                ledger = Ledger::within(tolerance, now);
            }
            let tokens = u32::from(tokens) % largest;
            if ledger.admit(&account, tokens, share, now).is_ok() {
                admitted.push((now, tokens));
            }
            let recent = admitted
                .iter()
                .filter(|(at, _)| now.duration_since(*at) < tolerance.window);
            let seen: u32 = recent.map(|(_, tokens)| tokens).sum();
            // The request that overdraws the bucket may go beyond its part of the tolerance.
            f64::from(seen) <= limit
        })
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u16, bool)>, u16) -> bool);
}
