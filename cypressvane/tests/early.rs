//! Requests that are refused early: when, what they are told, and who goes first after that.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cypressvane::pool::{Action, Belief, End, Offer, Pool, Spec, Ticket};

const OBJECTIVE: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_secs(15);

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        holder: "host-0".into(),
        incarnation: 1,
        sequence,
    }
}

fn offer(sequence: u64, word: i64, mark: u64, now: Instant) -> Offer {
    Offer {
        ticket: ticket(sequence),
        rank: 0,
        priority: word,
        prompt_tokens: 100,
        arrived: now,
        deadline: now + PATIENCE,
        first_token: OBJECTIVE,
        early: true,
        returning: false,
        late: false,
        mark: Some(mark),
        opening: None,
        data_centre: None,
    }
}

fn spec(index: u16, data_centre: &str, slots: u32) -> Spec {
    Spec {
        name: format!("server-{index}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + index)),
        data_centre: Some(data_centre.into()),
        slots,
        leaving: false,
    }
}

fn pool(slots: u32, now: Instant) -> Pool {
    let belief = Belief {
        prefill_rate: 40_000.0,
        ..Belief::default()
    };
    let mut pool = Pool::believing("echo".into(), 1_000, belief);
    pool.set_servers(&[spec(0, "hut", slots)], now);
    pool
}

/// Numbers of the granted, and numbers of the refused with when they are told to come back.
fn split(actions: Vec<Action>) -> (Vec<u64>, Vec<(u64, Duration)>) {
    let (mut granted, mut refused) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Grant { ticket, .. } => granted.push(ticket.sequence),
            Action::Refuse { ticket, reason } => {
                let wait = reason.retry_after.expect("a time to come back");
                refused.push((ticket.sequence, wait));
            }
        }
    }
    (granted, refused)
}

/// Keeps one slot busy for `runs` requests of 100 ms each, which shows the pool's pace.
fn pace(pool: &mut Pool, runs: u64, start: Instant) -> Instant {
    let mut now = start;
    for sequence in 1_000..1_000 + runs {
        let (granted, _) = split(pool.offer(offer(sequence, 0, sequence, now), now));
        assert_eq!(granted, [sequence]);
        now += Duration::from_millis(100);
        pool.first_token(&ticket(sequence), now);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
    now
}

/// Offers numbers 0 to 29 at once; gives those that are refused.
fn rush(pool: &mut Pool, now: Instant) -> Vec<(u64, Duration)> {
    let offers = (0..30).map(|sequence| offer(sequence, 0, sequence, now));
    offers
        .flat_map(|offer| split(pool.offer(offer, now)).1)
        .collect()
}

#[test]
fn one_that_cannot_have_its_turn_on_time_is_refused_within_a_quarter_of_its_objective() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    let now = pace(&mut pool, 20, start);
    // About ten a second: of 30 that come at once, some five have their turn within 0.56 s.
    let mut refused = rush(&mut pool, now);
    let early = now + OBJECTIVE / 4;
    let mut at = now;
    while at < early {
        at += Duration::from_millis(20);
        refused.extend(split(pool.tick(at)).1);
    }
    assert!(
        (20..=27).contains(&refused.len()),
        "{} refused",
        refused.len()
    );
    assert!(pool.waiting() >= 2);
    for (sequence, wait) in &refused {
        assert!(*wait >= Duration::from_secs(1), "{sequence}: {wait:?}");
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
fn the_order_is_the_word_then_on_time_then_those_that_come_back() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    assert_eq!(split(pool.offer(offer(1, 0, 1, start), start)).0, [1]);
    // Nothing was granted for long, so nobody is refused by the pace.
    let late = start + Duration::from_secs(30);
    pool.offer(offer(10, -1, 10, late), late);
    let mut returning = offer(11, -1, 11, late);
    returning.returning = true;
    pool.offer(returning, late);
    pool.offer(offer(12, 0, 12, late), late);
    let over = late + OBJECTIVE;
    let (granted, refused) = split(pool.tick(over));
    assert_eq!((granted, refused), (vec![], vec![]));
    // These come when the others are late.
    pool.offer(offer(13, -1, 13, over), over);
    pool.offer(offer(14, 0, 14, over), over);
    let mut order: Vec<u64> = Vec::new();
    let mut running = 1;
    for _ in 0..5 {
        let (granted, _) = split(pool.finish(&ticket(running), End::Whole, over));
        order.extend(&granted);
        running = granted[0];
    }
    assert_eq!(order, [14, 12, 13, 11, 10]);
}

#[test]
fn one_that_was_refused_is_known_when_it_comes_back() {
    let start = Instant::now();
    let mut pool = pool(1, start);
    let now = pace(&mut pool, 20, start);
    let (first, _) = rush(&mut pool, now)[0];
    // The rush is over but for one that runs and one that waits.
    let later = now + Duration::from_secs(3);
    let mut order: Vec<u64> = Vec::new();
    for sequence in 0..30 {
        pool.withdraw(&ticket(sequence), later);
    }
    assert_eq!(split(pool.offer(offer(100, 0, 100, later), later)).0, [100]);
    pool.offer(offer(101, 0, 101, later), later);
    pool.offer(offer(102, 0, first, later), later);
    let mut running = 100;
    for _ in 0..2 {
        let (granted, _) = split(pool.finish(&ticket(running), End::Whole, later));
        order.extend(&granted);
        running = granted[0];
    }
    assert_eq!(order, [102, 101]);
}

#[test]
fn a_long_prompt_does_not_keep_slots_empty() {
    let now = Instant::now();
    let mut pool = pool(4, now);
    let mut granted = Vec::new();
    for sequence in 0..4 {
        let mut long = offer(sequence, 0, sequence, now);
        long.prompt_tokens = 50_000;
        granted.extend(split(pool.offer(long, now)).0);
    }
    assert_eq!(granted, [0, 1, 2, 3]);
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
        assert_eq!(split(pool.offer(offer(1, 0, 1, now), now)).0, [1]);
        pool.finish(&ticket(1), case.end, now);
        let first = split(pool.offer(offer(2, 0, 2, now), now));
        let at_once = first.0 == [2];
        assert_eq!(at_once, case.back == Some(0), "{:?}", case.end);
        if let Some(back) = case.back.filter(|back| *back > 0) {
            let later = now + Duration::from_millis(back);
            assert_eq!(split(pool.tick(later)).0, [2], "{:?}", case.end);
        }
    }
}
