//! Backend servers whose answers say that they leave, or that they want no requests for a while.
//!
//! Guards against granting such a server requests, and against leaving it without requests afterwards.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, End, Notice, Pool, Receipt, Rest, Spec};
use cypressvane::refusal::Code;
use quickcheck::{Arbitrary, Gen, TestResult};

use crate::common::{
    granted, granted_server, grants_and_refusals, impatient_offer, patient_offer, spec, ticket,
};
use crate::seeded;

const TICK: Duration = Duration::from_millis(20);

/// Returns the host list entry of `server-{index}` with a start time.
fn listed(index: u16, started_ms: Option<u64>) -> Spec {
    Spec {
        started_ms,
        ..spec(index, 50)
    }
}

fn receipt(at: Instant) -> Receipt {
    Receipt {
        at,
        by: "host-1".into(),
    }
}

/// Returns the notice of a server that is leaving.
fn leaving(server: &Spec, now: Instant) -> Notice {
    Notice {
        leaving: Some(receipt(now)),
        ..Notice::empty(server.incarnation())
    }
}

/// Returns the notice of a server that wants no requests for `rest_ms`.
fn resting(server: &Spec, rest_ms: u64, now: Instant) -> Notice {
    Notice {
        rest: Some(Rest {
            until: now + Duration::from_millis(rest_ms),
            receipt: receipt(now),
        }),
        ..Notice::empty(server.incarnation())
    }
}

/// One step of a scenario with `server-0`.
enum Step {
    /// The host list has the server, with this start time, and as leaving or not.
    List(Option<u64>, bool),
    /// The host list has the server at another address.
    ListElsewhere,
    /// The host list does not have the server.
    Unlist,
    /// An answer of the incarnation with this start time says that it leaves.
    Leave(Option<u64>),
    /// Whether a request is granted the server.
    ExpectUsed(bool),
}

use Step::{ExpectUsed, Leave, List, ListElsewhere, Unlist};

struct Scenario {
    name: &'static str,
    steps: &'static [Step],
}

/// Guards against a statement of leaving being undone by anything but a new incarnation.
#[test]
fn a_server_that_says_it_leaves_gets_nothing_until_it_restarts() {
    let scenarios = [
        Scenario {
            name: "the host list still has it, and says so again",
            steps: &[
                List(Some(1), false),
                ExpectUsed(true),
                Leave(Some(1)),
                ExpectUsed(false),
                List(Some(1), false),
                ExpectUsed(false),
            ],
        },
        Scenario {
            name: "an older list takes back that it leaves",
            steps: &[
                List(Some(1), false),
                Leave(Some(1)),
                List(Some(1), true),
                List(Some(1), false),
                ExpectUsed(false),
            ],
        },
        Scenario {
            name: "a later start",
            steps: &[
                List(Some(1), false),
                Leave(Some(1)),
                List(Some(2), false),
                ExpectUsed(true),
            ],
        },
        Scenario {
            name: "an answer from before the restart is heard late",
            steps: &[
                List(Some(1), false),
                List(Some(2), false),
                Leave(Some(1)),
                ExpectUsed(true),
            ],
        },
        Scenario {
            name: "the host list still has the earlier start",
            steps: &[
                List(Some(1), false),
                Leave(Some(2)),
                List(Some(2), false),
                ExpectUsed(false),
                List(Some(3), false),
                ExpectUsed(true),
            ],
        },
        Scenario {
            name: "heard before the server is listed",
            steps: &[Leave(Some(1)), List(Some(1), false), ExpectUsed(false)],
        },
        Scenario {
            name: "the entry is missing for a time",
            steps: &[
                List(Some(1), false),
                Leave(Some(1)),
                Unlist,
                List(Some(1), false),
                ExpectUsed(false),
            ],
        },
        Scenario {
            name: "without a start time, an entry that comes back is a new server",
            steps: &[
                List(None, false),
                Leave(None),
                List(None, false),
                ExpectUsed(false),
                Unlist,
                List(None, false),
                ExpectUsed(true),
            ],
        },
        Scenario {
            name: "another process at another address",
            steps: &[
                List(None, false),
                Leave(None),
                ListElsewhere,
                ExpectUsed(true),
            ],
        },
    ];
    for scenario in scenarios {
        let mut now = Instant::now();
        let mut pool = Pool::new("register-model".into(), 100);
        for (sequence, step) in (0..).zip(scenario.steps) {
            now += TICK;
            match step {
                List(started_ms, is_leaving) => {
                    let server = Spec {
                        leaving: *is_leaving,
                        ..listed(0, *started_ms)
                    };
                    pool.set_servers(&[server], now);
                }
                ListElsewhere => {
                    let mut moved = listed(0, None);
                    moved.address.set_port(2_000);
                    pool.set_servers(&[moved], now);
                }
                Unlist => {
                    pool.set_servers(&[], now);
                }
                Leave(started_ms) => {
                    let server = listed(0, *started_ms);
                    pool.apply_notice(&server.name, leaving(&server, now), now);
                }
                ExpectUsed(is_used) => {
                    let actions = pool.offer(patient_offer(sequence, 0, 100, now), now);
                    assert_eq!(!granted(actions).is_empty(), *is_used, "{}", scenario.name);
                    pool.finish(&ticket(sequence), End::Whole, now);
                }
            }
        }
    }
}

/// Guards against sending a server requests in the time in which it wants none.
#[test]
fn a_rest_lasts_until_its_latest_end_and_ends_with_a_trial() {
    struct Case {
        name: &'static str,
        /// Times in milliseconds at which the server states a rest, with its length.
        rests: &'static [(u64, u64)],
        /// How a request that was granted before ends, and when.
        end: Option<(u64, End)>,
        ends_ms: u64,
    }
    let cases = [
        Case {
            name: "one rest",
            rests: &[(0, 1_000)],
            end: None,
            ends_ms: 1_000,
        },
        Case {
            name: "a shorter one later",
            rests: &[(0, 1_000), (100, 200)],
            end: None,
            ends_ms: 1_000,
        },
        Case {
            name: "a longer one later",
            rests: &[(0, 1_000), (500, 1_000)],
            end: None,
            ends_ms: 1_500,
        },
        Case {
            name: "the refusal itself comes after",
            rests: &[(0, 1_000)],
            end: Some((20, End::Full)),
            ends_ms: 1_000,
        },
        Case {
            name: "an earlier request fails",
            rests: &[(0, 1_000)],
            end: Some((20, End::Unreachable)),
            ends_ms: 1_000,
        },
        Case {
            name: "an earlier request is answered",
            rests: &[(0, 1_000)],
            end: Some((20, End::Whole)),
            ends_ms: 1_000,
        },
    ];
    for case in cases {
        let begin = Instant::now();
        let server = listed(0, Some(1));
        let mut pool = Pool::new("register-model".into(), 100);
        pool.set_servers(std::slice::from_ref(&server), begin);
        pool.offer(patient_offer(0, 0, 100, begin), begin);
        let mut granted_at = Vec::new();
        for ms in (0..3_000).step_by(20) {
            let now = begin + Duration::from_millis(ms);
            for (_, rest_ms) in case.rests.iter().filter(|(at, _)| *at == ms) {
                pool.apply_notice(&server.name, resting(&server, *rest_ms, now), now);
            }
            if let Some((_, end)) = case.end.filter(|(at, _)| *at == ms) {
                pool.finish(&ticket(0), end, now);
            }
            if ms == 40 {
                pool.finish(&ticket(0), End::Whole, now);
                pool.offer(patient_offer(1, 0, 100, now), now);
                pool.offer(patient_offer(2, 0, 100, now), now);
            }
            granted_at.extend(granted(pool.tick(now)).iter().map(|id| (*id, ms)));
        }
        // One request tries the server, and the other waits for its first token.
        assert_eq!(granted_at, [(1, case.ends_ms)], "{}", case.name);
        let now = begin + Duration::from_secs(3);
        assert_eq!(granted(pool.note_first_token(&ticket(1), now)), [2]);
    }
}

/// Guards against a rest being forgotten with the entry of its server.
#[test]
fn a_rest_outlasts_an_entry_that_is_missing_for_a_time() {
    let now = Instant::now();
    let server = listed(0, Some(1));
    let mut pool = Pool::new("register-model".into(), 100);
    pool.set_servers(std::slice::from_ref(&server), now);
    pool.apply_notice(&server.name, resting(&server, 1_000, now), now);
    pool.set_servers(&[], now);
    pool.set_servers(std::slice::from_ref(&server), now);
    assert_eq!(pool.servers(), 0);
    pool.tick(now + Duration::from_millis(1_000));
    assert_eq!(pool.servers(), 1);
}

/// Guards against holding requests that cannot be served, and against callers who come back in vain or all at once.
#[test]
fn while_all_servers_rest_requests_are_refused_at_once_or_wait_if_they_stay_on_time() {
    struct Case {
        name: &'static str,
        rest_ms: u64,
        is_refused: bool,
    }
    // The objective of an impatient offer is 800 ms.
    let cases = [
        Case {
            name: "a rest that is longer than the objective",
            rest_ms: 3_000,
            is_refused: true,
        },
        Case {
            name: "a rest that is longer than any caller waits",
            rest_ms: 120_000,
            is_refused: true,
        },
        Case {
            name: "a rest that is shorter than the objective",
            rest_ms: 300,
            is_refused: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let servers = [listed(0, Some(1)), listed(1, Some(1))];
        let mut pool = Pool::new("register-model".into(), 100);
        pool.set_servers(&servers, now);
        for server in &servers {
            pool.apply_notice(&server.name, resting(server, case.rest_ms, now), now);
        }
        let (mut refused, mut returns) = (0, Vec::new());
        for sequence in 0..10 {
            let actions = pool.offer(impatient_offer(sequence, 0, now), now);
            let (granted, refusals) = grants_and_refusals(actions);
            assert!(granted.is_empty(), "{}", case.name);
            for (_, reason) in refusals {
                refused += 1;
                returns.extend(reason.retry_after);
            }
        }
        assert_eq!(
            refused,
            if case.is_refused { 10 } else { 0 },
            "{}",
            case.name
        );
        let rest = Duration::from_millis(case.rest_ms);
        assert!(
            returns.iter().all(|wait| *wait >= rest),
            "{}: {returns:?}",
            case.name
        );
        returns.sort();
        returns.dedup();
        assert_eq!(returns.len(), refused, "{}: {returns:?}", case.name);
    }
}

/// Guards against telling a caller that waits for long to come back while all servers still rest.
#[test]
fn a_refused_patient_caller_comes_back_after_the_rest() {
    let now = Instant::now();
    let server = listed(0, Some(1));
    let mut pool = Pool::new("register-model".into(), 100);
    pool.set_servers(std::slice::from_ref(&server), now);
    pool.apply_notice(&server.name, resting(&server, 120_000, now), now);
    let (_, refused) = grants_and_refusals(pool.offer(patient_offer(1, 0, 100, now), now));
    let waits: Vec<_> = refused
        .iter()
        .map(|(_, reason)| reason.retry_after)
        .collect();
    assert!(
        waits.len() == 1 && waits[0] >= Some(Duration::from_secs(120)),
        "{waits:?}"
    );
}

/// Guards against holding requests of a pool whose servers all leave by their own statement.
#[test]
fn while_all_servers_leave_requests_are_refused_at_once() {
    let now = Instant::now();
    let server = listed(0, Some(1));
    let mut pool = Pool::new("register-model".into(), 100);
    pool.set_servers(std::slice::from_ref(&server), now);
    pool.apply_notice(&server.name, leaving(&server, now), now);
    let (_, refused) = grants_and_refusals(pool.offer(impatient_offer(1, 0, now), now));
    let reasons: Vec<_> = refused.iter().map(|(_, reason)| reason).collect();
    assert!(
        matches!(reasons[..], [reason] if reason.code == Code::NoServer && reason.retry_after.is_some()),
        "{reasons:?}"
    );
}

/// Something that happens to a pool of `SERVERS` servers.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The host list is read; the server at the index is listed as leaving or not.
    List(u16, bool),
    /// The server restarts, and the host list shows it.
    Restart(u16),
    /// The server says that it leaves.
    Leave(u16),
    /// The server wants no requests for that many milliseconds.
    Rest(u16, u64),
    /// A granted request ends.
    End(u8),
    /// Another home takes over, and a host repeats what it has heard.
    Move,
    /// Time passes, in milliseconds.
    Pass(u64),
}

const SERVERS: u16 = 3;

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let server = u16::arbitrary(g) % SERVERS;
        match u8::arbitrary(g) % 12 {
            0 => Self::List(server, bool::arbitrary(g)),
            1 => Self::Restart(server),
            2 => Self::Leave(server),
            3 | 4 => Self::Rest(server, u64::arbitrary(g) % 3_000),
            5 => Self::Move,
            6..=8 => Self::End(u8::arbitrary(g)),
            _ => Self::Pass(u64::arbitrary(g) % 400),
        }
    }
}

/// What is true of a server.
#[derive(Clone, Debug)]
struct Truth {
    spec: Spec,
    notice: Notice,
}

/// Returns the first grant of a server that wanted no requests, or `Ok` if there was none.
fn check(events: &[Event]) -> Result<(), String> {
    let mut now = Instant::now();
    let mut truth: Vec<Truth> = (0..SERVERS)
        .map(|index| {
            let spec = listed(index, Some(1));
            let notice = Notice::empty(spec.incarnation());
            Truth { spec, notice }
        })
        .collect();
    let specs = |truth: &[Truth]| -> Vec<Spec> { truth.iter().map(|t| t.spec.clone()).collect() };
    let new_home = || Pool::new("register-model".into(), 100);
    let mut pool = new_home();
    pool.set_servers(&specs(&truth), now);
    let mut running: Vec<u64> = Vec::new();
    for (sequence, event) in (0..).zip(events) {
        now += TICK;
        let mut actions: Vec<Action> = Vec::new();
        match *event {
            Event::List(index, is_leaving) => {
                truth[usize::from(index)].spec.leaving = is_leaving;
                actions.extend(pool.set_servers(&specs(&truth), now));
            }
            Event::Restart(index) => {
                let server = &mut truth[usize::from(index)];
                server.spec.started_ms = server.spec.started_ms.map(|started| started + 1);
                server.notice = Notice::empty(server.spec.incarnation());
                actions.extend(pool.set_servers(&specs(&truth), now));
            }
            Event::Leave(index) => {
                let server = &mut truth[usize::from(index)];
                server.notice.leaving = Some(receipt(now));
                let notice = leaving(&server.spec, now);
                actions.extend(pool.apply_notice(&server.spec.name, notice, now));
            }
            Event::Rest(index, rest_ms) => {
                let server = &mut truth[usize::from(index)];
                let notice = resting(&server.spec, rest_ms, now);
                let until = |notice: &Notice| notice.rest.as_ref().map(|rest| rest.until);
                if until(&notice) > until(&server.notice) {
                    server.notice.rest.clone_from(&notice.rest);
                }
                actions.extend(pool.apply_notice(&server.spec.name, notice, now));
            }
            Event::End(draw) => {
                if running.is_empty() {
                    continue;
                }
                let ends = [
                    End::Whole,
                    End::Full,
                    End::Unreachable,
                    End::Broken,
                    End::Unused,
                ];
                let ended = running.swap_remove(usize::from(draw) % running.len());
                let end = ends[usize::from(draw) % ends.len()];
                actions.extend(pool.finish(&ticket(ended), end, now));
            }
            Event::Move => {
                pool = new_home();
                // Notices arrive before or after the host list.
                let is_listed_first = sequence % 2 == 0;
                if is_listed_first {
                    pool.set_servers(&specs(&truth), now);
                }
                for server in &truth {
                    pool.apply_notice(&server.spec.name, server.notice.clone(), now);
                }
                pool.set_servers(&specs(&truth), now);
                running.clear();
            }
            Event::Pass(ms) => {
                now += Duration::from_millis(ms);
                actions.extend(pool.tick(now));
            }
        }
        actions.extend(pool.offer(patient_offer(sequence, 0, 100, now), now));
        while let Some(server) = granted_server(&actions) {
            let barred = truth.iter().find(|truth| *truth.spec.name == *server);
            if barred.is_some_and(|truth| truth.notice.bars_requests(now)) {
                return Err(format!("{server} is granted at {event:?}: {events:?}"));
            }
            if let Action::Grant { ticket, .. } = actions.remove(0) {
                running.push(ticket.sequence);
            }
        }
    }
    Ok(())
}

#[test]
fn no_server_is_granted_a_request_that_it_does_not_want() {
    fn holds(events: Vec<Event>) -> TestResult {
        check(&events).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    seeded::quickcheck()
        .tests(400)
        .quickcheck(holds as fn(Vec<Event>) -> TestResult);
}
