//! Limits that backend servers advertise in their answers, in requests a second.
//!
//! Guards against granting a server more than it advertises, or less than it could take.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, End, ReportedLimit};

use crate::common::{
    granted, granted_server, grants_and_refusals, impatient_offer, limit_notice, patient_offer,
    pool_with_free_slots as pool, spec, ticket,
};

const TICK: Duration = Duration::from_millis(20);

/// One step of a scenario with a pool of one server.
enum Step {
    /// Time advances by so many milliseconds.
    Advance(u64),
    /// A request is offered.
    Offer(u64),
    /// The answer to a request advertises that many requests a second, or no limit.
    Advertise(u64, Option<f64>),
    /// A request ends.
    Finish(u64),
    /// The pool takes over a request that another home granted.
    Adopt(u64),
    /// Another host reports a limit that it received so many milliseconds ago.
    ReportLimit(f64, u64),
    /// The host list has another address for the server.
    ChangeAddress,
    /// The server is added to the host list.
    AddServer,
    /// The home is connected to this fraction of the hosts.
    SetPart(f64),
    /// Exactly these requests have been granted up to now.
    ExpectGranted(&'static [u64]),
}

use Step::{
    AddServer, Adopt, Advance, Advertise, ChangeAddress, ExpectGranted, Finish, Offer,
    ReportLimit as Report, SetPart,
};

struct Scenario {
    name: &'static str,
    /// Whether the server is in the host list from the beginning.
    listed: bool,
    steps: &'static [Step],
}

#[test]
fn the_limit_follows_the_newest_answer() {
    let scenarios = [
        Scenario {
            name: "without a limit all requests are granted at once",
            listed: true,
            steps: &[Offer(1), Offer(2), Offer(3), ExpectGranted(&[1, 2, 3])],
        },
        Scenario {
            name: "a limit spaces the grants",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(2.0)),
                Offer(2),
                Offer(3),
                Advance(440),
                ExpectGranted(&[1]),
                Advance(80),
                ExpectGranted(&[1, 2]),
                Advance(500),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a lower limit applies at once, even if its request is older",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Advertise(2, Some(10.0)),
                Advertise(1, Some(1.0)),
                Offer(3),
                Advance(1900),
                ExpectGranted(&[1, 2]),
                Advance(120),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a higher limit applies only if its request was granted after the last change",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Advertise(1, Some(1.0)),
                Advertise(2, Some(100.0)),
                Offer(3),
                Offer(4),
                Advance(900),
                ExpectGranted(&[1, 2]),
                Advance(120),
                ExpectGranted(&[1, 2, 3]),
                Advertise(3, Some(100.0)),
                Advance(40),
                ExpectGranted(&[1, 2, 3, 4]),
            ],
        },
        Scenario {
            name: "an answer without a limit does not end one if its request is older",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Advertise(1, Some(1.0)),
                Advertise(2, None),
                Offer(3),
                Advance(900),
                ExpectGranted(&[1, 2]),
            ],
        },
        Scenario {
            name: "an answer without a limit ends one if its request is newer",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(1.0)),
                Offer(2),
                Offer(3),
                Advance(1_020),
                ExpectGranted(&[1, 2]),
                Advertise(2, None),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a repeated answer without a limit changes nothing",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, None),
                Advertise(1, None),
                Offer(2),
                ExpectGranted(&[1, 2]),
            ],
        },
        Scenario {
            name: "the time of a grant by another home is unknown, so its answer does not end a limit",
            listed: true,
            steps: &[
                Report(1.0, 0),
                Adopt(1),
                Advance(100),
                Advertise(1, None),
                Offer(2),
                Advance(840),
                ExpectGranted(&[]),
                Advance(80),
                ExpectGranted(&[2]),
            ],
        },
        Scenario {
            name: "a limit that another host received before this one ended is stale",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(1.0)),
                Offer(2),
                Advance(1_020),
                Advertise(2, None),
                Advance(100),
                Report(1.0, 200),
                Offer(3),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a limit that another host received after this one ended applies",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(1.0)),
                Offer(2),
                Advance(1_020),
                Advertise(2, None),
                Advance(300),
                Report(1.0, 200),
                Offer(3),
                ExpectGranted(&[1, 2]),
                Advance(1_020),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a server with a limit of 0 still gets occasional requests, by which it can lift it",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(0.0)),
                Offer(2),
                Offer(3),
                Advance(1_900),
                ExpectGranted(&[1]),
                Advance(120),
                ExpectGranted(&[1, 2]),
                Advertise(2, None),
                ExpectGranted(&[1, 2, 3]),
            ],
        },
        Scenario {
            name: "a server at another address has restarted",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(1.0)),
                Finish(1),
                ChangeAddress,
                Offer(2),
                ExpectGranted(&[1, 2]),
            ],
        },
        Scenario {
            name: "a limit is reported before its server is listed",
            listed: false,
            steps: &[
                Report(1.0, 100),
                AddServer,
                Offer(1),
                Advance(900),
                ExpectGranted(&[]),
                Advance(120),
                ExpectGranted(&[1]),
            ],
        },
        Scenario {
            name: "a home that hears from half of the hosts grants half of the limit",
            listed: true,
            steps: &[
                Offer(1),
                Advertise(1, Some(2.0)),
                SetPart(0.5),
                Offer(2),
                Advance(940),
                ExpectGranted(&[1]),
                Advance(80),
                ExpectGranted(&[1, 2]),
            ],
        },
    ];
    for scenario in scenarios {
        let found = run(&scenario);
        assert_eq!(found, Ok(()), "{}", scenario.name);
    }
}

/// Runs a scenario.
///
/// # Errors
/// Returns the requests granted so far where they differ from the expected ones.
fn run(scenario: &Scenario) -> Result<(), Vec<u64>> {
    let mut now = Instant::now();
    let mut pool = pool(u16::from(scenario.listed), now);
    let server = spec(0, 50);
    let mut granted_so_far = Vec::new();
    for step in scenario.steps {
        let actions = match step {
            Advance(millis) => {
                let mut actions = Vec::new();
                let end = now + Duration::from_millis(*millis);
                while now < end {
                    now += TICK;
                    actions.extend(pool.tick(now));
                }
                actions
            }
            Offer(sequence) => pool.offer(patient_offer(*sequence, 0, 100, now), now),
            Advertise(sequence, advertised) => {
                now += Duration::from_millis(1);
                pool.apply_limit(&ticket(*sequence), &server.name, *advertised, now)
            }
            Finish(sequence) => pool.finish(&ticket(*sequence), End::Whole, now),
            Adopt(sequence) => {
                pool.adopt(ticket(*sequence), &server.name, 100, true, now);
                Vec::new()
            }
            Report(per_second, ago) => {
                let report = ReportedLimit {
                    per_second: *per_second,
                    received_at: now.checked_sub(Duration::from_millis(*ago)).unwrap_or(now),
                    heard_by: "host-1".into(),
                };
                pool.apply_notice(&server.name, limit_notice(&server, report), now)
            }
            ChangeAddress => {
                let mut moved = spec(0, 50);
                moved.address.set_port(2_000);
                pool.set_servers(&[moved], now)
            }
            AddServer => pool.set_servers(std::slice::from_ref(&server), now),
            SetPart(part) => pool.set_limit_share(*part, now),
            ExpectGranted(expected) => {
                if granted_so_far != *expected {
                    return Err(granted_so_far);
                }
                Vec::new()
            }
        };
        granted_so_far.extend(granted(actions));
    }
    Ok(())
}

#[test]
fn under_a_limit_the_highest_tier_goes_first() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(patient_offer(0, 0, 100, now), now);
    pool.apply_limit(&ticket(0), &spec(0, 50).name, Some(2.0), now);
    for (sequence, rank) in [(1, 2), (2, 1), (3, 0)] {
        pool.offer(patient_offer(sequence, rank, 100, now), now);
    }
    let mut order = Vec::new();
    for _ in 0..100 {
        now += TICK;
        order.extend(granted(pool.tick(now)));
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn no_request_waits_for_a_limited_server_while_another_has_free_slots() {
    let mut now = Instant::now();
    let mut pool = pool(2, now);
    let first = pool.offer(impatient_offer(0, 0, now), now);
    let limited = granted_server(&first).expect("a server").into();
    pool.apply_limit(&ticket(0), &limited, Some(1.0), now);
    for sequence in 1..=40 {
        now += Duration::from_millis(50);
        let actions = pool.offer(impatient_offer(sequence, 0, now), now);
        assert_eq!(granted(actions), [sequence]);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
}

#[test]
fn a_request_beyond_the_limits_is_refused_with_the_limit_and_a_retry_time() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(impatient_offer(0, 0, now), now);
    pool.apply_limit(&ticket(0), &spec(0, 50).name, Some(5.0), now);
    let (mut served, mut refused) = (0, Vec::new());
    for sequence in 1..=100 {
        now += Duration::from_millis(50);
        for action in [
            pool.tick(now),
            pool.offer(impatient_offer(sequence, 0, now), now),
        ]
        .concat()
        {
            match action {
                Action::Grant { .. } => served += 1,
                Action::Refuse { ticket, reason } => refused.push((ticket.sequence, reason)),
            }
        }
    }
    // A limit of 5 requests/s allows 25 in 5 s, of which at least four fifths must be used.
    assert!((20..=28).contains(&served), "{served} served");
    let explained = refused.iter().filter(|(_, reason)| {
        reason.message.contains("5.0 requests a second") && reason.retry_after.is_some()
    });
    assert!(explained.count() > 0, "{refused:?}");
    // Waiting requests are refused as soon as their first token would be late, so few wait.
    assert!(pool.waiting() <= 6, "{} wait", pool.waiting());
}

#[test]
fn a_refused_request_is_never_granted() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(patient_offer(0, 0, 100, now), now);
    pool.apply_limit(&ticket(0), &spec(0, 50).name, Some(0.5), now);
    let mut last = patient_offer(1, 0, 100, now);
    last.first_token_deadline = now + Duration::from_millis(500);
    let (granted, refused) = grants_and_refusals(pool.offer(last, now));
    assert!(granted.is_empty(), "{granted:?}");
    // At 0.5 requests/s its turn comes in 2 s, after its deadline.
    assert_eq!(refused.len(), 1, "{refused:?}");
    now += Duration::from_secs(3);
    assert!(pool.tick(now).is_empty());
}
