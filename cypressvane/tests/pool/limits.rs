//! Guards against: a server that names how many requests a second it takes is granted more, or less than it could be.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, End, Pool, Told};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::common::{granted, hurried, patient, server_of, spec, split, ticket};

const TICK: Duration = Duration::from_millis(20);
/// Time from which a limit that was named binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Any span of this length counts.
const WINDOW: Duration = Duration::from_secs(4);

/// A pool of servers with places enough.
fn pool(servers: u16, now: Instant) -> Pool {
    let mut pool = Pool::new("register-model".into(), 10_000);
    let specs: Vec<_> = (0..servers).map(|index| spec(index, 50)).collect();
    pool.set_servers(&specs, now);
    pool
}

/// One thing that happens to a pool of one server.
enum Step {
    /// So many milliseconds pass.
    Pass(u64),
    /// A request is offered.
    Offer(u64),
    /// The answer to a request names that many requests a second, or none.
    Names(u64, Option<f64>),
    /// A request ends.
    Ends(u64),
    /// Another home's request is taken over.
    Adopt(u64),
    /// Another host heard a limit so many milliseconds ago.
    Told(f64, u64),
    /// The server is listed at another address.
    Moves,
    /// The server is listed for the first time.
    Listed,
    /// The home hears this part of the hosts.
    Part(f64),
    /// Requests of these numbers are granted, at any time up to now.
    Granted(&'static [u64]),
}

use Step::{Adopt, Ends, Granted, Listed, Moves, Names, Offer, Part, Pass, Told as Tells};

struct History {
    name: &'static str,
    /// Whether the server is in the list from the beginning.
    listed: bool,
    steps: &'static [Step],
}

#[test]
fn a_limit_is_what_the_newest_answer_says() {
    let histories = [
        History {
            name: "without a limit all go at once",
            listed: true,
            steps: &[Offer(1), Offer(2), Offer(3), Granted(&[1, 2, 3])],
        },
        History {
            name: "a limit spaces them",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(2.0)),
                Offer(2),
                Offer(3),
                Pass(440),
                Granted(&[1]),
                Pass(80),
                Granted(&[1, 2]),
                Pass(500),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "less counts at once, though its request is older",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Names(2, Some(10.0)),
                Names(1, Some(1.0)),
                Offer(3),
                Pass(900),
                Granted(&[1, 2]),
                Pass(120),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "more counts only from a request that was granted later",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Names(1, Some(1.0)),
                Names(2, Some(100.0)),
                Offer(3),
                Offer(4),
                Pass(900),
                Granted(&[1, 2]),
                Pass(120),
                Granted(&[1, 2, 3]),
                Names(3, Some(100.0)),
                Pass(40),
                Granted(&[1, 2, 3, 4]),
            ],
        },
        History {
            name: "an earlier answer without a limit ends none",
            listed: true,
            steps: &[
                Offer(1),
                Offer(2),
                Names(1, Some(1.0)),
                Names(2, None),
                Offer(3),
                Pass(900),
                Granted(&[1, 2]),
            ],
        },
        History {
            name: "a later answer without a limit ends it",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(1.0)),
                Offer(2),
                Offer(3),
                Pass(1_020),
                Granted(&[1, 2]),
                Names(2, None),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "an end heard again changes nothing",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, None),
                Names(1, None),
                Offer(2),
                Granted(&[1, 2]),
            ],
        },
        History {
            name: "of a request of another home it is not known when it was sent",
            listed: true,
            steps: &[
                Tells(1.0, 0),
                Adopt(1),
                Pass(100),
                Names(1, None),
                Offer(2),
                Pass(840),
                Granted(&[]),
                Pass(80),
                Granted(&[2]),
            ],
        },
        History {
            name: "what another host heard before the limit ended is old",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(1.0)),
                Offer(2),
                Pass(1_020),
                Names(2, None),
                Pass(100),
                Tells(1.0, 200),
                Offer(3),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "what another host heard since then counts",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(1.0)),
                Offer(2),
                Pass(1_020),
                Names(2, None),
                Pass(300),
                Tells(1.0, 200),
                Offer(3),
                Granted(&[1, 2]),
                Pass(1_020),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "a server that takes none is asked now and then, and can say otherwise",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(0.0)),
                Offer(2),
                Offer(3),
                Pass(1_900),
                Granted(&[1]),
                Pass(120),
                Granted(&[1, 2]),
                Names(2, None),
                Granted(&[1, 2, 3]),
            ],
        },
        History {
            name: "a server at another address was started again",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(1.0)),
                Ends(1),
                Moves,
                Offer(2),
                Granted(&[1, 2]),
            ],
        },
        History {
            name: "a limit is known before its server is listed",
            listed: false,
            steps: &[
                Tells(1.0, 100),
                Listed,
                Offer(1),
                Pass(900),
                Granted(&[]),
                Pass(120),
                Granted(&[1]),
            ],
        },
        History {
            name: "a home that hears half of the hosts gives half",
            listed: true,
            steps: &[
                Offer(1),
                Names(1, Some(2.0)),
                Part(0.5),
                Offer(2),
                Pass(940),
                Granted(&[1]),
                Pass(80),
                Granted(&[1, 2]),
            ],
        },
    ];
    for history in histories {
        let found = play(&history);
        assert_eq!(found, Ok(()), "{}", history.name);
    }
}

/// Plays a history; tells which requests were granted where others should be.
fn play(history: &History) -> Result<(), Vec<u64>> {
    let mut now = Instant::now();
    let mut pool = pool(u16::from(history.listed), now);
    let server = spec(0, 50);
    let mut all = Vec::new();
    for step in history.steps {
        let actions = match step {
            Pass(millis) => {
                let mut actions = Vec::new();
                let end = now + Duration::from_millis(*millis);
                while now < end {
                    now += TICK;
                    actions.extend(pool.tick(now));
                }
                actions
            }
            Offer(sequence) => pool.offer(patient(*sequence, 0, 100, now), now),
            Names(sequence, named) => {
                now += Duration::from_millis(1);
                pool.hear_limit(&ticket(*sequence), &server.name, *named, now)
            }
            Ends(sequence) => pool.finish(&ticket(*sequence), End::Whole, now),
            Adopt(sequence) => {
                pool.adopt(ticket(*sequence), &server.name, 100, true, now);
                Vec::new()
            }
            Tells(per_second, ago) => {
                let told = Told {
                    per_second: *per_second,
                    heard: now.checked_sub(Duration::from_millis(*ago)).unwrap_or(now),
                    heard_by: "host-1".into(),
                };
                pool.hear_earlier_limit(&server.name, told, now)
            }
            Moves => {
                let mut moved = spec(0, 50);
                moved.address.set_port(2_000);
                pool.set_servers(&[moved], now)
            }
            Listed => pool.set_servers(std::slice::from_ref(&server), now),
            Part(part) => pool.share(*part, now),
            Granted(expected) => {
                if all != *expected {
                    return Err(all);
                }
                Vec::new()
            }
        };
        all.extend(granted(actions));
    }
    Ok(())
}

#[test]
fn the_most_urgent_go_first_where_a_limit_holds_all_back() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(patient(0, 0, 100, now), now);
    pool.hear_limit(&ticket(0), &spec(0, 50).name, Some(2.0), now);
    for (sequence, rank) in [(1, 2), (2, 1), (3, 0)] {
        pool.offer(patient(sequence, rank, 100, now), now);
    }
    let mut order = Vec::new();
    for _ in 0..100 {
        now += TICK;
        order.extend(granted(pool.tick(now)));
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn nobody_waits_for_a_limited_server_while_another_has_room() {
    let mut now = Instant::now();
    let mut pool = pool(2, now);
    let first = pool.offer(hurried(0, 0, now), now);
    let limited = server_of(&first).expect("a server").into();
    pool.hear_limit(&ticket(0), &limited, Some(1.0), now);
    for sequence in 1..=40 {
        now += Duration::from_millis(50);
        let actions = pool.offer(hurried(sequence, 0, now), now);
        assert_eq!(granted(actions), [sequence]);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
}

#[test]
fn a_request_that_limits_leave_no_turn_is_refused_at_once_and_told_why() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(hurried(0, 0, now), now);
    pool.hear_limit(&ticket(0), &spec(0, 50).name, Some(5.0), now);
    let (mut served, mut refused) = (0, Vec::new());
    for sequence in 1..=100 {
        now += Duration::from_millis(50);
        for action in [pool.tick(now), pool.offer(hurried(sequence, 0, now), now)].concat() {
            match action {
                Action::Grant { .. } => served += 1,
                Action::Refuse { ticket, reason } => refused.push((ticket.sequence, reason)),
            }
        }
    }
    // 5 s at 5 a second, of which four fifths are to be used.
    assert!((20..=28).contains(&served), "{served} served");
    let told = refused.iter().filter(|(_, reason)| {
        reason.message.contains("5.0 requests a second") && reason.retry_after.is_some()
    });
    assert!(told.count() > 0, "{refused:?}");
    // Those that wait longest are refused when a first token would come too late, and no later.
    assert!(pool.waiting() <= 6, "{} wait", pool.waiting());
}

/// A limit from a moment on.
#[derive(Clone, Copy, Debug)]
struct Named {
    at: Duration,
    per_second: Option<f64>,
}

/// A load on servers that name limits.
#[derive(Clone, Debug)]
struct Load {
    /// What each server names, in the order of time.
    servers: Vec<Vec<Named>>,
    requests_per_second: f64,
    /// How long answers take, in milliseconds, in turn.
    answers_ms: Vec<u64>,
    /// When another host becomes the home, in milliseconds.
    moves_ms: Vec<u64>,
}

/// How long a load is played.
const PLAYED: Duration = Duration::from_secs(16);

impl Arbitrary for Load {
    fn arbitrary(g: &mut Gen) -> Self {
        let draw = |g: &mut Gen, most: u64| u64::arbitrary(g) % most;
        let servers = (0..=draw(g, 3)).map(|_| {
            let mut at = 0;
            let mut all = Vec::new();
            for _ in 0..=draw(g, 4) {
                at += 200 + draw(g, 5_000);
                // One in six ends the limit; the others lie between none and ten a second.
                let tenths = u32::try_from(draw(g, 120)).expect("a small number");
                all.push(Named {
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
    /// What a server names at a time since the beginning.
    fn named(&self, server: usize, at: Duration) -> Option<f64> {
        let before = self.servers[server]
            .iter()
            .rev()
            .find(|named| named.at <= at);
        before.and_then(|named| named.per_second)
    }

    /// What a server may get in the window from a time on; `None` where it is without a limit for some of it, or
    /// named one for less than it takes to bind.
    fn allowed(&self, server: usize, from: Duration) -> Option<f64> {
        let steps = |from: Duration, length: Duration| {
            (0..length.as_millis() / TICK.as_millis())
                .map(move |step| from + TICK * u32::try_from(step).expect("few steps"))
        };
        let begun = from.checked_sub(BINDS_AFTER)?;
        let is_limited = steps(begun, BINDS_AFTER).all(|at| self.named(server, at).is_some());
        if !is_limited {
            return None;
        }
        let limits = steps(from, WINDOW).map(|at| self.named(server, at));
        let sum: Option<f64> = limits.sum();
        sum.map(|sum| sum * TICK.as_secs_f64() * 1.5 + 5.0)
    }

    /// Plays it; gives when each server was granted a request.
    fn play(&self) -> BTreeMap<usize, Vec<Duration>> {
        let begin = Instant::now();
        let count = u16::try_from(self.servers.len()).expect("few servers");
        let mut homes = VecDeque::from([pool(count, begin)]);
        let mut heard: BTreeMap<usize, Told> = BTreeMap::new();
        let mut running: Vec<(Duration, u64, usize)> = Vec::new();
        let mut arrivals: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
        let (mut owed, mut sequence) = (0.0, 0);
        let mut at = Duration::ZERO;
        while at < PLAYED {
            at += TICK;
            let now = begin + at;
            let is_move = |ms: &&u64| (at - TICK..at).contains(&Duration::from_millis(**ms));
            if self.moves_ms.iter().any(|ms| is_move(&ms)) {
                let mut home = pool(count, now);
                for (server, told) in &heard {
                    home.hear_earlier_limit(&name(*server), told.clone(), now);
                }
                homes[0] = home;
            }
            let home = &mut homes[0];
            let mut actions = home.tick(now);
            let (over, still) = running.into_iter().partition(|(end, ..)| *end <= at);
            running = still;
            let over: Vec<(Duration, u64, usize)> = over;
            for (_, sequence, server) in over {
                let named = self.named(server, at);
                match named {
                    Some(per_second) => {
                        let told = Told {
                            per_second,
                            heard: now,
                            heard_by: "host-0".into(),
                        };
                        heard.insert(server, told);
                    }
                    None => {
                        heard.remove(&server);
                    }
                }
                actions.extend(home.hear_limit(&ticket(sequence), &name(server), named, now));
                actions.extend(home.finish(&ticket(sequence), End::Whole, now));
            }
            owed += self.requests_per_second * TICK.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                sequence += 1;
                actions.extend(home.offer(hurried(sequence, 0, now), now));
            }
            for action in actions {
                if let Action::Grant { ticket, server, .. } = action {
                    let number = server.trim_start_matches("server-");
                    let server: usize = number.parse().expect("a server's number");
                    let length = self.answers_ms.len() as u64;
                    let turn = usize::try_from(ticket.sequence % length).expect("small");
                    let end = at + Duration::from_millis(self.answers_ms[turn]);
                    running.push((end, ticket.sequence, server));
                    arrivals.entry(server).or_default().push(at);
                }
            }
        }
        arrivals
    }
}

fn name(server: usize) -> cypressvane::name::Name {
    spec(u16::try_from(server).expect("few servers"), 1).name
}

/// How many moments lie in the window from one of them on.
fn count_from(moments: &[Duration], from: Duration) -> usize {
    let within = |at: &&Duration| (from..from + WINDOW).contains(*at);
    moments.iter().filter(within).count()
}

#[test]
fn no_window_has_more_than_a_limit_allows() {
    fn holds(load: Load) -> TestResult {
        for (server, moments) in load.play() {
            for from in &moments {
                let count = count_from(&moments, *from);
                let most = f64::from(u32::try_from(count).expect("few requests"));
                if load
                    .allowed(server, *from)
                    .is_some_and(|allowed| most > allowed)
                {
                    let text = format!("server {server} gets {count} from {from:?} on: {load:?}");
                    return TestResult::error(text);
                }
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(Load) -> TestResult);
}

#[test]
fn two_homes_that_hear_one_half_of_the_hosts_each_keep_to_one_limit() {
    let mut now = Instant::now();
    let mut homes = [pool(1, now), pool(1, now)];
    let told = Told {
        per_second: 6.0,
        heard: now,
        heard_by: "host-0".into(),
    };
    for home in &mut homes {
        home.share(0.5, now);
        home.hear_earlier_limit(&name(0), told.clone(), now);
    }
    let (begin, mut moments) = (now, Vec::new());
    for sequence in 0..400 {
        now += TICK;
        for home in &mut homes {
            let actions = home.offer(hurried(sequence, 0, now), now);
            moments.extend(granted(actions).iter().map(|_| now - begin));
        }
    }
    let most = moments.iter().map(|from| count_from(&moments, *from)).max();
    // 4 s at 6 a second, and what each home may give at once.
    assert!(most.is_some_and(|most| most <= 28), "{most:?}");
}

#[test]
fn a_pool_under_more_demand_uses_its_limits() {
    for per_second in [0.5, 1.0, 1.7, 2.5, 5.0, 12.0, 40.0] {
        for servers in [1_usize, 3] {
            let named = Named {
                at: Duration::ZERO,
                per_second: Some(per_second),
            };
            let all = f64::from(u32::try_from(servers).expect("few servers")) * per_second;
            let load = Load {
                servers: vec![vec![named]; servers],
                requests_per_second: all * 2.0 + 5.0,
                answers_ms: vec![20, 100, 300],
                moves_ms: Vec::new(),
            };
            let served: usize = load.play().values().map(Vec::len).sum();
            let served = f64::from(u32::try_from(served).expect("few requests"));
            let could = all * PLAYED.as_secs_f64();
            assert!(
                served >= 0.8 * could,
                "{servers} servers at {per_second}: {served} of {could}"
            );
        }
    }
}

#[test]
fn a_refused_one_is_not_among_the_granted() {
    let mut now = Instant::now();
    let mut pool = pool(1, now);
    pool.offer(patient(0, 0, 100, now), now);
    pool.hear_limit(&ticket(0), &spec(0, 50).name, Some(0.5), now);
    let mut last = patient(1, 0, 100, now);
    last.deadline = now + Duration::from_millis(500);
    let (granted, refused) = split(pool.offer(last, now));
    assert!(granted.is_empty(), "{granted:?}");
    // Its turn comes in 2 s, which its deadline does not allow.
    assert_eq!(refused.len(), 1, "{refused:?}");
    now += Duration::from_secs(3);
    assert!(pool.tick(now).is_empty());
}
