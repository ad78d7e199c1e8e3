//! Tests which version gets a service's traffic, and which servers are canaries.

use super::{KnownVersions, canaries, serving_version};
use crate::state::name::Name;
use crate::state::rollout::Stage;

struct Case {
    name: &'static str,
    listed: &'static [(&'static str, usize)],
    before: Option<&'static str>,
    ordered: Option<(&'static str, Option<Stage>)>,
    serving: Option<&'static str>,
}

const CASES: [Case; 10] = [
    Case {
        name: "one version",
        listed: &[("v1", 4)],
        before: None,
        ordered: None,
        serving: Some("v1"),
    },
    Case {
        name: "a version that nobody ordered registers",
        listed: &[("v1", 1), ("v2", 4)],
        before: Some("v1"),
        ordered: None,
        serving: Some("v1"),
    },
    Case {
        name: "only a version that nobody ordered is left",
        listed: &[("v2", 4)],
        before: Some("v1"),
        ordered: None,
        serving: Some("v1"),
    },
    Case {
        name: "a host that starts during an order",
        listed: &[("v1", 4), ("v2", 6)],
        before: None,
        ordered: Some(("v2", None)),
        serving: Some("v1"),
    },
    Case {
        name: "a host that starts after a completed order, before it learns of the outcome",
        listed: &[("v2", 4)],
        before: None,
        ordered: Some(("v2", None)),
        serving: Some("v2"),
    },
    Case {
        name: "completed, the old servers still listed",
        listed: &[("v1", 4), ("v2", 4)],
        before: Some("v1"),
        ordered: Some(("v2", Some(Stage::Completed))),
        serving: Some("v2"),
    },
    Case {
        name: "rolled back, the new servers still listed",
        listed: &[("v1", 4), ("v2", 6)],
        before: None,
        ordered: Some(("v2", Some(Stage::RolledBack))),
        serving: Some("v1"),
    },
    Case {
        name: "rolled back, and only the new servers are listed",
        listed: &[("v2", 6)],
        before: None,
        ordered: Some(("v2", Some(Stage::RolledBack))),
        serving: None,
    },
    Case {
        name: "two versions that nobody ordered, with as many servers each",
        listed: &[("v1", 4), ("v2", 4)],
        before: None,
        ordered: None,
        serving: Some("v1"),
    },
    Case {
        name: "nothing is listed",
        listed: &[],
        before: None,
        ordered: None,
        serving: None,
    },
];

#[test]
fn the_earlier_version_serves_until_an_order_is_completed() {
    for case in CASES {
        let before = case.before.map(Name::from);
        let ordered = case.ordered.map(|(to, stage)| (Name::from(to), stage));
        let known = KnownVersions {
            listed: case
                .listed
                .iter()
                .map(|(version, count)| (Name::from(*version), *count))
                .collect(),
            before: before.as_ref(),
            ordered: ordered.as_ref().map(|(to, stage)| (to, *stage)),
        };
        let found = serving_version(&known);
        assert_eq!(found.as_deref(), case.serving, "{}", case.name);
    }
}

#[test]
fn canaries_are_a_share_of_the_servers_in_any_order() {
    let names = |count: usize| -> Vec<Name> {
        (0..count)
            .map(|index| format!("i-{index}").into())
            .collect()
    };
    // Number of servers, the canaries' share of the requests, and the number of canaries.
    let cases = [
        (60, 0.04, 3),
        (100, 0.04, 4),
        (4, 0.04, 2),
        (1, 0.04, 1),
        (0, 0.04, 0),
    ];
    for (servers, share, count) in cases {
        let all = names(servers);
        let some = canaries(&all, share);
        assert_eq!(some.len(), count, "{servers} servers");
        let mut reversed = all.clone();
        reversed.reverse();
        assert_eq!(canaries(&reversed, share), some, "{servers} servers");
    }
}
