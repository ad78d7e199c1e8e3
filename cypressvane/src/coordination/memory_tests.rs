//! Tests how memory is divided and who gives up room.

use std::time::Duration;

use super::{CONNECTION_BYTES, Holding, Kind, MIB, Plan, SMALL_BYTES, heaviest};
use crate::state::clock::Instant;

struct Division {
    memory_mb: u64,
    content: u64,
    large: u64,
    unread: u64,
    connections: u64,
}

#[test]
fn memory_is_divided_by_what_the_platform_allows() {
    let cases = [
        Division {
            memory_mb: 88,
            content: 32 * MIB,
            large: 24 * MIB,
            unread: 8 * MIB,
            connections: 24 * MIB,
        },
        Division {
            memory_mb: 280,
            content: 128 * MIB,
            large: 96 * MIB,
            unread: 32 * MIB,
            connections: 96 * MIB,
        },
        Division {
            memory_mb: 1,
            content: 8 * MIB,
            large: 6 * MIB,
            unread: 2 * MIB,
            connections: 6 * MIB,
        },
    ];
    for case in cases {
        let plan = Plan::of(case.memory_mb);
        let seen = [
            plan.most(Kind::SmallBody, SMALL_BYTES),
            plan.most(Kind::SmallBody, SMALL_BYTES + 1),
            plan.most(Kind::Body, 1),
            plan.unread_max(),
            plan.most(Kind::Connection, CONNECTION_BYTES),
        ];
        let wanted = [
            case.content,
            case.large,
            case.large,
            case.unread,
            case.connections,
        ];
        assert_eq!(seen, wanted, "{} MiB", case.memory_mb);
    }
}

struct Choice {
    name: &'static str,
    /// Bytes and age in seconds of each holding.
    holdings: &'static [(u64, u64)],
    heaviest: Option<usize>,
}

#[test]
fn who_holds_most_for_longest_gives_up_room() {
    let cases = [
        Choice {
            name: "nobody",
            holdings: &[],
            heaviest: None,
        },
        Choice {
            name: "nobody who holds nothing",
            holdings: &[(0, 3), (0, 1)],
            heaviest: None,
        },
        Choice {
            name: "the larger of two of one age",
            holdings: &[(10, 3), (20, 3), (15, 3)],
            heaviest: Some(1),
        },
        Choice {
            name: "the older of two of one size",
            holdings: &[(10, 1), (10, 2)],
            heaviest: Some(1),
        },
        Choice {
            name: "a small old one before a large new one",
            holdings: &[(1_000, 1), (100, 20)],
            heaviest: Some(1),
        },
    ];
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    for case in cases {
        let holdings = case
            .holdings
            .iter()
            .enumerate()
            .map(|(index, (bytes, age))| {
                let holding = Holding {
                    bytes: *bytes,
                    since: start + Duration::from_secs(60 - age),
                };
                (index, holding)
            });
        assert_eq!(heaviest(holdings, now), case.heaviest, "{}", case.name);
    }
}
