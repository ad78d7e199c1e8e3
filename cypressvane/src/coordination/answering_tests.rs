//! What a holder does about offers without an answer, by a clock that the test moves.

use std::time::Duration;

use super::{Answering, Step, Wait};
use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// What happens to an offer that waits.
#[derive(Clone, Copy)]
enum Event {
    /// It is looked at, and this is to be done.
    Looked(Step),
    /// Its home says that it waits.
    Queued,
}

struct Case {
    name: &'static str,
    has_others: bool,
    /// Milliseconds from the start, and what happens then.
    events: &'static [(u64, Event)],
}

const CASES: [Case; 4] = [
    Case {
        name: "a word is asked for, and the home is left when it gives none",
        has_others: true,
        events: &[
            (100, Event::Looked(Step::Wait)),
            (150, Event::Looked(Step::Ask)),
            (300, Event::Looked(Step::Wait)),
            (350, Event::Looked(Step::Leave)),
        ],
    },
    Case {
        name: "a home that says that it waits is not left, and asked again a second later",
        has_others: true,
        events: &[
            (150, Event::Looked(Step::Ask)),
            (170, Event::Queued),
            (1_100, Event::Looked(Step::Wait)),
            (1_170, Event::Looked(Step::Ask)),
            (1_370, Event::Looked(Step::Leave)),
        ],
    },
    Case {
        name: "where there is no other home, its link is doubted, and it is said again each second",
        has_others: false,
        events: &[
            (100, Event::Looked(Step::Wait)),
            (150, Event::Looked(Step::Ask)),
            (300, Event::Looked(Step::Wait)),
            (350, Event::Looked(Step::Doubt)),
            (1_000, Event::Looked(Step::Wait)),
            (1_350, Event::Looked(Step::Ask)),
            (1_550, Event::Looked(Step::Doubt)),
        ],
    },
    Case {
        name: "the only home that says that it waits is asked again a second later",
        has_others: false,
        events: &[
            (150, Event::Looked(Step::Ask)),
            (170, Event::Queued),
            (1_100, Event::Looked(Step::Wait)),
            (1_170, Event::Looked(Step::Ask)),
        ],
    },
];

#[test]
fn an_offer_leaves_a_home_that_gives_no_word_where_another_can_have_it() {
    for case in CASES {
        let start = Instant::now();
        let mut wait = Wait::begin(start);
        for (at, event) in case.events {
            let now = start + Duration::from_millis(*at);
            match event {
                Event::Looked(step) => {
                    let found = wait.step(case.has_others, now);
                    assert_eq!(found, *step, "{}, at {at} ms", case.name);
                }
                Event::Queued => wait.queued(now),
            }
        }
    }
}

#[test]
fn a_silent_shard_rests_longer_each_time_until_it_gives_a_word() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let shard = Shard::whole("echo".into());
    let mut answering = Answering::default();
    assert!(!answering.rests(&shard, start));
    answering.note_silence(&shard, start);
    // Another offer of the same time.
    answering.note_silence(&shard, at(100));
    assert!(answering.rests(&shard, at(499)));
    assert!(!answering.rests(&shard, at(500)));
    answering.note_silence(&shard, at(900));
    assert!(answering.rests(&shard, at(1_899)));
    assert!(!answering.rests(&shard, at(1_900)));
    answering.note_word(&shard);
    answering.note_silence(&shard, at(3_000));
    assert!(!answering.rests(&shard, at(3_500)));
}
