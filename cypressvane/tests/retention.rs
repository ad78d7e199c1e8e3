//! Retention of the entries of backend servers that expired while the host list was unavailable.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::platform::{Entry, Kind, Presence};
use cypressvane::retention::Retention;

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
        cold_ms: None,
    }
}

struct Case {
    name: &'static str,
    /// Servers that are listed first; a leading minus marks one that is leaving.
    first: &'static [&'static str],
    /// When the list became available again, in milliseconds.
    list_returned_ms: Option<u64>,
    /// Time of each poll in milliseconds, the listed servers, and the servers after merging.
    polls: &'static [(u64, &'static [&'static str], &'static [&'static str])],
}

#[test]
fn expired_servers_are_retained_for_two_seconds() {
    let cases = [
        Case {
            name: "a single missing server is removed at once",
            first: &["a", "b", "c", "d"],
            list_returned_ms: None,
            polls: &[(0, &["a", "b", "c"], &["a", "b", "c"])],
        },
        Case {
            name: "a server that is missing when the list returns is kept, and removed later",
            first: &["a", "b", "c", "d"],
            list_returned_ms: Some(0),
            polls: &[
                (100, &["a", "b", "c"], &["a", "b", "c", "d"]),
                (1_900, &["a", "b", "c"], &["a", "b", "c", "d"]),
                (2_100, &["a", "b", "c"], &["a", "b", "c"]),
            ],
        },
        Case {
            name: "all servers of a service missing at once have expired, even without another sign",
            first: &["a", "b", "c"],
            list_returned_ms: None,
            polls: &[
                (0, &[], &["a", "b", "c"]),
                (500, &["a"], &["a", "b", "c"]),
                (2_100, &["a"], &["a"]),
            ],
        },
        Case {
            name: "servers that are removed together are not kept while another one takes their work",
            first: &["a", "b", "c"],
            list_returned_ms: None,
            polls: &[(0, &["c"], &["c"])],
        },
        Case {
            name: "servers that are removed together are kept if the only other one is leaving",
            first: &["a", "b", "c"],
            list_returned_ms: None,
            polls: &[(0, &["-c"], &["a", "b", "c"]), (2_100, &["-c"], &["c"])],
        },
        Case {
            name: "a server that was leaving is not kept",
            first: &["a", "-b"],
            list_returned_ms: Some(0),
            polls: &[(100, &["a"], &["a"])],
        },
        Case {
            name: "a server that is missing long after the list returned is removed at once",
            first: &["a", "b", "c"],
            list_returned_ms: Some(0),
            polls: &[(5_000, &["a", "b"], &["a", "b"])],
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
        let mut retention = Retention::default();
        retention.merge(entries(case.first), None, at(0));
        for (millis, listed, expected) in case.polls {
            let merged =
                retention.merge(entries(listed), case.list_returned_ms.map(at), at(*millis));
            let mut names: Vec<&str> = merged.iter().map(|entry| &*entry.name).collect();
            names.sort_unstable();
            assert_eq!(names, *expected, "{}: at {millis} ms", case.name);
        }
    }
}
