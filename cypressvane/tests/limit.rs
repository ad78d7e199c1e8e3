//! The limits of client accounts, with a simulated clock.

mod seeded;

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::fleet::Account;
use cypressvane::limit::{InFlight, Ledger, Over, Share, Tolerance};

/// The share of a host that is the only one.
const ALONE: Share = Share {
    represented: 1,
    total: 1,
};

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
    share: Share,
    /// Milliseconds since the start, tokens, and whether the request is admitted.
    requests: &'static [(u64, u32, bool)],
}

#[test]
fn a_limit_holds_over_time() {
    let cases = [
        Case {
            name: "no limit",
            account: account(),
            share: ALONE,
            requests: &[(0, 1_000_000, true), (0, 1_000_000, true)],
        },
        Case {
            name: "requests a second",
            account: Account {
                requests_per_second: Some(2),
                ..account()
            },
            share: ALONE,
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
            name: "a host's own share",
            account: Account {
                requests_per_second: Some(14),
                ..account()
            },
            share: Share {
                represented: 1,
                total: 7,
            },
            requests: &[(0, 1, true), (0, 1, true), (0, 1, false)],
        },
        Case {
            name: "a home that hears from all hosts hands out the whole limit",
            account: Account {
                tokens_per_second: Some(1_000),
                ..account()
            },
            share: Share {
                represented: 2,
                total: 2,
            },
            requests: &[(0, 900, true), (0, 200, true), (0, 1, false)],
        },
        Case {
            name: "a home that does not hear from a host leaves that host its share",
            account: Account {
                tokens_per_second: Some(1_000),
                ..account()
            },
            share: Share {
                represented: 1,
                total: 2,
            },
            requests: &[(0, 500, true), (0, 1, false), (500, 200, true)],
        },
        Case {
            name: "tokens a second: a long request overdraws the bucket once and delays the next ones",
            account: Account {
                tokens_per_second: Some(100),
                ..account()
            },
            share: ALONE,
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
        let mut ledger = Ledger::new(None, begin);
        for (index, (millis, tokens, admitted)) in case.requests.iter().enumerate() {
            let now = begin + Duration::from_millis(*millis);
            let result = ledger.try_take(&case.account, *tokens, case.share, now);
            assert_eq!(
                result.is_ok(),
                *admitted,
                "{}: request {index}: {result:?}",
                case.name
            );
        }
    }
}

struct InFlightCase {
    name: &'static str,
    limit: Option<u32>,
    hosts: u32,
    /// Requests that have started, and how many of them have ended.
    started: u32,
    ended: u32,
    admitted: bool,
}

#[test]
fn requests_in_flight_are_bounded() {
    let cases = [
        InFlightCase {
            name: "no limit",
            limit: None,
            hosts: 1,
            started: 100,
            ended: 0,
            admitted: true,
        },
        InFlightCase {
            name: "the first",
            limit: Some(1),
            hosts: 1,
            started: 0,
            ended: 0,
            admitted: true,
        },
        InFlightCase {
            name: "one too many",
            limit: Some(1),
            hosts: 1,
            started: 1,
            ended: 0,
            admitted: false,
        },
        InFlightCase {
            name: "an ended request frees its place",
            limit: Some(1),
            hosts: 1,
            started: 1,
            ended: 1,
            admitted: true,
        },
        InFlightCase {
            name: "a share is never zero",
            limit: Some(1),
            hosts: 7,
            started: 0,
            ended: 0,
            admitted: true,
        },
        InFlightCase {
            name: "a share of one",
            limit: Some(1),
            hosts: 7,
            started: 1,
            ended: 0,
            admitted: false,
        },
    ];
    for case in cases {
        let account = Account {
            in_flight: case.limit,
            ..account()
        };
        let mut in_flight = InFlight::default();
        (0..case.started).for_each(|_| in_flight.enter(&account.name));
        (0..case.ended).for_each(|_| in_flight.leave(&account.name));
        let expected = if case.admitted {
            Ok(())
        } else {
            Err(Over::InFlight)
        };
        let found = in_flight.check(&account, case.hosts);
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[test]
fn the_returned_wait_is_sufficient() {
    fn property(rate: u8, before: u8) -> bool {
        let rate = u32::from(rate) + 1;
        let account = Account {
            requests_per_second: Some(rate),
            ..account()
        };
        let begin = Instant::now();
        let mut ledger = Ledger::new(None, begin);
        for _ in 0..before {
            let _ = ledger.try_take(&account, 1, ALONE, begin);
        }
        match ledger.try_take(&account, 1, ALONE, begin) {
            Ok(()) => true,
            // A microsecond covers the rounding of durations.
            Err(Over::Requests(wait)) => {
                let later = begin + wait + Duration::from_micros(1);
                ledger.try_take(&account, 1, ALONE, later).is_ok()
            }
            Err(_) => false,
        }
    }
    seeded::quickcheck().quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn idle_accounts_are_forgotten_and_busy_ones_kept() {
    let begin = Instant::now();
    let later = begin + Duration::from_secs(60);
    let limited = |name: &str| Account {
        name: name.into(),
        requests_per_second: Some(10),
        ..account()
    };
    let mut ledger = Ledger::new(None, begin);
    let mut spend = |name, at| ledger.try_take(&limited(name), 1, ALONE, at);
    spend("idle", begin).expect("within the limit");
    spend("busy", begin).expect("within the limit");
    spend("busy", later).expect("within the limit");
    ledger.sweep(later);
    assert_eq!(ledger.len(), 1);
}

/// A step of a scenario at an account's home.
#[derive(Clone, Copy)]
enum Step {
    /// A request of so many tokens arrives; `true` if it is admitted.
    Spend(u32, bool),
    /// Another host reports the tokens that it gave out from its own share.
    Debit(u32),
    /// The set of hosts that may be homes changes; `true` if the account's home moves.
    Rehome(bool),
}

struct Scenario {
    name: &'static str,
    /// Steps with their times in milliseconds since the start.
    steps: &'static [(u64, Step)],
}

#[test]
fn a_home_debits_what_other_hosts_handed_out_and_starts_empty_when_it_moves() {
    use Step::{Debit, Rehome, Spend};
    let cases = [
        Scenario {
            name: "a debit by another host lowers the level",
            steps: &[(500, Debit(600)), (500, Spend(1, false))],
        },
        Scenario {
            name: "a debit may overdraw the bucket, which has to refill first",
            steps: &[
                (500, Debit(2_500)),
                (1_500, Spend(1, false)),
                (3_500, Spend(1, true)),
            ],
        },
        Scenario {
            name: "a new home starts empty, since it does not know what the previous one handed out",
            steps: &[
                (5_000, Rehome(true)),
                (5_000, Spend(1, false)),
                (5_001, Spend(1, true)),
            ],
        },
        Scenario {
            name: "a host that becomes the home again starts empty",
            steps: &[
                (5_000, Spend(100, true)),
                (5_100, Rehome(true)),
                (9_000, Rehome(true)),
                (9_000, Spend(1, false)),
                (9_100, Spend(1, true)),
            ],
        },
        Scenario {
            name: "a home that stays keeps its level",
            steps: &[
                (5_000, Spend(100, true)),
                (5_100, Rehome(false)),
                (5_100, Spend(100, true)),
            ],
        },
        Scenario {
            name: "a home that stays keeps its debt",
            steps: &[
                (5_000, Spend(9_000, true)),
                (5_100, Rehome(false)),
                (5_200, Spend(1, false)),
            ],
        },
    ];
    let tolerance = Tolerance {
        window: Duration::from_secs(8),
        overage: 0.0,
        slack: 0.0,
    };
    let account = Account {
        tokens_per_second: Some(1_000),
        ..account()
    };
    for case in cases {
        let begin = Instant::now();
        let mut ledger = Ledger::new(Some(tolerance), begin);
        for (index, (millis, step)) in case.steps.iter().enumerate() {
            let now = begin + Duration::from_millis(*millis);
            match *step {
                Spend(tokens, admitted) => {
                    let found = ledger.try_take(&account, tokens, ALONE, now);
                    assert_eq!(found.is_ok(), admitted, "{}: step {index}", case.name);
                }
                Debit(tokens) => ledger.debit(&account, tokens, ALONE, now),
                Rehome(moved) => ledger.reset_moved(|_| moved, now),
            }
        }
    }
}

#[test]
fn no_window_exceeds_the_limit_and_its_tolerance_while_homes_move() {
    fn property(requests: Vec<(u8, u16, bool)>) -> bool {
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
        let mut now = Instant::now();
        // Two hosts, of which the first is the account's home.
        let mut ledgers = [0, 1].map(|_| Ledger::new(Some(tolerance), now));
        let mut home = 0;
        let mut admitted: Vec<(Instant, u32)> = Vec::new();
        let (limit, largest) = ((8_000.0 + 3_000.0) * 1.1 + 2_000.0, 600);
        requests.into_iter().all(|(pause, tokens, moved)| {
            now += Duration::from_millis(u64::from(pause) * 4);
            if moved && tokens % 8 == 0 {
                home = 1 - home;
                ledgers
                    .iter_mut()
                    .for_each(|ledger| ledger.reset_moved(|_| true, now));
            }
            let tokens = u32::from(tokens) % largest;
            let share = Share {
                represented: 2,
                total: 2,
            };
            if ledgers[home].try_take(&account, tokens, share, now).is_ok() {
                admitted.push((now, tokens));
            }
            let recent = admitted
                .iter()
                .filter(|(at, _)| now.duration_since(*at) < tolerance.window);
            let in_window: u32 = recent.map(|(_, tokens)| tokens).sum();
            // The bucket gives out only a part of the tolerance; the rest covers the request that overdraws it.
            f64::from(in_window) <= limit
        })
    }
    seeded::quickcheck().quickcheck(property as fn(Vec<(u8, u16, bool)>) -> bool);
}

#[test]
fn unused_tokens_are_returned_up_to_the_size_of_the_bucket() {
    struct Case {
        name: &'static str,
        /// Tokens of the first request, and whether it was sent.
        first: (u32, bool),
        /// Whether a second request is admitted at once.
        second: bool,
    }
    let cases = [
        Case {
            name: "sent",
            first: (300, true),
            second: false,
        },
        Case {
            name: "not sent",
            first: (300, false),
            second: true,
        },
    ];
    let account = Account {
        tokens_per_second: Some(100),
        ..account()
    };
    for case in cases {
        let now = Instant::now();
        let mut ledger = Ledger::new(None, now);
        let (tokens, sent) = case.first;
        assert_eq!(ledger.try_take(&account, tokens, ALONE, now), Ok(()));
        if !sent {
            ledger.give_back(&account, tokens, ALONE, now);
        }
        let second = ledger.try_take(&account, 300, ALONE, now);
        assert_eq!(second.is_ok(), case.second, "{}: {second:?}", case.name);
    }
    // Tokens returned twice do not raise the level above the size of the bucket.
    let now = Instant::now();
    let mut ledger = Ledger::new(None, now);
    ledger.give_back(&account, 1_000, ALONE, now);
    ledger.give_back(&account, 1_000, ALONE, now);
    assert_eq!(ledger.try_take(&account, 100, ALONE, now), Ok(()));
    assert!(ledger.try_take(&account, 1, ALONE, now).is_err());
}
