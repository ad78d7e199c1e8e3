//! Load patterns against a pool, with a simulated clock: which requests are granted, on which server,
//! and which have to wait or are refused.
//!
//! The figures are those of engines that the users run side by side: ten slots each, some prefilling
//! 100,000 prompt tokens/s and some 23,000, with 3 ms and 12 ms per answer token.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, EngineDefaults, Offer, Pool};

use crate::common::{granted, granted_server, grants_and_refusals, impatient_offer, spec, ticket};

const MILLISECOND: Duration = Duration::from_millis(1);
/// Longest pause between events that counts as on time on the users' tightest routes.
const PAUSE_MAX: Duration = Duration::from_millis(250);

/// Speed of an engine.
#[derive(Clone, Copy)]
struct Engine {
    /// Time to the first token of the shortest prompt, in milliseconds.
    first_ms: u32,
    /// Prompt tokens prefilled per millisecond.
    prefill_per_ms: u32,
    /// Milliseconds per answer token.
    token_ms: u32,
    /// Longest pause of its streams while it prefills a prompt of 8,000 tokens, in milliseconds.
    pause_ms: u32,
}

const FAST: Engine = Engine {
    first_ms: 25,
    prefill_per_ms: 100,
    token_ms: 3,
    pause_ms: 80,
};
const SLOW: Engine = Engine {
    first_ms: 108,
    prefill_per_ms: 23,
    token_ms: 12,
    pause_ms: 370,
};

fn pool(slots: u32, servers: u16, now: Instant) -> Pool {
    let defaults = EngineDefaults {
        prefill_rate: 40_000.0,
        overhead: 25 * MILLISECOND,
        ..EngineDefaults::default()
    };
    let mut pool = Pool::with_defaults("echo".into(), 1_000, defaults);
    let specs: Vec<_> = (0..servers).map(|index| spec(index, slots)).collect();
    pool.set_servers(&specs, now);
    pool
}

/// Returns the offer of a stream with so many prompt and answer tokens.
fn stream(sequence: u64, prompt_tokens: u32, answer_tokens: u32, now: Instant) -> Offer {
    Offer {
        prompt_tokens,
        answer_tokens,
        pause: PAUSE_MAX,
        ..impatient_offer(sequence, 0, now)
    }
}

/// Teaches the pool that server 0 is fast and server 1 slow: on each a stream runs while a prompt of
/// 8,000 tokens is prefilled. Returns the time at the end.
fn teach_speeds(pool: &mut Pool, start: Instant) -> Instant {
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
            assert_eq!(granted_server(&actions), Some(name.clone()));
            let long = ticket(short + 1);
            pool.adopt(long.clone(), &name.as_str().into(), LONG, false, now);
            let first = now + (engine.first_ms + PROMPT / engine.prefill_per_ms) * MILLISECOND;
            pool.note_first_token(&ticket(short), first);
            let read = first + (LONG / engine.prefill_per_ms) * MILLISECOND;
            pool.note_first_token(&long, read);
            pool.finish(&long, End::Whole, read);
            pool.note_longest_pause(&ticket(short), engine.pause_ms * MILLISECOND);
            let whole = first + ANSWER * engine.token_ms * MILLISECOND;
            pool.finish(&ticket(short), End::Whole, whole);
        }
        now += Duration::from_secs(3);
    }
    now
}

#[test]
fn a_long_prompt_waits_for_an_engine_whose_streams_it_does_not_pause_too_long() {
    let start = Instant::now();
    let mut pool = pool(2, 2, start);
    let now = teach_speeds(&mut pool, start);
    // Streams take both slots of the fast engine and one slot of the slow one.
    for sequence in 1..=3 {
        assert_eq!(
            granted(pool.offer(stream(sequence, 500, 100, now), now)),
            [sequence]
        );
    }
    assert!(granted(pool.offer(stream(4, 8_000, 100, now), now)).is_empty());
    // A short prompt overtakes it, since it causes no long pause on the slow engine.
    let actions = pool.offer(stream(5, 100, 100, now), now);
    assert_eq!(granted_server(&actions).as_deref(), Some("server-1"));
    // The long prompt gets the next free slot of the fast engine.
    for sequence in 1..=2 {
        let actions = pool.finish(&ticket(sequence), End::Whole, now + 50 * MILLISECOND);
        if let Some(server) = granted_server(&actions) {
            assert_eq!((server.as_str(), granted(actions)), ("server-0", vec![4]));
            return;
        }
    }
    panic!("the long prompt got no slot");
}

#[test]
fn an_answer_that_a_slow_engine_cannot_complete_in_time_goes_to_a_fast_one() {
    let start = Instant::now();
    let mut pool = pool(2, 2, start);
    let now = teach_speeds(&mut pool, start);
    // 2,000 tokens take the slow engine 24 s and the fast one 6 s; the caller leaves after 15 s.
    for sequence in 1..=2 {
        let actions = pool.offer(stream(sequence, 500, 2_000, now), now);
        assert_eq!(
            granted_server(&actions).as_deref(),
            Some("server-0"),
            "{sequence}"
        );
    }
    assert!(granted(pool.offer(stream(3, 500, 2_000, now), now)).is_empty());
    // The slow engine completes a short answer in time.
    let actions = pool.offer(stream(4, 500, 100, now), now);
    assert_eq!(granted_server(&actions).as_deref(), Some("server-1"));
}

#[test]
fn a_silent_engine_gets_no_requests_even_before_a_failure() {
    let start = Instant::now();
    let mut pool = pool(10, 2, start);
    let first = pool.offer(stream(1, 500, 100, start), start);
    let silent = granted_server(&first).expect("a grant");
    // The first token was forecast within about 40 ms and has not come after 300 ms.
    let now = start + 300 * MILLISECOND;
    for sequence in 2..=9 {
        let actions = pool.offer(stream(sequence, 500, 100, now), now);
        assert_ne!(
            granted_server(&actions).expect("a grant"),
            silent,
            "{sequence}"
        );
    }
    // The engine gets requests again as soon as it answers.
    pool.note_first_token(&ticket(1), now);
    pool.finish(&ticket(1), End::Whole, now);
    let later = now + 10 * MILLISECOND;
    let given = (10..=18).filter_map(|sequence| {
        granted_server(&pool.offer(stream(sequence, 500, 100, later), later))
    });
    assert!(given.into_iter().any(|server| server == silent));
}

#[test]
fn a_stuck_request_does_not_exclude_a_server_that_answers_others() {
    let start = Instant::now();
    let mut pool = pool(6, 1, start);
    // Plain calls with an objective of 100 ms; the server never answers the first one.
    let call = |sequence, now| Offer {
        first_token_target: 100 * MILLISECOND,
        prompt_tokens: 1,
        ..impatient_offer(sequence, 0, now)
    };
    assert_eq!(granted(pool.offer(call(0, start), start)), [0]);
    let mut now = start;
    for sequence in 1..=40 {
        now += 20 * MILLISECOND;
        assert_eq!(granted(pool.offer(call(sequence, now), now)), [sequence]);
        now += 30 * MILLISECOND;
        pool.note_first_token(&ticket(sequence), now);
        pool.finish(&ticket(sequence), End::Whole, now);
    }
}

#[test]
fn plain_calls_go_to_the_server_that_answers_faster() {
    let start = Instant::now();
    let mut pool = pool(6, 2, start);
    let mut now = start;
    let mut slow_calls = 0;
    for sequence in 0..60 {
        let call = Offer {
            first_token_target: 300 * MILLISECOND,
            prompt_tokens: 1,
            ..impatient_offer(sequence, 0, now)
        };
        let server = granted_server(&pool.offer(call, now)).expect("a grant");
        let is_slow = server == "server-0";
        slow_calls += u32::from(is_slow && sequence >= 20);
        now += if is_slow { 150 } else { 15 } * MILLISECOND;
        pool.finish(&ticket(sequence), End::Whole, now);
    }
    assert!(
        slow_calls <= 4,
        "{slow_calls} of 40 calls to the slow server"
    );
}

#[test]
fn a_failed_request_is_retried_on_another_server() {
    let start = Instant::now();
    let mut pool = pool(10, 2, start);
    for sequence in 0..8 {
        let actions = pool.offer(stream(sequence, 500, 100, start), start);
        let failed = granted_server(&actions).expect("a grant");
        pool.finish(&ticket(sequence), End::Unused, start);
        let again = Offer {
            avoid: Some(failed.as_str().into()),
            returning: true,
            ..stream(100 + sequence, 500, 100, start)
        };
        let actions = pool.offer(again, start);
        assert_ne!(
            granted_server(&actions).expect("a grant"),
            failed,
            "{sequence}"
        );
    }
}

#[test]
fn when_refused_requests_return_together_those_on_time_go_first() {
    let start = Instant::now();
    let mut pool = pool(4, 1, start);
    // A burst of 60 requests on four slots: most are refused.
    let mut refused = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    for sequence in 0..60 {
        let (now_granted, now_refused) =
            grants_and_refusals(pool.offer(stream(sequence, 500, 100, start), start));
        running.extend(now_granted);
        refused.extend(now_refused.into_iter().map(|(sequence, _)| sequence));
    }
    // The load goes on: every 25 ms one request ends and another arrives.
    let mut now = start;
    for sequence in 100..180 {
        now += 25 * MILLISECOND;
        let ended = running.remove(0);
        running.extend(granted(pool.finish(&ticket(ended), End::Whole, now)));
        running.extend(granted(pool.offer(stream(sequence, 500, 100, now), now)));
    }
    // The refused requests return all at once, followed by eight new ones.
    for (sequence, mark) in (200..).zip(&refused) {
        let mut returning = stream(sequence, 500, 100, now);
        returning.mark = Some(*mark);
        running.extend(granted(pool.offer(returning, now)));
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
