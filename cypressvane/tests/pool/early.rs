//! Requests that are refused early: when, what they are told, and who goes first after that.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Belief, End, Pool};

use crate::common::{granted, hurried, spec, split, ticket};

const OBJECTIVE: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_secs(15);

fn pool(slots: u32, now: Instant) -> Pool {
    let belief = Belief {
        prefill_rate: 40_000.0,
        ..Belief::default()
    };
    let mut pool = Pool::believing("echo".into(), 1_000, belief);
    pool.set_servers(&[spec(0, slots)], now);
    pool
}

/// Keeps one slot busy for `runs` requests of 100 ms each, which shows the pool's pace.
fn pace(pool: &mut Pool, runs: u64, start: Instant) -> Instant {
    let mut now = start;
    for sequence in 1_000..1_000 + runs {
        assert_eq!(
            granted(pool.offer(hurried(sequence, 0, now), now)),
            [sequence]
        );
        now += Duration::from_millis(100);
        pool.first_token(&ticket(sequence), now);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
    now
}

/// Offers numbers 0 to 29 at once; gives those that are refused, with the time they are told.
fn rush(pool: &mut Pool, now: Instant) -> Vec<(u64, Duration)> {
    let mut refused = Vec::new();
    for sequence in 0..30 {
        for (sequence, reason) in split(pool.offer(hurried(sequence, 0, now), now)).1 {
            refused.push((sequence, reason.retry_after.expect("a time to come back")));
        }
    }
    refused
}

#[test]
fn one_that_cannot_have_its_turn_on_time_is_refused_on_arrival() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    let now = pace(&mut pool, 20, start);
    // About ten a second: of 30 that come at once, some seven have their turn within 0.8 s, one more
    // runs and one waits for an idle place.
    let refused = rush(&mut pool, now);
    assert!(
        (18..=26).contains(&refused.len()),
        "{} refused",
        refused.len()
    );
    assert!(pool.waiting() >= 2);
    for (sequence, wait) in &refused {
        assert!(*wait >= Duration::from_millis(250), "{sequence}: {wait:?}");
        assert!(*wait <= PATIENCE / 3, "{sequence}: {wait:?}");
    }
    let spread = refused.iter().map(|(_, wait)| wait.as_millis() / 500);
    let different: std::collections::HashSet<u128> = spread.collect();
    assert!(
        different.len() >= 4,
        "they all come back together: {refused:?}"
    );
}

#[test]
fn one_whose_forecast_turns_is_refused_before_its_time_is_over() {
    let start = Instant::now();
    let mut pool = pool(2, start);
    let now = pace(&mut pool, 40, start);
    let mut refused = rush(&mut pool, now).len();
    let waiting = pool.waiting();
    assert!(waiting > 4, "{waiting}");
    // Nothing more is granted: the pace falls, and those at the end are told so one by one.
    let half = now + OBJECTIVE / 2;
    let mut at = now;
    while at < half {
        at += Duration::from_millis(20);
        refused += split(pool.tick(at)).1.len();
    }
    assert!(pool.waiting() < waiting, "{} still wait", pool.waiting());
    assert!(refused > 30 - waiting);
}

#[test]
fn the_order_is_on_time_then_those_that_come_back_then_the_word() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    assert_eq!(granted(pool.offer(hurried(1, 0, start), start)), [1]);
    // Nothing was granted for long, so nobody is refused by the pace.
    let late = start + Duration::from_secs(30);
    pool.offer(hurried(10, -1, late), late);
    // This one comes from a server that failed.
    let mut returning = hurried(11, -1, late);
    returning.returning = true;
    pool.offer(returning, late);
    let over = late + OBJECTIVE;
    // The two are late now. One is kept, since it comes back; no place is likely for another one.
    let (granted, refused) = split(pool.tick(over));
    let refused: Vec<u64> = refused.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!((granted, refused), (vec![], vec![10]));
    pool.offer(hurried(13, -1, over), over);
    pool.offer(hurried(14, 0, over), over);
    let mut order: Vec<u64> = Vec::new();
    let mut running = 1;
    for _ in 0..3 {
        let granted = split(pool.finish(&ticket(running), End::Whole, over)).0;
        order.extend(&granted);
        running = granted[0];
    }
    assert_eq!(order, [14, 13, 11]);
}

#[test]
fn one_that_was_refused_is_known_when_it_comes_back() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    let now = pace(&mut pool, 20, start);
    let (first, _) = rush(&mut pool, now)[0];
    // The rush is over but for one that runs.
    let later = now + Duration::from_secs(3);
    for sequence in 0..30 {
        pool.withdraw(&ticket(sequence), later);
    }
    assert_eq!(granted(pool.offer(hurried(100, 0, later), later)), [100]);
    let mut back = hurried(102, 0, later);
    back.mark = Some(first);
    pool.offer(back, later);
    pool.offer(hurried(101, 0, later), later);
    // It is late whatever happens, so the one that is on time goes first; it is not refused again.
    let mut order: Vec<u64> = Vec::new();
    let mut running = 100;
    for _ in 0..2 {
        let granted = split(pool.finish(&ticket(running), End::Whole, later)).0;
        order.extend(&granted);
        running = granted[0];
    }
    assert_eq!(order, [101, 102]);
}

#[test]
fn one_that_a_full_queue_sheds_is_known_when_it_comes_back() {
    let now = Instant::now();
    let mut pool = Pool::believing("echo".into(), 1, Belief::default());
    pool.set_servers(&[spec(0, 1)], now);
    assert_eq!(granted(pool.offer(hurried(1, 0, now), now)), [1]);
    pool.offer(hurried(2, 0, now), now);
    let (_, refused) = split(pool.offer(hurried(3, 0, now), now));
    let refused: Vec<(u64, &str)> = refused
        .iter()
        .map(|(sequence, reason)| (*sequence, reason.code.text()))
        .collect();
    assert_eq!(refused, [(3, "overloaded")]);
    pool.withdraw(&ticket(2), now);
    // It comes back and is late whatever happens, so it makes room for one that is on time.
    let mut back = hurried(4, 0, now);
    back.mark = Some(3);
    pool.offer(back, now);
    let (_, refused) = split(pool.offer(hurried(5, 0, now), now));
    let refused: Vec<u64> = refused.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!(refused, [4]);
}

#[test]
fn a_long_prompt_does_not_keep_slots_empty() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    let mut all = Vec::new();
    for sequence in 0..4 {
        let mut long = hurried(sequence, 0, now);
        long.prompt_tokens = 50_000;
        all.extend(granted(pool.offer(long, now)));
    }
    assert_eq!(all, [0, 1, 2, 3]);
}

#[test]
fn a_server_that_is_full_or_replaced_is_left_alone() {
    struct Case {
        end: End,
        /// After how many milliseconds the next request has its turn there; `None` for never.
        back: Option<u64>,
    }
    let cases = [
        Case {
            end: End::Full,
            back: Some(120),
        },
        Case {
            end: End::Replaced,
            back: None,
        },
        Case {
            end: End::Leaving,
            back: None,
        },
        Case {
            end: End::Whole,
            back: Some(0),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool(2, now);
        assert_eq!(granted(pool.offer(hurried(1, 0, now), now)), [1]);
        pool.finish(&ticket(1), case.end, now);
        let first = split(pool.offer(hurried(2, 0, now), now));
        let at_once = first.0 == [2];
        assert_eq!(at_once, case.back == Some(0), "{:?}", case.end);
        if let Some(back) = case.back.filter(|back| *back > 0) {
            let later = now + Duration::from_millis(back);
            assert_eq!(split(pool.tick(later)).0, [2], "{:?}", case.end);
        }
    }
}
