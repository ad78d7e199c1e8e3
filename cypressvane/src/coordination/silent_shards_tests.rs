//! A holder's actions for offers without a reply, with timestamps supplied by the test.

use std::time::Duration;

use super::{OfferTimer, SilentShards, Step};
use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// An event of a waiting offer.
#[derive(Clone, Copy)]
enum Event {
    /// The offer is checked, and this action is expected.
    Checked(Step),
    /// Its home acknowledges that it is queued.
    Queued,
}

struct Case {
    name: &'static str,
    has_others: bool,
    /// Events, with their times in milliseconds from the start.
    events: &'static [(u64, Event)],
}

const CASES: [Case; 4] = [
    Case {
        name: "an acknowledgement is requested, and the offer goes elsewhere without one",
        has_others: true,
        events: &[
            (100, Event::Checked(Step::Wait)),
            (150, Event::Checked(Step::RequestAck)),
            (300, Event::Checked(Step::Wait)),
            (350, Event::Checked(Step::Reroute)),
        ],
    },
    Case {
        name: "an acknowledged offer stays, and is sent again a second later",
        has_others: true,
        events: &[
            (150, Event::Checked(Step::RequestAck)),
            (170, Event::Queued),
            (1_100, Event::Checked(Step::Wait)),
            (1_170, Event::Checked(Step::RequestAck)),
            (1_370, Event::Checked(Step::Reroute)),
        ],
    },
    Case {
        name: "the only home's link is replaced, and the offer is sent again every second",
        has_others: false,
        events: &[
            (100, Event::Checked(Step::Wait)),
            (150, Event::Checked(Step::RequestAck)),
            (300, Event::Checked(Step::Wait)),
            (350, Event::Checked(Step::Reconnect)),
            (1_000, Event::Checked(Step::Wait)),
            (1_350, Event::Checked(Step::RequestAck)),
            (1_550, Event::Checked(Step::Reconnect)),
        ],
    },
    Case {
        name: "an offer acknowledged by the only home is sent again a second later",
        has_others: false,
        events: &[
            (150, Event::Checked(Step::RequestAck)),
            (170, Event::Queued),
            (1_100, Event::Checked(Step::Wait)),
            (1_170, Event::Checked(Step::RequestAck)),
        ],
    },
];

#[test]
fn an_offer_leaves_a_home_that_does_not_reply_if_there_is_another_shard() {
    for case in CASES {
        let start = Instant::now();
        let mut timer = OfferTimer::start(start);
        for (at, event) in case.events {
            let now = start + Duration::from_millis(*at);
            match event {
                Event::Checked(step) => {
                    let step_taken = timer.step(case.has_others, now);
                    assert_eq!(step_taken, *step, "{}, at {at} ms", case.name);
                }
                Event::Queued => timer.note_queued(now),
            }
        }
    }
}

#[test]
fn a_silent_shard_is_excluded_longer_each_time_until_it_replies() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let shard = Shard::unsharded("echo".into());
    let mut silent_shards = SilentShards::default();
    assert!(!silent_shards.is_excluded(&shard, start));
    silent_shards.note_silence(&shard, start);
    // Another offer that was sent before the exclusion.
    silent_shards.note_silence(&shard, at(100));
    assert!(silent_shards.is_excluded(&shard, at(499)));
    assert!(!silent_shards.is_excluded(&shard, at(500)));
    silent_shards.note_silence(&shard, at(900));
    assert!(silent_shards.is_excluded(&shard, at(1_899)));
    assert!(!silent_shards.is_excluded(&shard, at(1_900)));
    silent_shards.note_reply(&shard);
    silent_shards.note_silence(&shard, at(3_000));
    assert!(!silent_shards.is_excluded(&shard, at(3_500)));
}
