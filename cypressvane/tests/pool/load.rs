//! Patterns of load against a pool, by a clock that the test moves: who gets a place, where, and who
//! is told at once that there is none.
//!
//! The figures are those of engines that the users run side by side: ten slots each, some reading
//! 100,000 prompt tokens a second and some 23,000, which need 3 ms and 12 ms for a token.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Belief, End, Offer, Pool};

use crate::common::{granted, hurried, server_of, spec, split, ticket};

const MILLISECOND: Duration = Duration::from_millis(1);
/// Longest pause between events that is on time, as the users' tightest routes have it.
const PAUSE: Duration = Duration::from_millis(250);

/// How an engine behaves.
#[derive(Clone, Copy)]
struct Engine {
    /// First token of the shortest prompt, in milliseconds.
    first_ms: u32,
    /// Prompt tokens read in a millisecond.
    reads: u32,
    /// Milliseconds for a token of an answer.
    token_ms: u32,
    /// Longest pause of its streams while a prompt of 8,000 tokens is read.
    pause_ms: u32,
}

const FAST: Engine = Engine {
    first_ms: 25,
    reads: 100,
    token_ms: 3,
    pause_ms: 80,
};
const SLOW: Engine = Engine {
    first_ms: 108,
    reads: 23,
    token_ms: 12,
    pause_ms: 370,
};

fn pool(slots: u32, servers: u16, now: Instant) -> Pool {
    let belief = Belief {
        prefill_rate: 40_000.0,
        overhead: 25 * MILLISECOND,
        ..Belief::default()
    };
    let mut pool = Pool::believing("echo".into(), 1_000, belief);
    let specs: Vec<_> = (0..servers).map(|index| spec(index, slots)).collect();
    pool.set_servers(&specs, now);
    pool
}

/// A stream of so many prompt and answer tokens.
fn stream(sequence: u64, prompt_tokens: u32, answer_tokens: u32, now: Instant) -> Offer {
    Offer {
        prompt_tokens,
        answer_tokens,
        pause: PAUSE,
        ..hurried(sequence, 0, now)
    }
}

/// Lets server 0 show itself fast and server 1 slow: on each a stream runs while a prompt of 8,000
/// tokens is read; gives the time at the end.
fn learn(pool: &mut Pool, start: Instant) -> Instant {
    const PROMPT: u32 = 500;
    const ANSWER: u32 = 100;
    const LONG: u32 = 8_000;
    let mut now = start;
    for round in 0..40 {
        for (index, engine) in (0..).zip([FAST, SLOW]) {
            let short = 10_000 + round * 4 + index * 2;
            let (name, other) = (format!("server-{index}"), format!("server-{}", 1 - index));
            let offer = Offer {
                avoid: Some(other.as_str().into()),
                ..stream(short, PROMPT, ANSWER, now)
            };
            let actions = pool.offer(offer, now);
            assert_eq!(server_of(&actions), Some(name.clone()));
            let long = ticket(short + 1);
            pool.adopt(long.clone(), &name.as_str().into(), LONG, false, now);
            let first = now + (engine.first_ms + PROMPT / engine.reads) * MILLISECOND;
            pool.first_token(&ticket(short), first);
            let read = first + (LONG / engine.reads) * MILLISECOND;
            pool.first_token(&long, read);
            pool.finish(&long, End::Whole, read);
            pool.paused(&ticket(short), engine.pause_ms * MILLISECOND);
            let whole = first + ANSWER * engine.token_ms * MILLISECOND;
            pool.finish(&ticket(short), End::Whole, whole);
        }
        now += Duration::from_secs(3);
    }
    now
}

#[test]
fn a_long_prompt_waits_for_an_engine_where_it_makes_no_stream_pause_too_long() {
    let start = Instant::now();
    let mut pool = pool(2, 2, start);
    let now = learn(&mut pool, start);
    // Both slots of the fast engine are taken, and one of the slow one's, by streams.
    for sequence in 1..=3 {
        assert_eq!(
            granted(pool.offer(stream(sequence, 500, 100, now), now)),
            [sequence]
        );
    }
    assert!(granted(pool.offer(stream(4, 8_000, 100, now), now)).is_empty());
    // A short one passes it by: it does no harm there.
    let actions = pool.offer(stream(5, 100, 100, now), now);
    assert_eq!(server_of(&actions).as_deref(), Some("server-1"));
    // The long one has the next place on the fast engine.
    for sequence in 1..=2 {
        let actions = pool.finish(&ticket(sequence), End::Whole, now + 50 * MILLISECOND);
        if let Some(server) = server_of(&actions) {
            assert_eq!((server.as_str(), granted(actions)), ("server-0", vec![4]));
            return;
        }
    }
    panic!("the long prompt got no place");
}

#[test]
fn an_answer_that_a_slow_engine_could_not_end_goes_to_a_fast_one() {
    let start = Instant::now();
    let mut pool = pool(2, 2, start);
    let now = learn(&mut pool, start);
    // 2,000 tokens take the slow engine 24 s and the fast one 6 s; the caller leaves after 15 s.
    for sequence in 1..=2 {
        let actions = pool.offer(stream(sequence, 500, 2_000, now), now);
        assert_eq!(
            server_of(&actions).as_deref(),
            Some("server-0"),
            "{sequence}"
        );
    }
    assert!(granted(pool.offer(stream(3, 500, 2_000, now), now)).is_empty());
    // A short answer ends there in time.
    let actions = pool.offer(stream(4, 500, 100, now), now);
    assert_eq!(server_of(&actions).as_deref(), Some("server-1"));
}

#[test]
fn a_silent_engine_loses_its_share_before_anything_has_failed() {
    let start = Instant::now();
    let mut pool = pool(10, 2, start);
    let first = pool.offer(stream(1, 500, 100, start), start);
    let silent = server_of(&first).expect("a place");
    // Its first token was forecast within some 40 ms; 300 ms later there is none.
    let now = start + 300 * MILLISECOND;
    for sequence in 2..=9 {
        let actions = pool.offer(stream(sequence, 500, 100, now), now);
        assert_ne!(server_of(&actions).expect("a place"), silent, "{sequence}");
    }
    // It is given work again as soon as it answers.
    pool.first_token(&ticket(1), now);
    pool.finish(&ticket(1), End::Whole, now);
    let later = now + 10 * MILLISECOND;
    let given = (10..=18)
        .filter_map(|sequence| server_of(&pool.offer(stream(sequence, 500, 100, later), later)));
    assert!(given.into_iter().any(|server| server == silent));
}

#[test]
fn one_request_that_is_stuck_does_not_rule_out_a_server_that_answers_others() {
    let start = Instant::now();
    let mut pool = pool(6, 1, start);
    // A plain call within 100 ms; the first one is lost by the server.
    let call = |sequence, now| Offer {
        first_token: 100 * MILLISECOND,
        prompt_tokens: 1,
        ..hurried(sequence, 0, now)
    };
    assert_eq!(granted(pool.offer(call(0, start), start)), [0]);
    let mut now = start;
    for sequence in 1..=40 {
        now += 20 * MILLISECOND;
        assert_eq!(granted(pool.offer(call(sequence, now), now)), [sequence]);
        now += 30 * MILLISECOND;
        pool.first_token(&ticket(sequence), now);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
}

#[test]
fn plain_calls_go_to_the_server_that_answers_sooner() {
    let start = Instant::now();
    let mut pool = pool(6, 2, start);
    let mut now = start;
    let mut to_the_slow = 0;
    for sequence in 0..60 {
        let call = Offer {
            first_token: 300 * MILLISECOND,
            prompt_tokens: 1,
            ..hurried(sequence, 0, now)
        };
        let server = server_of(&pool.offer(call, now)).expect("a place");
        let is_slow = server == "server-0";
        to_the_slow += u32::from(is_slow && sequence >= 20);
        now += if is_slow { 150 } else { 15 } * MILLISECOND;
        pool.finish(&ticket(sequence), End::Whole, now);
    }
    assert!(to_the_slow <= 4, "{to_the_slow} of 40 to the slow one");
}

#[test]
fn a_request_goes_on_at_another_server_than_the_one_that_failed_it() {
    let start = Instant::now();
    let mut pool = pool(10, 2, start);
    for sequence in 0..8 {
        let actions = pool.offer(stream(sequence, 500, 100, start), start);
        let failed = server_of(&actions).expect("a place");
        pool.finish(&ticket(sequence), End::Unused, start);
        let again = Offer {
            avoid: Some(failed.as_str().into()),
            returning: true,
            ..stream(100 + sequence, 500, 100, start)
        };
        let actions = pool.offer(again, start);
        assert_ne!(server_of(&actions).expect("a place"), failed, "{sequence}");
    }
}

#[test]
fn when_all_come_back_at_once_the_places_go_to_those_still_on_time() {
    let start = Instant::now();
    let mut pool = pool(4, 1, start);
    // A rush of 60 on four slots: most are refused.
    let mut refused = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    for sequence in 0..60 {
        let (now_granted, now_refused) =
            split(pool.offer(stream(sequence, 500, 100, start), start));
        running.extend(now_granted);
        refused.extend(now_refused.into_iter().map(|(sequence, _)| sequence));
    }
    // It goes on: one ends each 25 ms, and another comes.
    let mut now = start;
    for sequence in 100..180 {
        now += 25 * MILLISECOND;
        let ended = running.remove(0);
        running.extend(granted(pool.finish(&ticket(ended), End::Whole, now)));
        running.extend(granted(pool.offer(stream(sequence, 500, 100, now), now)));
    }
    // The refused come back together, and eight others for the first time.
    for (sequence, mark) in (200..).zip(&refused) {
        let mut back = stream(sequence, 500, 100, now);
        back.mark = Some(*mark);
        running.extend(granted(pool.offer(back, now)));
    }
    for sequence in 500..508 {
        running.extend(granted(pool.offer(stream(sequence, 500, 100, now), now)));
    }
    let mut first: Vec<u64> = Vec::new();
    while first.len() < 8 {
        now += 25 * MILLISECOND;
        let ended = running.remove(0);
        let next = granted(pool.finish(&ticket(ended), End::Whole, now));
        first.extend(next.iter().copied().filter(|sequence| *sequence >= 200));
        running.extend(next);
    }
    assert!(first.iter().all(|sequence| *sequence >= 500), "{first:?}");
}
