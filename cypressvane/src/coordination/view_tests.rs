//! Tests when a view is whole, and what becomes of a shared set.
//!
//! Guards against rows of the platform that a host which has just started overwrites with the little that it has seen.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{View, Watch};
use crate::state::clock::Instant;

const PERIOD: Duration = Duration::from_secs(30);

struct Case {
    name: &'static str,
    /// Seconds since the first read; `None` if there was none.
    watched: Option<u64>,
    seen: &'static [&'static str],
    shared: &'static [&'static str],
    successor: &'static [&'static str],
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing was read",
        watched: None,
        seen: &[],
        shared: &["v1", "v2"],
        successor: &["v1", "v2"],
    },
    Case {
        name: "the first list is empty",
        watched: Some(0),
        seen: &[],
        shared: &["v1", "v2"],
        successor: &["v1", "v2"],
    },
    Case {
        name: "the first list has another one",
        watched: Some(0),
        seen: &["v3"],
        shared: &["v1", "v2"],
        successor: &["v1", "v2", "v3"],
    },
    Case {
        name: "a second less than the period",
        watched: Some(29),
        seen: &["v2"],
        shared: &["v1", "v2"],
        successor: &["v1", "v2"],
    },
    Case {
        name: "the whole period",
        watched: Some(30),
        seen: &["v2"],
        shared: &["v1", "v2"],
        successor: &["v2"],
    },
    Case {
        name: "the whole period, and nothing was seen",
        watched: Some(30),
        seen: &[],
        shared: &["v1"],
        successor: &[],
    },
];

fn set(names: &[&'static str]) -> BTreeSet<&'static str> {
    names.iter().copied().collect()
}

#[test]
fn only_a_whole_view_removes_from_a_shared_set() {
    for case in &CASES {
        let begun = Instant::now();
        let mut watch = Watch::default();
        if case.watched.is_some() {
            watch.note_read(begun);
            // Later reads don't begin the watch anew.
            watch.note_read(begun + Duration::from_secs(1));
        }
        let now = begun + Duration::from_secs(case.watched.unwrap_or(60));
        let view: View<_> = watch.view(set(case.seen), PERIOD, now);
        let successor = view.merged_into(&set(case.shared));
        assert_eq!(successor, set(case.successor), "{}", case.name);
    }
}
