//! Tests what a host writes into the row of versions.
//!
//! Guards against streams that go on at another version: a host that had just started overwrote the row with an empty
//! one, as the entries of all servers had expired.

use std::collections::{BTreeMap, BTreeSet};

use super::{Seen, Services, successor};
use crate::coordination::origin::Version;
use crate::coordination::view::View;
use crate::state::name::Name;

type Row = &'static [(&'static str, &'static [&'static str])];

/// What a host has seen of a service's versions.
#[derive(Clone, Copy, Debug)]
enum Service {
    Partial(&'static [&'static str]),
    Whole(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    /// Whether the host has followed the list for long enough.
    is_whole: bool,
    seen: &'static [(&'static str, Service)],
    stored: Row,
    successor: Row,
}

const CASES: [Case; 6] = [
    Case {
        name: "a host that has just started, and an empty list",
        is_whole: false,
        seen: &[],
        stored: &[("desk", &["v1", "v2"])],
        successor: &[("desk", &["v1", "v2"])],
    },
    Case {
        name: "a host that has just started, and another version",
        is_whole: false,
        seen: &[("desk", Service::Partial(&["v2"]))],
        stored: &[("desk", &["v1"]), ("model", &["v1"])],
        successor: &[("desk", &["v1", "v2"]), ("model", &["v1"])],
    },
    Case {
        name: "a service that came a moment ago, at a host that has long run",
        is_whole: true,
        seen: &[
            ("desk", Service::Partial(&["v2"])),
            ("model", Service::Whole(&["v1"])),
        ],
        stored: &[("desk", &["v1"]), ("model", &["v0", "v1"])],
        successor: &[("desk", &["v1", "v2"]), ("model", &["v1"])],
    },
    Case {
        name: "versions and services that are known to be gone",
        is_whole: true,
        seen: &[("desk", Service::Whole(&["v2"]))],
        stored: &[("desk", &["v1", "v2"]), ("gone", &["v1"])],
        successor: &[("desk", &["v2"])],
    },
    Case {
        name: "a service without servers for long",
        is_whole: true,
        seen: &[("desk", Service::Whole(&[]))],
        stored: &[("desk", &["v1"])],
        successor: &[],
    },
    Case {
        name: "the first host that ever runs",
        is_whole: false,
        seen: &[("desk", Service::Partial(&["v1"]))],
        stored: &[],
        successor: &[("desk", &["v1"])],
    },
];

fn versions(names: &[&str]) -> BTreeSet<Version> {
    names.iter().map(|name| Some(Name::from(*name))).collect()
}

fn row(row: Row) -> Services {
    row.iter()
        .map(|(service, names)| (Name::from(*service), versions(names)))
        .collect()
}

fn seen(case: &Case) -> Seen {
    let services = case.seen.iter().map(|(service, seen)| {
        let view = match seen {
            Service::Partial(names) => View::Partial(versions(names)),
            Service::Whole(names) => View::Whole(versions(names)),
        };
        (Name::from(*service), view)
    });
    let services: BTreeMap<_, _> = services.collect();
    if case.is_whole {
        View::Whole(services)
    } else {
        View::Partial(services)
    }
}

#[test]
fn the_row_keeps_what_a_host_cannot_know_to_be_gone() {
    for case in &CASES {
        let written = successor(&seen(case), &row(case.stored));
        assert_eq!(written, row(case.successor), "{}", case.name);
    }
}
