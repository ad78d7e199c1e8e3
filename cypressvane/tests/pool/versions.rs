//! Offers that only servers of some versions may run, in one queue with all others.
//!
//! Guards against refusals while servers of another version are free, and against streams that go on at another version.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, Constraint, End, Offer, Pool, Spec};

use crate::common::{
    granted, granted_server, grants_and_refusals, impatient_offer, patient_offer, spec, ticket,
};

fn only(version: &str) -> Constraint {
    Constraint::Only(Some(version.into()))
}

fn server(index: u16, version: &str) -> Spec {
    Spec {
        version: Some(version.into()),
        ..spec(index, 1)
    }
}

fn tried(index: u16, version: &str) -> Spec {
    Spec {
        tried: true,
        ..server(index, version)
    }
}

fn pool(specs: &[Spec], now: Instant) -> Pool {
    let mut pool = Pool::new("echo".into(), 1_000);
    pool.set_servers(specs, now);
    pool
}

/// Fills all servers that offers without a constraint may use.
fn fill(pool: &mut Pool, slots: u64, now: Instant) {
    for sequence in 0..slots {
        let actions = pool.offer(patient_offer(1_000 + sequence, 0, 10, now), now);
        assert_eq!(granted(actions), [1_000 + sequence]);
    }
}

#[test]
fn offers_are_granted_servers_of_their_versions() {
    struct Case {
        name: &'static str,
        servers: Vec<Spec>,
        versions: Constraint,
        granted: Option<&'static str>,
    }
    let mixed = || vec![server(0, "v1"), server(1, "v2")];
    let cases = [
        Case {
            name: "any",
            servers: vec![server(1, "v2")],
            versions: Constraint::Any,
            granted: Some("server-1"),
        },
        Case {
            name: "only one version",
            servers: mixed(),
            versions: only("v2"),
            granted: Some("server-1"),
        },
        Case {
            name: "only a version that has no server",
            servers: mixed(),
            versions: only("v3"),
            granted: None,
        },
        Case {
            name: "only servers that state no version",
            servers: vec![server(0, "v1"), spec(1, 1)],
            versions: Constraint::Only(None),
            granted: Some("server-1"),
        },
        Case {
            name: "any, and the only server is tried",
            servers: vec![tried(0, "v2")],
            versions: Constraint::Any,
            granted: None,
        },
        Case {
            name: "the version that is tried",
            servers: vec![server(0, "v1"), tried(1, "v2")],
            versions: only("v2"),
            granted: Some("server-1"),
        },
        Case {
            name: "any but one, at a home that does not know that it is tried",
            servers: mixed(),
            versions: Constraint::Except("v1".into()),
            granted: Some("server-1"),
        },
    ];
    for case in cases {
        for is_early in [false, true] {
            let now = Instant::now();
            let mut pool = pool(&case.servers, now);
            let offer = if is_early {
                impatient_offer(1, 0, now)
            } else {
                patient_offer(1, 0, 10, now)
            };
            let versions = case.versions.clone();
            let actions = pool.offer(Offer { versions, ..offer }, now);
            assert_eq!(
                granted_server(&actions).as_deref(),
                case.granted,
                "{}, {is_early}",
                case.name
            );
            let is_refused = matches!(actions.as_slice(), [Action::Refuse { .. }]);
            assert_eq!(is_refused, case.granted.is_none(), "{}", case.name);
        }
    }
}

/// Servers of a version that has just joined get only requests that name it, as long as others may take work.
#[test]
fn a_version_that_has_just_joined_serves_if_all_others_leave() {
    struct Case {
        name: &'static str,
        joined: Spec,
        end: End,
        served_by: Option<&'static str>,
    }
    let settling = || Spec {
        settling: true,
        ..server(1, "v2")
    };
    let cases = [
        Case {
            name: "the other server leaves",
            joined: settling(),
            end: End::Leaving,
            served_by: Some("server-1"),
        },
        Case {
            name: "the other server stays",
            joined: settling(),
            end: End::Whole,
            served_by: Some("server-0"),
        },
        Case {
            name: "the other server leaves, and the version is ordered",
            joined: tried(1, "v2"),
            end: End::Leaving,
            served_by: None,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let servers = [server(0, "v1"), case.joined];
        let mut pool = pool(&servers, now);
        let first = pool.offer(patient_offer(1, 0, 10, now), now);
        assert_eq!(granted_server(&first).as_deref(), Some("server-0"));
        assert!(pool.offer(patient_offer(2, 0, 10, now), now).is_empty());
        let name = case.name;
        // What waits is served as well as what comes, and a list that has both versions changes nothing.
        let waiting = granted_server(&pool.finish(&ticket(1), case.end, now));
        assert_eq!(waiting.as_deref(), case.served_by, "{name}");
        pool.finish(&ticket(2), End::Whole, now);
        let [old, joined] = servers;
        let leaving = case.end == End::Leaving;
        pool.set_servers(&[Spec { leaving, ..old }, joined], now);
        let next = granted_server(&pool.offer(impatient_offer(3, 0, now), now));
        assert_eq!(next.as_deref(), case.served_by, "{name}");
    }
}

/// The end of a grant may be lost while its home is passed over. The request may be restricted to another version by the
/// time it is offered to that home again.
#[test]
fn a_grant_is_repeated_only_to_an_offer_that_may_use_it() {
    struct Case {
        name: &'static str,
        versions: Constraint,
        again: Constraint,
        granted: &'static str,
    }
    let except_v1 = || Constraint::Except("v1".into());
    let cases = [
        Case {
            name: "the offer came twice",
            versions: Constraint::Any,
            again: Constraint::Any,
            granted: "server-0",
        },
        Case {
            name: "restricted to the version of the grant",
            versions: Constraint::Any,
            again: only("v1"),
            granted: "server-0",
        },
        Case {
            name: "restricted to another version",
            versions: Constraint::Any,
            again: only("v2"),
            granted: "server-1",
        },
        Case {
            name: "restricted to another version after an order changed",
            versions: only("v1"),
            again: except_v1(),
            granted: "server-1",
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool(&[server(0, "v1")], now);
        let offer = |versions: &Constraint| Offer {
            versions: versions.clone(),
            ..patient_offer(1, 0, 10, now)
        };
        let first = pool.offer(offer(&case.versions), now);
        assert_eq!(granted_server(&first).as_deref(), Some("server-0"));
        pool.set_servers(&[server(0, "v1"), server(1, "v2")], now);
        let again = pool.offer(offer(&case.again), now);
        let name = case.name;
        assert_eq!(
            granted_server(&again).as_deref(),
            Some(case.granted),
            "{name}"
        );
        assert_eq!(pool.running(), 1, "{name}");
    }
}

#[test]
fn offers_that_wait_for_a_version_do_not_hold_up_those_behind_them() {
    /// More than one decision examines.
    const WAITING: u64 = 100;
    for is_early in [false, true] {
        let now = Instant::now();
        let mut pool = pool(&[server(0, "v1"), server(1, "v2")], now);
        fill(&mut pool, 2, now);
        let offer = |sequence| {
            let offer = if is_early {
                impatient_offer(sequence, 0, now)
            } else {
                patient_offer(sequence, 0, 10, now)
            };
            Offer {
                mark: None,
                ..offer
            }
        };
        for sequence in 0..WAITING {
            let versions = only("v2");
            pool.offer(
                Offer {
                    versions,
                    ..offer(sequence)
                },
                now,
            );
        }
        pool.offer(offer(500), now);
        assert!(pool.is_waiting(&ticket(500)));
        // One of the two servers becomes free; those that wait for the other one stay.
        let at_first = pool.finish(&ticket(1_000), End::Whole, now);
        let at_second = pool.finish(&ticket(1_001), End::Whole, now);
        let mut all = granted(at_first);
        all.extend(granted(at_second));
        all.sort_unstable();
        assert_eq!(all, [0, 500], "early: {is_early}");
    }
}

#[test]
fn a_stream_that_goes_on_is_not_starved_by_new_work() {
    let now = Instant::now();
    let mut pool = pool(&[server(0, "v1"), server(1, "v2")], now);
    fill(&mut pool, 2, now);
    let versions = only("v2");
    pool.offer(
        Offer {
            versions,
            ..patient_offer(1, 0, 10, now)
        },
        now,
    );
    for sequence in 2..50 {
        pool.offer(patient_offer(sequence, 0, 10, now), now);
    }
    // Whichever server becomes free first, the offer that came first gets the first one that it may use.
    let mut order = granted(pool.finish(&ticket(1_000), End::Whole, now));
    order.extend(granted(pool.finish(&ticket(1_001), End::Whole, now)));
    assert!(order.contains(&1), "{order:?}");
}

#[test]
fn waiting_offers_are_refused_when_their_version_has_lost_its_last_server() {
    let now = Instant::now();
    let mut pool = pool(&[server(0, "v1"), server(1, "v2")], now);
    fill(&mut pool, 2, now);
    let versions = only("v2");
    let offer = Offer {
        versions,
        ..patient_offer(1, 0, 10, now)
    };
    assert!(pool.offer(offer, now).is_empty());
    assert!(pool.offer(patient_offer(2, 0, 10, now), now).is_empty());
    let (granted, refused) = grants_and_refusals(pool.set_servers(&[server(0, "v1")], now));
    assert!(granted.is_empty(), "{granted:?}");
    let refused: Vec<u64> = refused.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!(refused, [1]);
    assert!(pool.is_waiting(&ticket(2)));
}

#[test]
fn forecasts_count_the_servers_that_may_run_an_offer() {
    const RUNS: u64 = 40;
    let start = Instant::now();
    let servers: Vec<Spec> = (0..8)
        .map(|index| server(index, if index == 0 { "v2" } else { "v1" }))
        .collect();
    let mut pool = pool(&servers, start);
    // Eight servers of one slot end a request every 50 ms: 20 a second, of which the version gets an eighth.
    let mut now = start;
    let mut next = 0;
    let mut running = Vec::new();
    for _ in 0..RUNS {
        while running.len() < servers.len() {
            running.extend(granted(pool.offer(impatient_offer(next, 0, now), now)));
            next += 1;
        }
        now += Duration::from_millis(50);
        pool.finish(&ticket(running.remove(0)), End::Whole, now);
    }
    while running.len() < servers.len() {
        running.extend(granted(pool.offer(impatient_offer(next, 0, now), now)));
        next += 1;
    }
    let waits = |pool: &mut Pool, versions: Constraint, count: u64| {
        let first = 10_000 + u64::from(versions != Constraint::Any) * 1_000;
        for sequence in first..first + count {
            let offer = Offer {
                versions: versions.clone(),
                ..impatient_offer(sequence, 0, now)
            };
            pool.offer(offer, now);
        }
        let sequences = first..first + count;
        sequences
            .filter(|sequence| pool.is_waiting(&ticket(*sequence)))
            .count()
    };
    let constrained = waits(&mut pool, only("v2"), 12);
    assert!(constrained < 6, "{constrained} wait for one server");
    assert!(constrained > 0, "none waits");
}
