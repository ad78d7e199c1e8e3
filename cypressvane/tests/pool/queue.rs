//! The queue of a pool: order, shedding, deadlines and failing servers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, End, Offer, Pool, Spec};
use cypressvane::refusal::Code;
use quickcheck::{Arbitrary, Gen};

use crate::common::{granted, granted_server, patient_offer as offer, spec, ticket};
use crate::seeded;

fn pool(servers: u16, slots: u32, waiting_max: usize, now: Instant) -> Pool {
    let mut pool = Pool::new("echo".into(), waiting_max);
    let specs: Vec<Spec> = (0..servers).map(|index| spec(index, slots)).collect();
    assert!(pool.set_servers(&specs, now).is_empty());
    pool
}

fn refused(actions: &[Action]) -> Vec<(u64, Code)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { ticket, reason } => Some((ticket.sequence, reason.code)),
        Action::Grant { .. } => None,
    };
    actions.iter().filter_map(refusal).collect()
}

struct Queued {
    rank: usize,
    priority: i64,
    deadline_s: u64,
}

#[test]
fn offers_are_ordered_by_tier_then_policy_priority_then_deadline() {
    let waiting = [
        Queued {
            rank: 2,
            priority: 9,
            deadline_s: 10,
        },
        Queued {
            rank: 1,
            priority: 0,
            deadline_s: 50,
        },
        Queued {
            rank: 1,
            priority: 0,
            deadline_s: 20,
        },
        Queued {
            rank: 1,
            priority: 5,
            deadline_s: 50,
        },
        Queued {
            rank: 0,
            priority: -9,
            deadline_s: 50,
        },
    ];
    let order = [4, 3, 2, 1, 0];
    let now = Instant::now();
    let mut pool = pool(1, 1, 100, now);
    assert_eq!(granted(pool.offer(offer(100, 0, 1, now), now)), [100]);
    for (index, queued) in (0..).zip(&waiting) {
        let offer = Offer {
            rank: queued.rank,
            priority: queued.priority,
            first_token_deadline: now + Duration::from_secs(queued.deadline_s),
            ..offer(index, 0, 1, now)
        };
        assert!(pool.offer(offer, now).is_empty());
    }
    let mut running = 100;
    for expected in order {
        let actions = pool.finish(&ticket(running), End::Whole, now);
        assert_eq!(granted(actions), [expected]);
        running = expected;
    }
}

#[test]
fn a_full_queue_sheds_the_last_of_the_lowest_tier() {
    let now = Instant::now();
    let cases = [
        // Ranks of the waiting offers, rank of the new offer, sequence number of the shed one.
        (vec![0, 1, 2], 0, 2),
        (vec![0, 1, 1], 0, 2),
        (vec![0, 0, 0], 1, 3),
        (vec![0, 0, 0], 0, 3),
        (vec![2, 1, 0], 1, 0),
    ];
    for (waiting, rank, shed) in cases {
        let mut pool = pool(1, 1, 3, now);
        pool.offer(offer(100, 0, 1, now), now);
        for (sequence, rank) in (0..).zip(&waiting) {
            assert!(pool.offer(offer(sequence, *rank, 1, now), now).is_empty());
        }
        let actions = pool.offer(offer(3, rank, 1, now), now);
        assert_eq!(
            refused(&actions),
            [(shed, Code::Overloaded)],
            "{waiting:?} then {rank}"
        );
    }
}

#[test]
fn a_repeated_offer_is_idempotent() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 10, now);
    let first = pool.offer(offer(1, 0, 1, now), now);
    assert_eq!(
        pool.offer(offer(1, 0, 1, now), now),
        first,
        "the grant is repeated"
    );
    assert!(pool.offer(offer(2, 0, 1, now), now).is_empty());
    assert!(pool.offer(offer(2, 0, 1, now), now).is_empty());
    assert_eq!((pool.waiting(), pool.running()), (1, 1));
}

#[test]
fn an_offer_that_cannot_be_met_is_refused_before_it_runs() {
    let now = Instant::now();
    let mut empty = Pool::new("echo".into(), 10);
    let actions = empty.offer(offer(1, 0, 1, now), now);
    assert_eq!(refused(&actions), [(1, Code::NoServer)]);
    let mut pool = pool(1, 1, 10, now);
    let late = Offer {
        first_token_deadline: now + Duration::from_secs(1),
        ..offer(1, 0, 400_000, now)
    };
    assert_eq!(
        refused(&pool.offer(late, now)),
        [(1, Code::DeadlineUnreachable)]
    );
    pool.offer(offer(2, 0, 1, now), now);
    let short = Offer {
        first_token_deadline: now + Duration::from_secs(1),
        ..offer(3, 0, 1, now)
    };
    assert!(pool.offer(short, now).is_empty());
    let actions = pool.tick(now + Duration::from_secs(2));
    assert_eq!(refused(&actions), [(3, Code::DeadlinePassed)]);
}

#[test]
fn the_prefill_backlog_of_a_server_is_bounded_by_the_first_token_objective() {
    let now = Instant::now();
    // The prefill rate is assumed to be 4,000 tokens/s at first: half of 460 ms is 920 tokens.
    let mut pool = pool(1, 32, 100, now);
    for sequence in 0..9 {
        assert_eq!(
            granted(pool.offer(offer(sequence, 0, 100, now), now)),
            [sequence]
        );
    }
    assert!(pool.offer(offer(9, 0, 100, now), now).is_empty());
    let actions = pool.note_first_token(&ticket(0), now + Duration::from_millis(25));
    assert_eq!(granted(actions), [9]);
}

#[test]
fn a_slow_server_gets_fewer_requests() {
    let begin = Instant::now();
    let mut pool = pool(2, 32, 100, begin);
    let mut counts = [0; 2];
    let mut now = begin;
    for sequence in 0..60 {
        let actions = pool.offer(offer(sequence, 0, 200, now), now);
        let Some(Action::Grant { server, .. }) = actions.first() else {
            panic!("an empty pool grants at once");
        };
        let slow = &**server == "server-0";
        counts[usize::from(!slow)] += u32::from(sequence >= 10);
        let time = if slow { 1500 } else { 30 };
        now += Duration::from_millis(time);
        pool.note_first_token(&ticket(sequence), now);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
    assert!(
        counts[0] * 10 < counts[1],
        "slow {}, fast {}",
        counts[0],
        counts[1]
    );
}

#[test]
fn an_offer_whose_time_runs_out_in_the_queue_is_refused_as_deadline_passed() {
    let deadline = Duration::from_millis(400);
    // Whether the slot becomes free before the deadline, and by how many milliseconds before or after it.
    // A first token takes at least 5 ms.
    let cases = [(true, 3), (true, 1), (true, 0), (false, 1), (false, 20)];
    for (before, millis) in cases {
        let start = Instant::now();
        let mut pool = pool(1, 1, 10, start);
        pool.offer(offer(1, 0, 1, start), start);
        for sequence in [2, 3] {
            let waiting = Offer {
                first_token_deadline: start + deadline,
                ..offer(sequence, 0, 1, start)
            };
            assert!(pool.offer(waiting, start).is_empty());
        }
        let offset = Duration::from_millis(millis);
        let freed = if before {
            start + deadline - offset
        } else {
            start + deadline + offset
        };
        let mut actions = pool.finish(&ticket(1), End::Whole, freed);
        actions.extend(pool.tick(start + deadline + Duration::from_millis(1)));
        let expected = [(2, Code::DeadlinePassed), (3, Code::DeadlinePassed)];
        assert_eq!(refused(&actions), expected, "{before} {millis}");
    }
}

/// Returns a pool of a server with free slots and a live one that is full, so that the first is not the only one.
fn pool_beside_a_full_server(now: Instant) -> Pool {
    let mut pool = pool(0, 0, 100, now);
    pool.set_servers(&[spec(0, 8), spec(1, 1)], now);
    let mut on_first_server = Vec::new();
    for sequence in 100.. {
        let actions = pool.offer(offer(sequence, 0, 1, now), now);
        if granted_server(&actions).as_deref() == Some("server-1") {
            break;
        }
        on_first_server.push(sequence);
    }
    for sequence in on_first_server {
        pool.finish(&ticket(sequence), End::Unused, now);
    }
    pool
}

struct FailureCase {
    name: &'static str,
    ends: &'static [End],
    is_usable: bool,
}

#[test]
fn a_server_gets_no_requests_after_repeated_failures_or_when_unreachable_or_leaving() {
    let cases = [
        FailureCase {
            name: "one broken answer",
            ends: &[End::Broken],
            is_usable: true,
        },
        FailureCase {
            name: "three in a row",
            ends: &[End::Broken, End::Broken, End::Broken],
            is_usable: false,
        },
        FailureCase {
            name: "a complete answer in between",
            ends: &[End::Broken, End::Broken, End::Whole, End::Broken],
            is_usable: true,
        },
        FailureCase {
            name: "connection refused",
            ends: &[End::Unreachable],
            is_usable: false,
        },
        FailureCase {
            name: "the server is leaving",
            ends: &[End::Leaving],
            is_usable: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool_beside_a_full_server(now);
        for (sequence, end) in (0..).zip(case.ends) {
            assert_eq!(
                granted(pool.offer(offer(sequence, 0, 1, now), now)),
                [sequence]
            );
            pool.finish(&ticket(sequence), *end, now);
        }
        let actions = pool.offer(offer(50, 0, 1, now), now);
        assert_eq!(
            granted(actions).len(),
            usize::from(case.is_usable),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_pool_recovers_after_all_its_servers_failed() {
    let now = Instant::now();
    let mut pool = pool(1, 8, 100, now);
    pool.offer(offer(1, 0, 1, now), now);
    pool.finish(&ticket(1), End::Unreachable, now);
    assert!(
        pool.offer(offer(2, 0, 1, now), now).is_empty(),
        "the offer waits until the server is tried again"
    );
    let short_deadline = Offer {
        first_token_deadline: now + Duration::from_millis(100),
        ..offer(3, 0, 1, now)
    };
    assert_eq!(
        refused(&pool.offer(short_deadline, now)),
        [(3, Code::DeadlineUnreachable)]
    );
    let later = now + Duration::from_secs(1);
    pool.offer(offer(4, 0, 1, later), later);
    assert_eq!(
        (pool.running(), pool.waiting()),
        (1, 1),
        "one request while the server is on trial"
    );
    let actions = pool.finish(&ticket(2), End::Whole, later);
    assert_eq!(granted(actions), [4]);
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let now = Instant::now();
    let mut pool = pool(1, 8, 100, now);
    pool.offer(offer(1, 0, 1, now), now);
    pool.set_servers(
        &[Spec {
            leaving: true,
            ..spec(0, 8)
        }],
        now,
    );
    assert!(granted(pool.offer(offer(2, 0, 1, now), now)).is_empty());
    pool.set_servers(&[], now);
    assert_eq!(pool.running(), 1, "running requests are kept");
}

#[test]
fn lost_grants_and_requests_of_a_lost_holder_are_released() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut pool = pool(1, 2, 100, now);
    pool.offer(offer(1, 0, 1, now), now);
    pool.offer(offer(2, 0, 1, now), now);
    pool.offer(offer(3, 0, 1, now), now);
    let age = Duration::from_secs(2);
    assert!(
        pool.reconcile(&"host-0".into(), 1, &[1], age, now)
            .is_empty(),
        "the grant is too recent to count as lost"
    );
    assert_eq!(
        granted(pool.reconcile(&"host-0".into(), 1, &[1], age, later)),
        [3]
    );
    pool.forget(&"host-0".into(), 1, later);
    assert_eq!(
        pool.running(),
        2,
        "requests of the same incarnation are kept"
    );
    pool.forget(&"host-0".into(), 2, later);
    assert_eq!((pool.running(), pool.waiting()), (0, 0));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Offer { rank: usize, prompt_tokens: u32 },
    FirstToken(u8),
    Finish(u8, End),
    Withdraw(u8),
    Pass(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let ends = [End::Whole, End::Unused, End::Broken, End::Unreachable];
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Offer {
                rank: usize::from(u8::arbitrary(g) % 4),
                prompt_tokens: u32::from(u16::arbitrary(g)),
            },
            5 => Self::FirstToken(u8::arbitrary(g)),
            6 | 7 => Self::Finish(u8::arbitrary(g), *g.choose(&ends).expect("not empty")),
            8 => Self::Withdraw(u8::arbitrary(g)),
            _ => Self::Pass(u16::arbitrary(g) % 2000),
        }
    }
}

/// Reference model of a pool that checks its invariants after each event.
struct Model {
    pool: Pool,
    now: Instant,
    waiting: HashMap<u64, usize>,
    running: HashSet<u64>,
    next: u64,
}

impl Model {
    fn new(now: Instant) -> Self {
        let pool = pool(3, 4, 8, now);
        Self {
            pool,
            now,
            waiting: HashMap::new(),
            running: HashSet::new(),
            next: 0,
        }
    }

    fn pick(&self, index: u8) -> Option<u64> {
        let mut running: Vec<u64> = self.running.iter().copied().collect();
        running.sort_unstable();
        (!running.is_empty()).then(|| running[usize::from(index) % running.len()])
    }

    fn step(&mut self, event: Event) -> bool {
        let now = self.now;
        let actions = match event {
            Event::Offer {
                rank,
                prompt_tokens,
            } => {
                self.next += 1;
                self.waiting.insert(self.next, rank);
                self.pool
                    .offer(offer(self.next, rank, prompt_tokens, now), now)
            }
            Event::FirstToken(index) => match self.pick(index) {
                Some(sequence) => self.pool.note_first_token(&ticket(sequence), now),
                None => Vec::new(),
            },
            Event::Finish(index, end) => match self.pick(index) {
                Some(sequence) => {
                    self.running.remove(&sequence);
                    self.pool.finish(&ticket(sequence), end, now)
                }
                None => Vec::new(),
            },
            Event::Withdraw(index) => {
                let sequence = u64::from(index);
                self.waiting.remove(&sequence);
                self.running.remove(&sequence);
                self.pool.withdraw(&ticket(sequence), now)
            }
            Event::Pass(millis) => {
                self.now += Duration::from_millis(millis.into());
                self.pool.tick(self.now)
            }
        };
        self.check(&actions)
    }

    fn check(&mut self, actions: &[Action]) -> bool {
        let mut is_valid = true;
        for action in actions {
            match action {
                Action::Grant { ticket, .. } => {
                    // A request is granted at most once, and only while it waits.
                    is_valid &= self.waiting.remove(&ticket.sequence).is_some();
                    is_valid &= self.running.insert(ticket.sequence);
                }
                Action::Refuse { ticket, reason } => {
                    let rank = self.waiting.remove(&ticket.sequence);
                    is_valid &= rank.is_some();
                    // A request is shed only if none of a lower tier waits.
                    let lower = self.waiting.values().any(|other| Some(*other) > rank);
                    is_valid &= reason.code != Code::Overloaded || !lower;
                }
            }
        }
        is_valid
            && self.pool.waiting() == self.waiting.len()
            && self.pool.running() == self.running.len()
    }
}

#[test]
fn every_request_is_granted_once_refused_once_or_waits() {
    fn property(events: Vec<Event>) -> bool {
        let mut model = Model::new(Instant::now());
        events.into_iter().all(|event| model.step(event))
    }
    seeded::quickcheck()
        .tests(500)
        .quickcheck(property as fn(Vec<Event>) -> bool);
}
