//! Entries of backend servers that lapsed while the host list was away.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::lapse::Lapse;
use cypressvane::platform::{Entry, Kind, Presence};

fn server(name: &str, presence: Presence) -> Entry {
    Entry {
        name: name.into(),
        kind: Kind::Backend,
        address: ([127, 0, 0, 1], 1).into(),
        operators: None,
        service: Some("model".into()),
        data_centre: "hut".into(),
        region: "high".into(),
        presence,
        version: None,
        slots: None,
        started_ms: None,
    }
}

struct Case {
    name: &'static str,
    /// Servers at first, those that leave marked with a minus.
    first: &'static [&'static str],
    /// When the list was back, in milliseconds.
    back: Option<u64>,
    /// Milliseconds, what is listed then, and what is taken as there.
    looks: &'static [(u64, &'static [&'static str], &'static [&'static str])],
}

#[test]
fn servers_that_lapsed_are_kept_for_two_seconds() {
    let cases = [
        Case {
            name: "one server that is gone is gone",
            first: &["a", "b", "c", "d"],
            back: None,
            looks: &[(0, &["a", "b", "c"], &["a", "b", "c"])],
        },
        Case {
            name: "one that is gone as the list is back is kept, and given up later",
            first: &["a", "b", "c", "d"],
            back: Some(0),
            looks: &[
                (100, &["a", "b", "c"], &["a", "b", "c", "d"]),
                (1_900, &["a", "b", "c"], &["a", "b", "c", "d"]),
                (2_100, &["a", "b", "c"], &["a", "b", "c"]),
            ],
        },
        Case {
            name: "most of a service gone at once has lapsed, though nothing else tells",
            first: &["a", "b", "c"],
            back: None,
            looks: &[
                (0, &[], &["a", "b", "c"]),
                (500, &["a"], &["a", "b", "c"]),
                (2_100, &["a"], &["a"]),
            ],
        },
        Case {
            name: "a server that was leaving is not kept",
            first: &["a", "-b"],
            back: Some(0),
            looks: &[(100, &["a"], &["a"])],
        },
        Case {
            name: "a list that was back long ago keeps none",
            first: &["a", "b", "c"],
            back: Some(0),
            looks: &[(5_000, &["a", "b"], &["a", "b"])],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let entries = |names: &[&str]| {
            let entry = |name: &&str| match name.strip_prefix('-') {
                Some(name) => server(name, Presence::Leaving),
                None => server(name, Presence::Live),
            };
            names.iter().map(entry).collect::<Vec<_>>()
        };
        let mut lapse = Lapse::default();
        lapse.merge(entries(case.first), None, at(0));
        for (millis, listed, there) in case.looks {
            let merged = lapse.merge(entries(listed), case.back.map(at), at(*millis));
            let mut names: Vec<&str> = merged.iter().map(|entry| &*entry.name).collect();
            names.sort_unstable();
            assert_eq!(names, *there, "{}: at {millis} ms", case.name);
        }
    }
}
