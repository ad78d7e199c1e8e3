//! Limits that backend servers advertise, under load.
//!
//! Guards against a server getting more than its limit in some window, and against a loaded pool leaving its limits
//! unused.

use std::collections::BTreeMap;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, End, ReportedLimit, Spec};
use quickcheck::{Arbitrary, Gen, TestResult};

use crate::common::{
    granted, impatient_offer, limit_notice, pool_with_free_slots as pool, spec, ticket,
};
use crate::seeded;

const TICK: Duration = Duration::from_millis(20);
/// Time after which an advertised limit must be kept.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Length of the windows over which a limit is checked; one may start at any time.
const WINDOW: Duration = Duration::from_secs(4);

/// A limit that a server advertises from a time on.
#[derive(Clone, Copy, Debug)]
struct Advertised {
    at: Duration,
    per_second: Option<f64>,
}

/// A load on servers that advertise limits.
#[derive(Clone, Debug)]
struct Load {
    /// What each server advertises, in chronological order.
    servers: Vec<Vec<Advertised>>,
    requests_per_second: f64,
    /// Durations of answers in milliseconds, used in turn.
    answers_ms: Vec<u64>,
    /// Times at which another host becomes the home, in milliseconds.
    moves_ms: Vec<u64>,
}

/// Simulated time of one run.
const RUN_TIME: Duration = Duration::from_secs(16);

impl Arbitrary for Load {
    fn arbitrary(g: &mut Gen) -> Self {
        let draw = |g: &mut Gen, below: u64| u64::arbitrary(g) % below;
        let servers = (0..=draw(g, 3)).map(|_| {
            let mut at = 0;
            let mut all = Vec::new();
            for _ in 0..=draw(g, 4) {
                at += 200 + draw(g, 5_000);
                // About one in six ends the limit; the others are from 0 to 10 requests/s.
                let tenths = u32::try_from(draw(g, 120)).expect("a small number");
                all.push(Advertised {
                    at: Duration::from_millis(at),
                    per_second: (tenths <= 100).then(|| f64::from(tenths) / 10.0),
                });
            }
            all
        });
        Self {
            servers: servers.collect(),
            requests_per_second: f64::from(u32::try_from(5 + draw(g, 60)).expect("small")),
            answers_ms: (0..4).map(|_| 5 + draw(g, 600)).collect(),
            moves_ms: (0..draw(g, 3)).map(|_| draw(g, 16_000)).collect(),
        }
    }
}

impl Load {
    /// Returns the limit that a server advertises at a time since the start.
    fn advertised(&self, server: usize, at: Duration) -> Option<f64> {
        limit_in_force(&self.servers[server], at)
    }

    /// Returns the most requests that a server may get in the window that starts at `from`.
    ///
    /// `None` where the server has no limit during a part of the window or of the `BINDS_AFTER` before it, or no answer
    /// had advertised one by `from`. A lower limit counts from the first answer that advertises it, since no host can
    /// know it earlier.
    fn allowed(&self, server: usize, from: Duration, received: &[Advertised]) -> Option<f64> {
        let steps = |from: Duration, length: Duration| {
            (0..length.as_millis() / TICK.as_millis())
                .map(move |step| from + TICK * u32::try_from(step).expect("few steps"))
        };
        let bound_since = from.checked_sub(BINDS_AFTER)?;
        let is_limited =
            steps(bound_since, BINDS_AFTER).all(|at| self.advertised(server, at).is_some());
        if !is_limited {
            return None;
        }
        let known = |at| limit_in_force(received, at);
        known(from)?;
        let limits = steps(from, WINDOW).map(|at| {
            let advertised = self.advertised(server, at)?;
            Some(advertised.max(known(at).unwrap_or(advertised)))
        });
        let sum: Option<f64> = limits.sum();
        sum.map(|sum| sum * TICK.as_secs_f64() * 1.5 + 5.0)
    }

    /// Runs the load; returns what was observed of each server.
    fn run(&self) -> BTreeMap<usize, Observation> {
        let begin = Instant::now();
        let count = u16::try_from(self.servers.len()).expect("few servers");
        let mut home = pool(count, begin);
        let mut last_reports: BTreeMap<usize, ReportedLimit> = BTreeMap::new();
        let mut running: Vec<(Duration, u64, usize)> = Vec::new();
        let mut observed: BTreeMap<usize, Observation> = BTreeMap::new();
        let (mut due_requests, mut sequence) = (0.0, 0);
        let mut at = Duration::ZERO;
        while at < RUN_TIME {
            at += TICK;
            let now = begin + at;
            let is_move = |ms: &&u64| (at - TICK..at).contains(&Duration::from_millis(**ms));
            if self.moves_ms.iter().any(|ms| is_move(&ms)) {
                home = pool(count, now);
                for (server, report) in &last_reports {
                    let server = listed(*server);
                    let notice = limit_notice(&server, report.clone());
                    home.apply_notice(&server.name, notice, now);
                }
            }
            let mut actions = home.tick(now);
            let (finished, unfinished) = running.into_iter().partition(|(end, ..)| *end <= at);
            running = unfinished;
            let finished: Vec<(Duration, u64, usize)> = finished;
            for (_, sequence, server) in finished {
                let advertised = self.advertised(server, at);
                observed
                    .entry(server)
                    .or_default()
                    .received
                    .push(Advertised {
                        at,
                        per_second: advertised,
                    });
                match advertised {
                    Some(per_second) => {
                        let report = ReportedLimit {
                            per_second,
                            received_at: now,
                            heard_by: "host-0".into(),
                        };
                        last_reports.insert(server, report);
                    }
                    None => {
                        last_reports.remove(&server);
                    }
                }
                actions.extend(home.apply_limit(&ticket(sequence), &name(server), advertised, now));
                actions.extend(home.finish(&ticket(sequence), End::Whole, now));
            }
            due_requests += self.requests_per_second * TICK.as_secs_f64();
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                sequence += 1;
                actions.extend(home.offer(impatient_offer(sequence, 0, now), now));
            }
            for action in actions {
                if let Action::Grant { ticket, server, .. } = action {
                    let number = server.trim_start_matches("server-");
                    let server: usize = number.parse().expect("a server's number");
                    let length = self.answers_ms.len() as u64;
                    let turn = usize::try_from(ticket.sequence % length).expect("small");
                    let end = at + Duration::from_millis(self.answers_ms[turn]);
                    running.push((end, ticket.sequence, server));
                    observed.entry(server).or_default().granted.push(at);
                }
            }
        }
        observed
    }
}

/// What was observed of a server.
#[derive(Default)]
struct Observation {
    /// When a request was granted to it.
    granted: Vec<Duration>,
    /// What its answers advertised, by the time of the answer.
    received: Vec<Advertised>,
}

/// Returns the limit in force at a time; `limits` is in chronological order.
fn limit_in_force(limits: &[Advertised], at: Duration) -> Option<f64> {
    let last = limits.iter().rev().find(|advertised| advertised.at <= at);
    last.and_then(|advertised| advertised.per_second)
}

fn listed(server: usize) -> Spec {
    spec(u16::try_from(server).expect("few servers"), 1)
}

fn name(server: usize) -> cypressvane::name::Name {
    listed(server).name
}

/// Counts the moments in the window that starts at `from`.
fn count_from(moments: &[Duration], from: Duration) -> usize {
    let within = |at: &&Duration| (from..from + WINDOW).contains(*at);
    moments.iter().filter(within).count()
}

/// Runs a load and checks that no window exceeds its limits.
///
/// # Errors
/// Describes the first window that does.
fn check(load: &Load) -> Result<(), String> {
    for (server, observed) in load.run() {
        for from in &observed.granted {
            let count = count_from(&observed.granted, *from);
            let total = f64::from(u32::try_from(count).expect("few requests"));
            let allowed = load.allowed(server, *from, &observed.received);
            if allowed.is_some_and(|allowed| total > allowed) {
                return Err(format!(
                    "server {server}: {count} requests in the window from {from:?}, {allowed:?} allowed: {load:?}"
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn no_window_exceeds_a_limit() {
    fn holds(load: Load) -> TestResult {
        check(&load).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    seeded::quickcheck()
        .tests(200)
        .quickcheck(holds as fn(Load) -> TestResult);
}

// Guards against a lower limit ignoring the requests that were sent before it was known.
#[test]
fn a_lowered_limit_counts_requests_sent_before_it_was_known() {
    let advertised = |at, per_second| Advertised {
        at: Duration::from_millis(at),
        per_second,
    };
    let falling = [
        advertised(2_794, Some(2.9)),
        advertised(5_207, Some(8.7)),
        advertised(8_396, Some(5.7)),
        advertised(9_002, Some(0.0)),
    ];
    let load = Load {
        servers: vec![
            vec![advertised(1_415, Some(9.5)), advertised(6_291, None)],
            falling.to_vec(),
            vec![advertised(201, None)],
        ],
        requests_per_second: 37.0,
        answers_ms: vec![162, 570, 600, 448],
        moves_ms: Vec::new(),
    };
    let granted = &load.run()[&1].granted;
    let first = granted.iter().find(|at| **at > falling[3].at);
    let count = count_from(granted, *first.expect("some are granted"));
    // A limit of 0 allows 5 requests in any window.
    assert!(count <= 5, "{granted:?}");
    check(&load).unwrap_or_else(|text| panic!("{text}"));
}

#[test]
fn two_homes_that_are_each_connected_to_half_of_the_hosts_keep_the_limit_together() {
    let mut now = Instant::now();
    let mut homes = [pool(1, now), pool(1, now)];
    let report = ReportedLimit {
        per_second: 6.0,
        received_at: now,
        heard_by: "host-0".into(),
    };
    for home in &mut homes {
        home.set_limit_share(0.5, now);
        let server = listed(0);
        home.apply_notice(&server.name, limit_notice(&server, report.clone()), now);
    }
    let (begin, mut moments) = (now, Vec::new());
    for sequence in 0..400 {
        now += TICK;
        for home in &mut homes {
            let actions = home.offer(impatient_offer(sequence, 0, now), now);
            moments.extend(granted(actions).iter().map(|_| now - begin));
        }
    }
    let most = moments.iter().map(|from| count_from(&moments, *from)).max();
    // 24 requests in 4 s at 6 requests/s, and the burst of each home.
    assert!(most.is_some_and(|most| most <= 28), "{most:?}");
}

#[test]
fn an_overloaded_pool_uses_its_limits() {
    for per_second in [0.5, 1.0, 1.7, 2.5, 5.0, 12.0, 40.0] {
        for servers in [1_usize, 3] {
            let advertised = Advertised {
                at: Duration::ZERO,
                per_second: Some(per_second),
            };
            let all = f64::from(u32::try_from(servers).expect("few servers")) * per_second;
            let load = Load {
                servers: vec![vec![advertised]; servers],
                requests_per_second: all * 2.0 + 5.0,
                answers_ms: vec![20, 100, 300],
                moves_ms: Vec::new(),
            };
            let served: usize = load
                .run()
                .values()
                .map(|observed| observed.granted.len())
                .sum();
            let served = f64::from(u32::try_from(served).expect("few requests"));
            let could = all * RUN_TIME.as_secs_f64();
            assert!(
                served >= 0.8 * could,
                "{servers} servers at {per_second}: {served} of {could}"
            );
        }
    }
}
