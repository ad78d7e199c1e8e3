//! Which shard gets an offer that another has no place for, by a clock that the test moves.

use std::time::Duration;

use super::Idle;
use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

fn shard(number: u16, count: u16) -> Shard {
    Shard {
        service: "echo".into(),
        number,
        count,
    }
}

struct Case {
    name: &'static str,
    /// Numbers of shards of four, with the places that they told of.
    told: &'static [(u16, u32)],
    /// Milliseconds from the telling to the offers.
    after: u64,
    /// Where offers of shard 0 go, one after the other.
    taken: &'static [Option<u16>],
}

const CASES: [Case; 5] = [
    Case {
        name: "nobody told of places",
        told: &[],
        after: 0,
        taken: &[None],
    },
    Case {
        name: "most places first, and each is given once",
        told: &[(1, 4), (2, 5)],
        after: 100,
        taken: &[Some(2), Some(1), Some(2), Some(1), Some(2), None],
    },
    Case {
        name: "some are left to the shard itself",
        told: &[(1, 2), (2, 0)],
        after: 0,
        taken: &[None],
    },
    Case {
        name: "not to itself",
        told: &[(0, 100)],
        after: 0,
        taken: &[None],
    },
    Case {
        name: "what was told too long ago does not count",
        told: &[(1, 100)],
        after: 300,
        taken: &[None],
    },
];

#[test]
fn offers_go_where_places_were_told_of() {
    for case in CASES {
        let start = Instant::now();
        let mut idle = Idle::default();
        for (number, places) in case.told {
            idle.hear(shard(*number, 4), *places, start);
        }
        let now = start + Duration::from_millis(case.after);
        for expected in case.taken {
            let taken = idle.take(&shard(0, 4), now).map(|shard| shard.number);
            assert_eq!(taken, *expected, "{}", case.name);
        }
    }
}

#[test]
fn shards_of_another_cut_or_service_get_nothing() {
    let now = Instant::now();
    let mut idle = Idle::default();
    idle.hear(shard(1, 8), 100, now);
    idle.hear(
        Shard {
            service: "other".into(),
            ..shard(1, 4)
        },
        100,
        now,
    );
    assert_eq!(idle.take(&shard(0, 4), now), None);
}
